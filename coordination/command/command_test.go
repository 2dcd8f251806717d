package command

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/alecthomas/participle/v2/lexer"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// docExamples returns the fenced examples in docs/language.md.
func docExamples(t testing.TB) (texts []string) {
	t.Helper()
	page, err := os.ReadFile("../../docs/language.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range strings.Split(string(page), "```azurepoint\n")[1:] {
		text, _, _ := strings.Cut(part, "```")
		texts = append(texts, text)
	}
	return texts
}

// Guards against an example in docs/language.md that the parser refuses, and
// against a kind of statement that has no example.
func TestDocExamples(t *testing.T) {
	kinds := make(map[reflect.Type]bool)
	for _, text := range docExamples(t) {
		parsed, err := Parse(text)
		if err != nil {
			t.Errorf("%s\n%v", text, err)
		}
		for _, q := range parsed.Queries {
			kinds[reflect.TypeOf(q)] = true
		}
		for _, c := range parsed.Commands {
			kinds[reflect.TypeOf(c)] = true
		}
	}
	const statementKinds = 5 + 11 // queries and commands of the grammar's unions
	if len(kinds) != statementKinds {
		t.Errorf("%d kinds of statements have an example, want %d", len(kinds), statementKinds)
	}
}

// Guards against errors that do not point to the first wrong word or that leave
// out what is expected there. Each word of each example is replaced by one that
// is invalid everywhere, and each statement is also cut off before the word.
func TestErrorsNameTheWrongWord(t *testing.T) {
	for _, text := range docExamples(t) {
		parsed, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.SplitSeq(parsed.String(), "\n") {
			for _, w := range lexWords(t, line) {
				before := strings.TrimRight(line[:w.Pos.Offset], " ")
				checkError(t, before+" "+invalidWord+" "+line[w.Pos.Offset+len(w.Value):], invalidWord, w)
				checkError(t, before, "", w)
			}
		}
	}
}

// invalidWord is a word that is invalid at every position of a statement.
const invalidWord = `"? !"`

func lexWords(t *testing.T, line string) (words []lexer.Token) {
	t.Helper()
	all, err := grammar.Lex("", strings.NewReader(line))
	if err != nil {
		t.Fatal(err)
	}
	for _, w := range all {
		if w.Type == tokenTypes["Word"] || w.Type == tokenTypes["Comma"] {
			words = append(words, w)
		}
	}
	return words
}

func checkError(t *testing.T, text, word string, original lexer.Token) {
	t.Helper()
	_, err := Parse(text)
	var e *SyntaxError
	if !errors.As(err, &e) {
		if word == "" {
			return // the rest is a complete statement
		}
		t.Fatalf("%q: no syntax error but %v", text, err)
	}
	before, _, _ := strings.Cut(text, " "+invalidWord)
	column := len(before) + 1
	if word != "" {
		column += len(" ")
	}
	if e.Word != word || e.Line != 1 || e.Column != column {
		t.Errorf("%q: %v, want column %d", text, e, column)
	}
	description := `"` + strings.TrimSpace(original.Value) + `"`
	for _, v := range valueCandidates {
		if mayFollow(before, v.text) {
			description = v.description
			break
		}
	}
	if !strings.Contains(e.Expected, description) {
		t.Errorf("%q: %v, want %s among the expected", text, e, description)
	}
}

// Guards against invalid values that are accepted, and against wrong positions in
// the errors of texts with several lines or with both queries and commands.
func TestRefusedTexts(t *testing.T) {
	for text, want := range map[string]string{
		"show pools # x\n\n  show Pools":            `line 3, column 8: unexpected "Pools"`,
		"show pools; pause wave w":                  `column 13: unexpected "pause", expected only queries`,
		"pause wave w\nshow pools":                  `line 2, column 1: unexpected "show", expected only commands`,
		"show pools show members":                   `column 12: unexpected "show", expected the end of the statement`,
		"drop instance \"a":                         `column 15: unexpected "\"a", expected a closing '"'`,
		"drop instance \"A\"":                       `column 15: unexpected "\"A\"", expected a name`,
		"drop instance " + strings.Repeat("a", 65):  `column 15`,
		"set pool p budget 1000000001":              `column 19`,
		"set pool p budget -1":                      `column 19`,
		"set pool p budget \"1\"":                   `column 19`,
		"set member m":                              `expected "cap", "share" or "minimum"`,
		"declare wave w for p until 2026-01-02":     `column 28: unexpected "2026-01-02", expected a time`,
		"add instance i address h:1":                `expected an IP:port`,
		"add instance i address 1.2.3.4:0":          `expected an IP:port`,
		"add instance i address [fe80::1%eth0]:1":   `expected an IP:port`,
		"declare wave w for p until 9999-01-02T0:0": `expected a time`,
	} {
		if _, err := Parse(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %s", text, err, want)
		}
	}
}

// Guards against commands that are translated to the wrong steps.
func TestSteps(t *testing.T) {
	parsed, err := Parse(`create pool p budget 2 spare; set member m share 3; move a, "b" to p
		declare wave w for p, q until 2026-01-02T04:04:05+01:00; resume wave w`)
	if err != nil {
		t.Fatal(err)
	}
	got := parsed.Steps()
	if len(got) != 6 || *got[0].SetPool.Budget != 2 || !*got[0].SetPool.Spare {
		t.Fatalf("got %+v", got)
	}
	if m := got[1].SetMember; m.Cap != nil || *m.Share != 3 || m.Minimum != nil {
		t.Errorf("got %+v", m)
	}
	if *got[2].StartMove != (fleet.StartMove{Instance: "a", Pool: "p"}) || got[3].StartMove.Instance != "b" {
		t.Errorf("got %+v %+v", got[2].StartMove, got[3].StartMove)
	}
	if w := got[4].DeclareWave; len(w.Pools) != 2 || w.Until.Hour() != 3 {
		t.Errorf("got %+v", w)
	}
	if got[5].SetWave.State != fleet.WaveRunning {
		t.Errorf("got %+v", got[5].SetWave)
	}
}

// Guards against a set command that creates a pool or member because its name is
// misspelt, and against a create command that overwrites an existing one.
func TestCreateAndSetAreRefusedForTheWrongNames(t *testing.T) {
	state := fleet.State{
		Pools:   map[string]fleet.Pool{"p": {Name: "p"}},
		Members: map[string]fleet.Member{"m": {Name: "m"}},
	}
	for text, accepted := range map[string]bool{
		"set pool p budget 1; create pool q budget 1; set pool q budget 2": true,
		"set member m cap 1; create member n cap 1":                        true,
		"create pool p budget 1":                                           false,
		"create pool q budget 1; create pool q budget 1":                   false,
		"set pool q budget 1":                                              false,
		"create member m cap 1":                                            false,
		"set member n cap 1":                                               false,
	} {
		parsed, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		next, err := fleet.Apply(state, fleet.Change{ID: "c", Commands: parsed.Steps()})
		if err != nil {
			t.Fatal(err)
		}
		if result, _ := next.ResultOf("c"); (result.Refusal == "") != accepted {
			t.Errorf("%q: refusal %q", text, result.Refusal)
		}
	}
}

// Guards against a panic of the parser, and against a statement whose printed form
// parses to another statement.
func FuzzParse(f *testing.F) {
	for _, text := range docExamples(f) {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := Parse(text)
		if err != nil {
			var e *SyntaxError
			if !errors.As(err, &e) || e.Line < 1 || e.Column < 1 || e.Expected == "" {
				t.Fatalf("no useful error: %v", err)
			}
			return
		}
		again, err := Parse(parsed.String())
		if err != nil {
			t.Fatalf("%q printed as %q: %v", text, parsed, err)
		}
		if !reflect.DeepEqual(parsed, again) {
			t.Fatalf("%q printed as %q, read as %q", text, parsed, again)
		}
	})
}
