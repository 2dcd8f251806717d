package command

import (
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/go-faster/errors"
)

// SyntaxError names the first word of a text that cannot be understood.
type SyntaxError struct {
	// Word is as it was written; empty at the end of a statement.
	Word string
	// Line and Column count from 1; a column is one character.
	Line     int
	Column   int
	Expected string
}

// Error returns the place, the word and what was expected instead.
func (e *SyntaxError) Error() string {
	word := "the statement ends"
	if e.Word != "" {
		word = fmt.Sprintf("unexpected %q", e.Word)
	}
	return fmt.Sprintf("command: line %d, column %d: %s, expected %s", e.Line, e.Column, word, e.Expected)
}

// endOfStatement is what an error says where a separator may come.
const endOfStatement = "the end of the statement"

// candidate is a value that may stand at a place of a text.
type candidate struct {
	text   string
	called string
	// anyWord is set if the keywords have the form of the value too.
	anyWord bool
}

// values are tried in order; the first one that fits is named.
var values = []candidate{
	{"a_change", "an identifier of 1 to 64 characters without spaces", true},
	{"a-name", "a name of 1 to 64 characters of a-z, 0-9, '.' and '-'", true},
	{"1", "a whole number up to 1000000000", false},
	{"10.0.0.1:1", "an IP:port such as 10.0.0.1:8000", false},
	{"2026-01-02T03:04:05Z", "a time such as 2026-01-02T15:04:05Z", false},
}

// keywords are the fixed words of the grammar.
var keywords = []string{
	"show", "pools", "members", "instances", "waves", "versions", "usage", "movable", "drainable", "change",
	"create", "set", "add", "drop", "move", "cancel", "declare", "pause", "resume", "end",
	"pool", "member", "instance", "wave", "drain", "in", "to", "for", "until",
	"budget", "spare", "cap", "share", "minimum", "address", "dataCentre", "rack", "slots", ",",
}

// explain turns an error of the parser into a SyntaxError; it finds what was
// expected by trying each candidate in the place of the unexpected word.
func explain(text string, err error) *SyntaxError {
	var failure participle.Error
	if !errors.As(err, &failure) {
		return &SyntaxError{Line: 1, Column: 1, Expected: err.Error()}
	}
	at := failure.Position()
	e := &SyntaxError{Word: wordAt(text, at.Offset), Line: at.Line, Column: at.Column}
	if strings.HasPrefix(e.Word, `"`) && !strings.HasSuffix(e.Word[1:], `"`) {
		e.Expected = `a closing '"' on the same line`
		return e
	}
	e.Expected = expected(currentStatement(text[:at.Offset]))
	return e
}

// wordAt returns the word that begins at the offset, empty for a separator or
// the end of the text.
func wordAt(text string, offset int) string {
	lex, err := rules.LexString("", text[offset:])
	if err != nil {
		return ""
	}
	t, err := lex.Next()
	if err != nil || t.EOF() || t.Type == tokens["Separator"] {
		return ""
	}
	return strings.TrimSpace(t.Value)
}

// currentStatement returns what follows the last separator, so that the time to
// explain an error does not depend on the length of the text.
func currentStatement(text string) string {
	lex, err := rules.LexString("", text)
	if err != nil {
		return text
	}
	begin := 0
	for t, err := lex.Next(); err == nil && !t.EOF(); t, err = lex.Next() {
		if t.Type == tokens["Separator"] {
			begin = t.Pos.Offset + len(t.Value)
		}
	}
	return text[begin:]
}

func expected(before string) string {
	var choices []string
	words := keywords
	for _, c := range values {
		if !mayFollow(before, c.text) {
			continue
		}
		choices = append(choices, c.called)
		if c.anyWord {
			words = nil
		}
		break
	}
	for _, w := range words {
		if mayFollow(before, w) {
			choices = append(choices, fmt.Sprintf("%q", w))
		}
	}
	if strings.TrimSpace(before) != "" && mayFollow(before, ";") {
		choices = append(choices, endOfStatement)
	}
	if len(choices) < 2 {
		return strings.Join(choices, "")
	}
	last := len(choices) - 1
	return strings.Join(choices[:last], ", ") + " or " + choices[last]
}

// mayFollow tells whether the parser gets past the word.
func mayFollow(before, word string) bool {
	text := before + " " + word
	_, err := grammar.ParseString("", text)
	if err == nil {
		return true
	}
	var failure participle.Error
	return errors.As(err, &failure) && failure.Position().Offset >= len(text)
}

// mixed reports the first statement that is not of the kind of the others.
func mixed(text string, s statement) *SyntaxError {
	kind := "only queries in one text with queries"
	if s.Query != nil {
		kind = "only commands in one text with commands"
	}
	return &SyntaxError{
		Word:     wordAt(text, s.Pos.Offset),
		Line:     s.Pos.Line,
		Column:   s.Pos.Column,
		Expected: kind,
	}
}
