// Package catalogue checks that a page lists the log events of a package.
package catalogue

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// row is one event, as the code or the catalogue has it.
type row struct {
	number            int
	level, name, text string
}

// tableRow matches a line of the catalogue's table.
var tableRow = regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| (\w+) \| (.+?) \| (.*?) ?\|\n`)

// Check fails the test unless the page lists the events in the test's directory;
// with update it rewrites the page's table first.
func Check(t *testing.T, page string, update bool) {
	t.Helper()
	inCode := eventsOfCode(t)
	if update {
		rewrite(t, page, inCode)
	}
	listed := rowsOfPage(t, page)
	for i, r := range inCode {
		if i > 0 && inCode[i-1].number == r.number {
			t.Errorf("%s and %s have the number %d", inCode[i-1].name, r.name, r.number)
		}
		if !slices.Contains(listed, r) {
			t.Errorf("not in the catalogue, or other than there: %+v", r)
		}
	}
	for i, r := range listed {
		if i > 0 && listed[i-1].number >= r.number {
			t.Errorf("event %d follows event %d in the catalogue", r.number, listed[i-1].number)
		}
		if !slices.Contains(inCode, r) {
			t.Errorf("not in the code, or other than there: %+v", r)
		}
	}
}

// eventsOfCode returns the Event literals of this package by number.
func eventsOfCode(t *testing.T) (rows []row) {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("no files: %v", err)
	}
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		inFile := eventsOfFile(t, file)
		for _, r := range inFile {
			if r.number/1000 != inFile[0].number/1000 {
				t.Errorf("%s: event %d is of another range than %d", name, r.number, inFile[0].number)
			}
		}
		rows = append(rows, inFile...)
	}
	slices.SortFunc(rows, func(a, b row) int { return a.number - b.number })
	return rows
}

// eventsOfFile returns the Event literals of a file.
func eventsOfFile(t *testing.T, file *ast.File) (rows []row) {
	t.Helper()
	for node := range ast.Preorder(file) {
		spec, isValue := node.(*ast.ValueSpec)
		for i := 0; isValue && i < len(spec.Values); i++ {
			literal, isLiteral := spec.Values[i].(*ast.CompositeLit)
			if isLiteral && fmt.Sprint(literal.Type) == "Event" {
				rows = append(rows, eventOf(t, spec.Names[i].Name, literal.Elts))
			}
		}
	}
	return rows
}

// eventOf reads the number, level and text of an Event literal with keys in this
// order.
func eventOf(t *testing.T, name string, values []ast.Expr) (r row) {
	t.Helper()
	if len(values) != 3 {
		t.Fatalf("%s has %d values", name, len(values))
	}
	for i, key := range []string{"Number", "Level", "Text"} {
		pair, isPair := values[i].(*ast.KeyValueExpr)
		if !isPair || fmt.Sprint(pair.Key) != key {
			t.Fatalf("%s: value %d has not the key %s", name, i, key)
		}
		values[i] = pair.Value
	}
	number, isNumber := values[0].(*ast.BasicLit)
	level, isLevel := values[1].(*ast.SelectorExpr)
	text, isText := values[2].(*ast.BasicLit)
	if !isNumber || !isLevel || !isText {
		t.Fatalf("%s is not a number, a level and a text", name)
	}
	_, err := fmt.Sscanf(number.Value+" "+text.Value, "%d %q", &r.number, &r.text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	r.name = name
	r.level = strings.ToLower(strings.TrimSuffix(level.Sel.Name, "Level"))
	return r
}

func readPage(t *testing.T, page string) string {
	t.Helper()
	text, err := os.ReadFile(page) //nolint:gosec // the test names its page
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// rowsOfPage returns the rows of the catalogue, without their notes.
func rowsOfPage(t *testing.T, page string) (rows []row) {
	t.Helper()
	for _, m := range tableRow.FindAllStringSubmatch(readPage(t, page), -1) {
		number, err := strconv.Atoi(m[1])
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, row{number: number, level: m[2], name: m[3], text: m[4]})
	}
	return rows
}

// rewrite replaces the rows of the table and keeps the notes by number.
func rewrite(t *testing.T, page string, rows []row) {
	t.Helper()
	text := readPage(t, page)
	notes := make(map[string]string)
	for _, m := range tableRow.FindAllStringSubmatch(text, -1) {
		notes[m[1]] = m[5]
	}
	var table strings.Builder
	for _, r := range rows {
		fmt.Fprintf(&table, "| %d | %s | %s | %s | %s |\n", r.number, r.level, r.name, r.text, notes[strconv.Itoa(r.number)])
	}
	const head = "|---|---|---|---|---|\n"
	before, after, found := strings.Cut(text, head)
	if !found {
		t.Fatalf("%s has no table", page)
	}
	text = before + head + table.String() + tableRow.ReplaceAllString(after, "")
	if err := os.WriteFile(page, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
