package command

import (
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// Text is what an operator wrote: only queries, or only the commands of one
// change.
type Text struct {
	Queries  []Query
	Commands []Command
}

// Steps returns the commands as the steps of one change, in their order.
func (t Text) Steps() (steps []fleet.Command) {
	for _, c := range t.Commands {
		steps = append(steps, c.Steps()...)
	}
	return steps
}

// String returns the statements in the language, one a line.
func (t Text) String() string {
	var lines []string
	for _, q := range t.Queries {
		lines = append(lines, q.String())
	}
	for _, c := range t.Commands {
		lines = append(lines, c.String())
	}
	return strings.Join(lines, "\n")
}

// rules of the lexer; one separator takes all empty statements and comments that
// follow it, so that the grammar needs no repetition of it.
var rules = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Separator", Pattern: `[;\n](?:[ \t\r\f;\n]|#[^\n]*)*`},
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "Space", Pattern: `[ \t\r\f]+`},
	{Name: "Comma", Pattern: `,\s*`},
	{Name: "Quoted", Pattern: `"[^"\n]*"`},
	{Name: "Unclosed", Pattern: `"[^"\n]*`},
	{Name: "Word", Pattern: `[^ \t\r\f\n;,#"]+`},
})

var tokens = rules.Symbols()

// script is the root of the grammar.
type script struct {
	Statements []statement `parser:"Separator? (@@ (Separator @@)*)? Separator?"`
}

// statement keeps the place where a statement begins; exactly one of the other
// fields is set.
type statement struct {
	Pos     lexer.Position
	Query   Query   `parser:"  @@"`
	Command Command `parser:"| @@"`
}

var grammar = participle.MustBuild[script](
	participle.Lexer(rules),
	participle.Elide("Comment", "Space"),
	participle.Union[Query](ShowList{}, ShowInstances{}, ShowMovable{}, ShowDrainable{}, ShowChange{}),
	participle.Union[Command](
		CreatePool{}, SetPool{}, CreateMember{}, SetMember{}, AddInstance{}, DropInstance{},
		Move{}, CancelMove{}, CancelDrain{}, DeclareWave{}, ChangeWave{},
	),
)

// Parse reads a text; every error is a SyntaxError.
func Parse(text string) (t Text, err error) {
	s, err := grammar.ParseString("", text)
	if err != nil {
		return Text{}, explain(text, err)
	}
	for _, one := range s.Statements {
		if one.Query != nil {
			t.Queries = append(t.Queries, one.Query)
		} else {
			t.Commands = append(t.Commands, one.Command)
		}
		if len(t.Queries) > 0 && len(t.Commands) > 0 {
			return Text{}, mixed(text, one)
		}
	}
	return t, nil
}
