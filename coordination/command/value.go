package command

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// maxNameLength is the longest name of the configuration, in characters.
const maxNameLength = 64

// maxNumber is the largest number of the language; with 59,000 accelerators in
// two years, every cap and budget is far below it.
const maxNumber = 1_000_000_000

// Years of a time in the language; within them a time prints as it was read.
const (
	firstYear = 2000
	lastYear  = 2999
)

// Name is the name of a pool, member, instance, rack, data centre or
// wave: 1 to 64 characters of a-z, 0-9, '.' and '-'.
type Name string

// ChangeID identifies a change: 1 to 64 printable ASCII characters without
// spaces and double quotes; it is quoted in a text if it holds ';', ',' or '#'.
type ChangeID string

// Names is a list of at least one name.
type Names struct {
	Each []Name
}

// Number is a whole number from 0 to 1,000,000,000.
type Number int

// Address is the IP number and port of an endpoint.
type Address string

// Time is a point in time, in UTC.
type Time time.Time

// Parse takes a name from the text, bare or in double quotes.
func (n *Name) Parse(lex *lexer.PeekingLexer) (err error) {
	return take(lex, func(text string) (ok bool) {
		*n = Name(strings.Trim(text, `"`))
		return ValidName(string(*n))
	})
}

// Parse takes the identifier of a change from the text.
func (i *ChangeID) Parse(lex *lexer.PeekingLexer) (err error) {
	return take(lex, func(text string) (ok bool) {
		*i = ChangeID(strings.Trim(text, `"`))
		return ValidChangeID(string(*i))
	})
}

// String returns the identifier as it is written in the language.
func (i ChangeID) String() string {
	if strings.ContainsAny(string(i), ";,#") {
		return `"` + string(i) + `"`
	}
	return string(i)
}

// ValidChangeID tells whether the text keeps the rule for identifiers.
func ValidChangeID(text string) bool {
	outside := func(r rune) bool { return r <= ' ' || r > '~' || r == '"' }
	return text != "" && len(text) <= maxNameLength && !strings.ContainsFunc(text, outside)
}

// Parse takes names with commas between them from the text; a comma commits it
// to one more name, so that an error names the word after the comma.
func (l *Names) Parse(lex *lexer.PeekingLexer) (err error) {
	var n Name
	if err = n.Parse(lex); err != nil {
		return err
	}
	l.Each = []Name{n}
	for lex.Peek().Type == tokens["Comma"] {
		lex.Next()
		if err = n.Parse(lex); err != nil {
			return &participle.UnexpectedTokenError{Unexpected: *lex.Peek()}
		}
		l.Each = append(l.Each, n)
	}
	return nil
}

// String returns the list as it is written in the language.
func (l Names) String() string {
	texts := make([]string, 0, len(l.Each))
	for _, n := range l.Each {
		texts = append(texts, string(n))
	}
	return strings.Join(texts, ", ")
}

// ValidName tells whether the text keeps the rule for names.
func ValidName(text string) bool {
	if text == "" || len(text) > maxNameLength {
		return false
	}
	outside := func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '.' && r != '-'
	}
	return !strings.ContainsFunc(text, outside)
}

// Parse takes a number from the text.
func (n *Number) Parse(lex *lexer.PeekingLexer) (err error) {
	return take(lex, func(text string) (ok bool) {
		value, err := strconv.ParseUint(text, 10, 32)
		*n = Number(value)
		return err == nil && value <= maxNumber
	})
}

// Parse takes an IP number with a port from the text.
func (a *Address) Parse(lex *lexer.PeekingLexer) (err error) {
	return take(lex, func(text string) (ok bool) {
		value, err := netip.ParseAddrPort(text)
		*a = Address(value.String())
		return err == nil && value.Port() != 0 && value.Addr().Zone() == ""
	})
}

// Parse takes a time in the form of RFC 3339 from the text.
func (t *Time) Parse(lex *lexer.PeekingLexer) (err error) {
	return take(lex, func(text string) (ok bool) {
		value, err := time.Parse(time.RFC3339, text)
		value = value.UTC()
		*t = Time(value)
		return err == nil && value.Year() >= firstYear && value.Year() <= lastYear
	})
}

// String returns the time as it is written in the language.
func (t Time) String() string {
	return time.Time(t).Format(time.RFC3339Nano)
}

// take moves past the next token if it is a word that is accepted; a word in
// double quotes is passed with them, so that only the kinds that allow them take
// it.
func take(lex *lexer.PeekingLexer, accept func(text string) (ok bool)) (err error) {
	t := lex.Peek()
	isWord := t.Type == tokens["Word"] || t.Type == tokens["Quoted"]
	if !isWord || !accept(t.Value) {
		return participle.NextMatch
	}
	lex.Next()
	return nil
}
