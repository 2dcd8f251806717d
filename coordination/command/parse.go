package command

import (
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// ParsedText is a parsed text: it has either only queries, or only commands, which form
// one change.
type ParsedText struct {
	Queries  []Query
	Commands []Command
}

// Steps returns the commands in order as the steps of one change.
func (t ParsedText) Steps() (steps []fleet.Command) {
	for _, c := range t.Commands {
		steps = append(steps, c.Steps()...)
	}
	return steps
}

// String returns the statements in the language, one per line.
func (t ParsedText) String() string {
	var lines []string
	for _, q := range t.Queries {
		lines = append(lines, q.String())
	}
	for _, c := range t.Commands {
		lines = append(lines, c.String())
	}
	return strings.Join(lines, "\n")
}

// lexerRules defines the tokens. A separator includes all empty statements and
// comments that follow it, so that the grammar need not repeat it.
var lexerRules = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Separator", Pattern: `[;\n](?:[ \t\r\f;\n]|#[^\n]*)*`},
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "Space", Pattern: `[ \t\r\f]+`},
	{Name: "Comma", Pattern: `,\s*`},
	{Name: "Quoted", Pattern: `"[^"\n]*"`},
	{Name: "Unclosed", Pattern: `"[^"\n]*`},
	{Name: "Word", Pattern: `[^ \t\r\f\n;,#"]+`},
})

var tokenTypes = lexerRules.Symbols()

// script is the root of the grammar.
type script struct {
	Statements []statement `parser:"Separator? (@@ (Separator @@)*)? Separator?"`
}

// statement is a query or a command with its position; exactly one of Query and
// Command is set.
type statement struct {
	Pos     lexer.Position
	Query   Query   `parser:"  @@"`
	Command Command `parser:"| @@"`
}

var grammar = participle.MustBuild[script](
	participle.Lexer(lexerRules),
	participle.Elide("Comment", "Space"),
	participle.Union[Query](ShowList{}, ShowInstances{}, ShowMovable{}, ShowDrainable{}, ShowChange{}),
	participle.Union[Command](
		CreatePool{}, SetPool{}, CreateMember{}, SetMember{}, AddInstance{}, DropInstance{},
		Move{}, CancelMove{}, CancelDrain{}, DeclareWave{}, ChangeWave{},
	),
)

// Parse reads a text; every error is a SyntaxError.
func Parse(text string) (t ParsedText, err error) {
	s, err := grammar.ParseString("", text)
	if err != nil {
		return ParsedText{}, newSyntaxError(text, err)
	}
	for _, parsed := range s.Statements {
		if parsed.Query != nil {
			t.Queries = append(t.Queries, parsed.Query)
		} else {
			t.Commands = append(t.Commands, parsed.Command)
		}
		if len(t.Queries) > 0 && len(t.Commands) > 0 {
			return ParsedText{}, mixedKindsError(text, parsed)
		}
	}
	return t, nil
}
