package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"unicode"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/operatorapi"
)

// printer writes answers as text or JSON.
type printer struct {
	out    io.Writer
	errors io.Writer
	json   bool
}

func (p printer) reply(r *operatorapi.Reply) (code int) {
	if p.json {
		return p.encoded(r, codeOf(r.Change))
	}
	for i, t := range r.Tables {
		if i > 0 {
			p.print("\n")
		}
		p.table(t)
	}
	if r.Change.Set {
		return p.change(&r.Change.Value)
	}
	return ExitDone
}

func codeOf(f operatorapi.OptChangeFate) (code int) {
	switch f.Value.State {
	case operatorapi.ChangeStateRefused:
		return ExitRefused
	case operatorapi.ChangeStateUnknown:
		return ExitUnknown
	default:
		return ExitDone
	}
}

func (p printer) change(f *operatorapi.ChangeFate) (code int) {
	code = codeOf(operatorapi.NewOptChangeFate(*f))
	if p.json {
		return p.encoded(f, code)
	}
	line := fmt.Sprintf("change %s %s", f.ID, stateText(f.State))
	if f.Index.Set {
		line += fmt.Sprintf(" at version %d", f.Index.Value)
	}
	if f.Reason.Value != "" {
		line += ": " + f.Reason.Value
	}
	p.print(printable(line) + "\n")
	return code
}

func stateText(s operatorapi.ChangeState) string {
	switch s {
	case operatorapi.ChangeStateUnknown:
		return "has an unknown outcome"
	case operatorapi.ChangeStateWouldApply:
		return "would be applied"
	default:
		return string(s)
	}
}

// table writes the title and then the columns, aligned.
func (p printer) table(t operatorapi.Table) {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	rows := [][]string{t.Columns}
	for _, r := range t.Rows {
		rows = append(rows, r.Cells)
	}
	for _, cells := range rows {
		line := make([]string, 0, len(cells))
		for _, c := range cells {
			line = append(line, printable(c))
		}
		// Writes to a string builder do not fail.
		_, _ = fmt.Fprintln(w, strings.Join(line, "\t"))
	}
	_ = w.Flush()
	p.print(printable(t.Title) + "\n")
	for line := range strings.Lines(text.String()) {
		p.print("  " + strings.TrimRight(line, " \n") + "\n")
	}
}

// printable keeps control characters away from tables and terminals.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, text)
}

func (p printer) dump(text string) (code int) {
	if p.json {
		return p.encoded(map[string]string{"dump": text}, ExitDone)
	}
	p.print(text)
	return ExitDone
}

func (p printer) metrics(m operatorapi.Metrics) (code int) {
	if p.json {
		return p.encoded(m, ExitDone)
	}
	t := operatorapi.Table{Title: "metrics", Columns: []string{"metric", "value"}}
	for _, name := range slices.Sorted(maps.Keys(m)) {
		t.Rows = append(t.Rows, operatorapi.Row{Cells: []string{name, strconv.FormatFloat(m[name], 'g', 8, 64)}})
	}
	p.table(t)
	return ExitDone
}

// encoded writes an answer as JSON, in the form that the API gives it.
func (p printer) encoded(answer any, code int) int {
	text, err := json.MarshalIndent(answer, "", "  ")
	if err != nil {
		return p.fail(ExitRefused, err)
	}
	p.print(string(text) + "\n")
	return code
}

// failCall prints why a call failed; for a syntax error it shows the line.
func (p printer) failCall(err error, text string) (code int) {
	refusal, refused := errors.Into[*operatorapi.ErrorStatusCode](err)
	if !refused {
		return p.fail(ExitUnreachable, err)
	}
	p.errorf("azurepoint: %s", printable(refusal.Response.Message))
	p.pointAt(text, refusal.Response)
	switch refusal.StatusCode {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return ExitUsage
	default:
		return ExitRefused
	}
}

// pointAt shows the line of a syntax error with a mark under the word.
func (p printer) pointAt(text string, e operatorapi.Error) {
	lines := strings.Split(text, "\n")
	if !e.Line.Set || e.Line.Value < 1 || e.Line.Value > len(lines) {
		return
	}
	p.errorf("  %s", printable(lines[e.Line.Value-1]))
	p.errorf("  %s^", strings.Repeat(" ", max(0, e.Column.Value-1)))
}

func (p printer) fail(code int, err error) int {
	p.errorf("azurepoint: %v", err)
	return code
}

// There is nowhere to report that the standard streams cannot be written.

func (p printer) print(text string) {
	_, _ = io.WriteString(p.out, text)
}

func (p printer) errorf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.errors, format+"\n", args...)
}
