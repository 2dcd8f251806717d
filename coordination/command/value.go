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

// maxNumber is the largest number in the language. Every cap and budget is far
// below it: 59,000 accelerators are expected in two years.
const maxNumber = 1_000_000_000

// Range of years of a time. Within it, a printed time parses to the same time.
const (
	firstYear = 2000
	lastYear  = 2999
)

// Name is the name of a pool, member, instance, rack, data centre or
// wave: 1 to 64 characters of a-z, 0-9, '.' and '-'.
type Name string

// ChangeID identifies a change: 1 to 64 printable ASCII characters without
// spaces and double quotes. It is written in quotes if it contains ';', ',' or '#'.
type ChangeID string

// Names is a list of one or more names.
type Names struct {
	Values []Name
}

// Number is a whole number from 0 to 1,000,000,000.
type Number int

// Address is the IP address and port of an endpoint.
type Address string

// Time is a point in time, in UTC.
type Time time.Time

// Parse reads a name, with or without double quotes.
func (n *Name) Parse(lex *lexer.PeekingLexer) (err error) {
	return parseWord(lex, func(text string) (ok bool) {
		*n = Name(strings.Trim(text, `"`))
		return ValidName(string(*n))
	})
}

// Parse reads the identifier of a change.
func (i *ChangeID) Parse(lex *lexer.PeekingLexer) (err error) {
	return parseWord(lex, func(text string) (ok bool) {
		*i = ChangeID(strings.Trim(text, `"`))
		return ValidChangeID(string(*i))
	})
}

// String returns the identifier as written in the language.
func (i ChangeID) String() string {
	if strings.ContainsAny(string(i), ";,#") {
		return `"` + string(i) + `"`
	}
	return string(i)
}

// ValidChangeID reports whether the text is a valid ChangeID.
func ValidChangeID(text string) bool {
	invalid := func(r rune) bool { return r <= ' ' || r > '~' || r == '"' }
	return text != "" && len(text) <= maxNameLength && !strings.ContainsFunc(text, invalid)
}

// Parse reads names that are separated by commas. A comma must be followed by
// another name, so that an error points to the word after the comma.
func (l *Names) Parse(lex *lexer.PeekingLexer) (err error) {
	var n Name
	if err = n.Parse(lex); err != nil {
		return err
	}
	l.Values = []Name{n}
	for lex.Peek().Type == tokenTypes["Comma"] {
		lex.Next()
		if err = n.Parse(lex); err != nil {
			return &participle.UnexpectedTokenError{Unexpected: *lex.Peek()}
		}
		l.Values = append(l.Values, n)
	}
	return nil
}

// String returns the list as written in the language.
func (l Names) String() string {
	texts := make([]string, 0, len(l.Values))
	for _, n := range l.Values {
		texts = append(texts, string(n))
	}
	return strings.Join(texts, ", ")
}

// ValidName reports whether the text is a valid Name.
func ValidName(text string) bool {
	if text == "" || len(text) > maxNameLength {
		return false
	}
	invalid := func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '.' && r != '-'
	}
	return !strings.ContainsFunc(text, invalid)
}

// Parse reads a number.
func (n *Number) Parse(lex *lexer.PeekingLexer) (err error) {
	return parseWord(lex, func(text string) (ok bool) {
		value, err := strconv.ParseUint(text, 10, 32)
		*n = Number(value)
		return err == nil && value <= maxNumber
	})
}

// Parse reads an IP address with a port.
func (a *Address) Parse(lex *lexer.PeekingLexer) (err error) {
	return parseWord(lex, func(text string) (ok bool) {
		value, err := netip.ParseAddrPort(text)
		*a = Address(value.String())
		return err == nil && value.Port() != 0 && value.Addr().Zone() == ""
	})
}

// Parse reads a time in RFC 3339 format.
func (t *Time) Parse(lex *lexer.PeekingLexer) (err error) {
	return parseWord(lex, func(text string) (ok bool) {
		value, err := time.Parse(time.RFC3339, text)
		value = value.UTC()
		*t = Time(value)
		return err == nil && value.Year() >= firstYear && value.Year() <= lastYear
	})
}

// String returns the time as written in the language.
func (t Time) String() string {
	return time.Time(t).Format(time.RFC3339Nano)
}

// parseWord consumes the next token if it is a word that accept returns true for.
// A quoted word is passed with its quotes, so that only the types that allow quotes
// accept it.
func parseWord(lex *lexer.PeekingLexer, accept func(text string) (ok bool)) (err error) {
	t := lex.Peek()
	isWord := t.Type == tokenTypes["Word"] || t.Type == tokenTypes["Quoted"]
	if !isWord || !accept(t.Value) {
		return participle.NextMatch
	}
	lex.Next()
	return nil
}
