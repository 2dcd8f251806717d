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
	errOut io.Writer
	json   bool
}

func (p printer) printReply(r *operatorapi.Reply) (code int) {
	if p.json {
		return p.printJSON(r, exitCode(r.Change))
	}
	for i, t := range r.Tables {
		if i > 0 {
			p.print("\n")
		}
		p.printTable(t)
	}
	if r.Change.Set {
		return p.printChange(&r.Change.Value)
	}
	return ExitDone
}

func exitCode(f operatorapi.OptChangeFate) (code int) {
	switch f.Value.State {
	case operatorapi.ChangeStateRefused:
		return ExitRefused
	case operatorapi.ChangeStateUnknown:
		return ExitUnknown
	default:
		return ExitDone
	}
}

func (p printer) printChange(f *operatorapi.ChangeFate) (code int) {
	code = exitCode(operatorapi.NewOptChangeFate(*f))
	if p.json {
		return p.printJSON(f, code)
	}
	line := fmt.Sprintf("change %s %s", f.ID, describeState(f.State))
	if f.Index.Set {
		line += fmt.Sprintf(" at version %d", f.Index.Value)
	}
	if f.Reason.Value != "" {
		line += ": " + f.Reason.Value
	}
	p.print(replaceControlChars(line) + "\n")
	return code
}

func describeState(s operatorapi.ChangeState) string {
	switch s {
	case operatorapi.ChangeStateUnknown:
		return "has an unknown outcome"
	case operatorapi.ChangeStateWouldApply:
		return "would be applied"
	default:
		return string(s)
	}
}

// printTable writes the title of a table and its rows with aligned columns.
func (p printer) printTable(t operatorapi.Table) {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	rows := [][]string{t.Columns}
	for _, r := range t.Rows {
		rows = append(rows, r.Cells)
	}
	for _, cells := range rows {
		printable := make([]string, 0, len(cells))
		for _, c := range cells {
			printable = append(printable, replaceControlChars(c))
		}
		// Writing to a strings.Builder never fails.
		_, _ = fmt.Fprintln(w, strings.Join(printable, "\t"))
	}
	_ = w.Flush()
	p.print(replaceControlChars(t.Title) + "\n")
	for line := range strings.Lines(text.String()) {
		p.print("  " + strings.TrimRight(line, " \n") + "\n")
	}
}

// replaceControlChars replaces control characters with spaces, so that a value can
// neither break a table nor control the terminal.
func replaceControlChars(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, text)
}

func (p printer) printDump(text string) (code int) {
	if p.json {
		return p.printJSON(map[string]string{"dump": text}, ExitDone)
	}
	p.print(text)
	return ExitDone
}

func (p printer) printMetrics(m operatorapi.Metrics) (code int) {
	if p.json {
		return p.printJSON(m, ExitDone)
	}
	t := operatorapi.Table{Title: "metrics", Columns: []string{"metric", "value"}}
	for _, name := range slices.Sorted(maps.Keys(m)) {
		t.Rows = append(t.Rows, operatorapi.Row{Cells: []string{name, strconv.FormatFloat(m[name], 'g', 8, 64)}})
	}
	p.printTable(t)
	return ExitDone
}

// printJSON writes an answer as JSON in the format of the API.
func (p printer) printJSON(answer any, code int) int {
	text, err := json.MarshalIndent(answer, "", "  ")
	if err != nil {
		return p.reportError(ExitRefused, err)
	}
	p.print(string(text) + "\n")
	return code
}

// reportCallError prints why a call failed and returns the exit code. For a syntax
// error it prints the line as well.
func (p printer) reportCallError(err error, text string) (code int) {
	refusal, refused := errors.Into[*operatorapi.ErrorStatusCode](err)
	if !refused {
		return p.reportError(ExitUnreachable, err)
	}
	p.errorf("azurepoint: %s", replaceControlChars(refusal.Response.Message))
	p.printErrorLocation(text, refusal.Response)
	switch refusal.StatusCode {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return ExitUsage
	default:
		return ExitRefused
	}
}

// printErrorLocation prints the line of a syntax error with a caret under the
// word.
func (p printer) printErrorLocation(text string, e operatorapi.Error) {
	lines := strings.Split(text, "\n")
	if !e.Line.Set || e.Line.Value < 1 || e.Line.Value > len(lines) {
		return
	}
	p.errorf("  %s", replaceControlChars(lines[e.Line.Value-1]))
	p.errorf("  %s^", strings.Repeat(" ", max(0, e.Column.Value-1)))
}

func (p printer) reportError(code int, err error) int {
	p.errorf("azurepoint: %v", err)
	return code
}

// Errors of writing to the standard streams are ignored, because there is no
// other place to report them.

func (p printer) print(text string) {
	_, _ = io.WriteString(p.out, text)
}

func (p printer) errorf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.errOut, format+"\n", args...)
}
