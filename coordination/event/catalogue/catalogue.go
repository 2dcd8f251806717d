// Package catalogue checks that a documentation page lists the log events of a
// package.
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

// eventRow is one event as declared in code or as listed in the catalogue.
type eventRow struct {
	number            int
	level, name, text string
}

// tableRow matches one row of the catalogue's table.
var tableRow = regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| (\w+) \| (.+?) \| (.*?) ?\|\n`)

// Check fails the test unless the page lists exactly the events declared in the
// test's directory. With update it first rewrites the table of the page.
func Check(t *testing.T, page string, update bool) {
	t.Helper()
	declared := parsePackageEvents(t)
	if update {
		updatePage(t, page, declared)
	}
	listed := parsePageRows(t, page)
	for i, r := range declared {
		if i > 0 && declared[i-1].number == r.number {
			t.Errorf("%s and %s have the number %d", declared[i-1].name, r.name, r.number)
		}
		if !slices.Contains(listed, r) {
			t.Errorf("missing from the catalogue, or different there: %+v", r)
		}
	}
	for i, r := range listed {
		if i > 0 && listed[i-1].number >= r.number {
			t.Errorf("event %d follows event %d in the catalogue", r.number, listed[i-1].number)
		}
		if !slices.Contains(declared, r) {
			t.Errorf("missing from the code, or different there: %+v", r)
		}
	}
}

// parsePackageEvents returns the Event literals of the package in the current
// directory, sorted by number.
func parsePackageEvents(t *testing.T) (rows []eventRow) {
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
		inFile := parseFileEvents(t, file)
		for _, r := range inFile {
			if r.number/1000 != inFile[0].number/1000 {
				t.Errorf("%s: event %d is in a different range of numbers than %d", name, r.number, inFile[0].number)
			}
		}
		rows = append(rows, inFile...)
	}
	slices.SortFunc(rows, func(a, b eventRow) int { return a.number - b.number })
	return rows
}

// parseFileEvents returns the Event literals of a file.
func parseFileEvents(t *testing.T, file *ast.File) (rows []eventRow) {
	t.Helper()
	for node := range ast.Preorder(file) {
		spec, isValue := node.(*ast.ValueSpec)
		for i := 0; isValue && i < len(spec.Values); i++ {
			literal, isLiteral := spec.Values[i].(*ast.CompositeLit)
			if isLiteral && fmt.Sprint(literal.Type) == "Event" {
				rows = append(rows, parseEvent(t, spec.Names[i].Name, literal.Elts))
			}
		}
	}
	return rows
}

// parseEvent reads the number, level and text of an Event literal, whose keys must
// be in this order.
func parseEvent(t *testing.T, name string, values []ast.Expr) (r eventRow) {
	t.Helper()
	if len(values) != 3 {
		t.Fatalf("%s has %d values", name, len(values))
	}
	for i, key := range []string{"Number", "Level", "Text"} {
		pair, isPair := values[i].(*ast.KeyValueExpr)
		if !isPair || fmt.Sprint(pair.Key) != key {
			t.Fatalf("%s: value %d does not have the key %s", name, i, key)
		}
		values[i] = pair.Value
	}
	number, isNumber := values[0].(*ast.BasicLit)
	level, isLevel := values[1].(*ast.SelectorExpr)
	text, isText := values[2].(*ast.BasicLit)
	if !isNumber || !isLevel || !isText {
		t.Fatalf("%s does not consist of a number, a level and a text", name)
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

// parsePageRows returns the rows of the catalogue without their notes.
func parsePageRows(t *testing.T, page string) (rows []eventRow) {
	t.Helper()
	for _, m := range tableRow.FindAllStringSubmatch(readPage(t, page), -1) {
		number, err := strconv.Atoi(m[1])
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, eventRow{number: number, level: m[2], name: m[3], text: m[4]})
	}
	return rows
}

// updatePage replaces the rows of the table; the note of each event number is kept.
func updatePage(t *testing.T, page string, rows []eventRow) {
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
