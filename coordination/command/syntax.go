package command

import (
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/go-faster/errors"
)

// SyntaxError names the first word of a text that cannot be parsed.
type SyntaxError struct {
	// Word is the word as written; it is empty at the end of a statement.
	Word string
	// Line and Column count from 1; columns count characters.
	Line     int
	Column   int
	Expected string
}

// Error returns the position, the word and what was expected instead.
func (e *SyntaxError) Error() string {
	word := "the statement ends"
	if e.Word != "" {
		word = fmt.Sprintf("unexpected %q", e.Word)
	}
	return fmt.Sprintf("command: line %d, column %d: %s, expected %s", e.Line, e.Column, word, e.Expected)
}

// endOfStatement describes a separator among the expected tokens of an error.
const endOfStatement = "the end of the statement"

// candidate is a sample value that is tried at the position of an unexpected word.
type candidate struct {
	text        string
	description string
	// matchesKeywords is set if every keyword is also a valid value of this kind.
	matchesKeywords bool
}

// valueCandidates are tried in order; the first one that parses is reported.
var valueCandidates = []candidate{
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

// newSyntaxError converts an error of the parser to a SyntaxError. It finds what
// was expected by trying each candidate in place of the unexpected word.
func newSyntaxError(text string, err error) *SyntaxError {
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
	e.Expected = expectedAfter(currentStatement(text[:at.Offset]))
	return e
}

// wordAt returns the word at the offset; it is empty at a separator and at the end
// of the text.
func wordAt(text string, offset int) string {
	lex, err := lexerRules.LexString("", text[offset:])
	if err != nil {
		return ""
	}
	t, err := lex.Next()
	if err != nil || t.EOF() || t.Type == tokenTypes["Separator"] {
		return ""
	}
	return strings.TrimSpace(t.Value)
}

// currentStatement returns the text after the last separator. Only this part is
// parsed again for each candidate, so that the cost of an error does not grow with
// the length of the text.
func currentStatement(text string) string {
	lex, err := lexerRules.LexString("", text)
	if err != nil {
		return text
	}
	start := 0
	for t, err := lex.Next(); err == nil && !t.EOF(); t, err = lex.Next() {
		if t.Type == tokenTypes["Separator"] {
			start = t.Pos.Offset + len(t.Value)
		}
	}
	return text[start:]
}

// expectedAfter lists the values and keywords that may follow the text.
func expectedAfter(before string) string {
	var choices []string
	words := keywords
	for _, c := range valueCandidates {
		if !mayFollow(before, c.text) {
			continue
		}
		choices = append(choices, c.description)
		if c.matchesKeywords {
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

// mayFollow reports whether the parser accepts the word after the text.
func mayFollow(before, word string) bool {
	text := before + " " + word
	_, err := grammar.ParseString("", text)
	if err == nil {
		return true
	}
	var failure participle.Error
	return errors.As(err, &failure) && failure.Position().Offset >= len(text)
}

// mixedKindsError reports the first command among queries, or the first query
// among commands.
func mixedKindsError(text string, s statement) *SyntaxError {
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
