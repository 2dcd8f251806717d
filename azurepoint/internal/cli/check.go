package cli

import (
	"cmp"
	"fmt"
	"os"
	"slices"

	"github.com/azurepoint/azurepoint/coordination/check"
	"github.com/azurepoint/azurepoint/coordination/fault"
)

type checkCommand struct {
	File    string `arg:"positional,required" help:"configuration of queues, pools and organisations"`
	Against string `arg:"--against" placeholder:"FILE" help:"configuration in force; what changes is printed"`
}

// checkReport is the result of a check in JSON.
type checkReport struct {
	Faults  []check.Fault `json:"faults"`
	Changes []string      `json:"changes,omitempty"`
}

// checkFile prints the faults of a configuration, and what it changes. Only errors refuse it.
func checkFile(c *checkCommand, p printer) (code int) {
	configuration, faults, err := readConfiguration(c.File)
	if err != nil {
		return p.reportError(ExitUsage, err)
	}
	r := checkReport{Faults: append([]check.Fault{}, faults...)}
	r.Faults = append(r.Faults, check.Check(configuration)...)
	slices.SortStableFunc(r.Faults, func(a, b check.Fault) int { return cmp.Compare(a.Line, b.Line) })
	if c.Against != "" {
		inForce, _, err := readConfiguration(c.Against)
		if err != nil {
			return p.reportError(ExitUsage, err)
		}
		r.Changes = check.Compare(inForce, configuration)
	}
	code = ExitDone
	if slices.ContainsFunc(r.Faults, func(f check.Fault) bool { return f.Severity == check.Error }) {
		code = ExitRefused
	}
	if p.json {
		return p.printJSON(r, code)
	}
	for _, f := range r.Faults {
		p.print(fmt.Sprintf("%s:%d: %s: %s: %s\n", c.File, f.Line, f.Severity, f.Key, f.Text))
	}
	for _, change := range r.Changes {
		p.print(change + "\n")
	}
	return code
}

// readConfiguration reads a configuration file and returns its faults of form.
func readConfiguration(name string) (c *check.Configuration, faults []check.Fault, err error) {
	defer fault.Annotate(&err, name)
	text, err := os.ReadFile(name) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, nil, err
	}
	return check.Parse(text)
}
