package cli

import (
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"
)

// Exit codes of the program; docs/azurepoint.1 lists them.
const (
	// ExitDone means that the call was answered and any change was applied.
	ExitDone = 0
	// ExitRefused means that the change or the call was refused.
	ExitRefused = 1
	// ExitUsage means invalid options or a syntax error in a statement.
	ExitUsage = 2
	// ExitUnknown means that it is unknown whether the change was applied.
	ExitUnknown = 3
	// ExitUnreachable means that no entry answered and that nothing was changed.
	ExitUnreachable = 4
)

// maxTextBytes is the largest text that is read. It is above the entry's limit of
// 65,536 characters, so that the entry reports a text that is too long.
const maxTextBytes = 4 << 16

// statementWords holds the words of a statement on the command line that follow
// its first word.
type statementWords struct {
	Words []string `arg:"positional" placeholder:"WORD"`
}

type runCommand struct {
	Text string `arg:"positional" help:"statements; read from --file or the standard input if left out"`
	File string `arg:"--file" help:"file with statements; - is the standard input"`
}

type changeCommand struct {
	ID string `arg:"positional,required" help:"identifier of the change"`
}

// options are the options and subcommands of the command line. Each statement of
// the language has a subcommand of the same name.
type options struct {
	Run     *runCommand     `arg:"subcommand:run" help:"run statements, separated by ';' or new lines"`
	Change  *changeCommand  `arg:"subcommand:change" help:"tell what became of a change"`
	Explain *explainCommand `arg:"subcommand:explain" help:"tell the story of a job from the logs of entries"`
	Check   *checkCommand   `arg:"subcommand:check" help:"find the faults of a configuration of queues, pools and organisations"`
	Dump    *struct{}       `arg:"subcommand:dump" help:"print the state of the entry"`
	Metrics *struct{}       `arg:"subcommand:metrics" help:"print the metrics of the entry"`
	Show    *statementWords `arg:"subcommand:show" help:"ask: pools, members, instances, waves, versions, usage, movable, drainable, change"`
	Create  *statementWords `arg:"subcommand:create" help:"create a pool or member"`
	Set     *statementWords `arg:"subcommand:set" help:"change a pool or member"`
	Add     *statementWords `arg:"subcommand:add" help:"add an instance"`
	Drop    *statementWords `arg:"subcommand:drop" help:"drop an instance"`
	Move    *statementWords `arg:"subcommand:move" help:"move instances to a pool"`
	Cancel  *statementWords `arg:"subcommand:cancel" help:"cancel a move or drain"`
	Declare *statementWords `arg:"subcommand:declare" help:"declare a maintenance wave"`
	Pause   *statementWords `arg:"subcommand:pause" help:"pause a wave"`
	Resume  *statementWords `arg:"subcommand:resume" help:"resume a wave"`
	End     *statementWords `arg:"subcommand:end" help:"end a wave"`

	Address    string        `arg:"--address,env:AZUREPOINT_ADDRESS" placeholder:"IP:PORT" help:"operators' address of an entry"`
	SecretFile string        `arg:"--secret-file,env:AZUREPOINT_SECRET_FILE" placeholder:"FILE" help:"file with the operators' secret"`
	JSON       bool          `arg:"--json" help:"print the answer as JSON"`
	ID         string        `arg:"--id" help:"identifier of the change; with the one of an earlier call, its result is returned"`
	Author     string        `arg:"--author,env:AZUREPOINT_AUTHOR" help:"who makes the change, for the log"`
	DryRun     bool          `arg:"--dry-run" help:"only tell whether the change would be applied now"`
	Timeout    time.Duration `arg:"--timeout" default:"30s" help:"longest time for the call with its retries"`
}

// Description returns the text at the top of the help.
func (options) Description() string {
	return "Queries and changes a fleet that azurepoint manages. See docs/language.md for the statements."
}

// Epilogue returns the text at the end of the help.
func (options) Epilogue() string {
	return "Exit codes: 0 done, 1 refused, 2 usage or syntax error, 3 outcome unknown, 4 cannot reach an entry."
}

// parseOptions parses and validates the arguments and returns the name of the
// subcommand.
func parseOptions(args []string) (p *arg.Parser, o options, subcommand string, err error) {
	p, err = arg.NewParser(arg.Config{Program: "azurepoint"}, &o)
	if err != nil {
		return nil, o, "", err
	}
	if err = p.Parse(args); err != nil {
		return p, o, "", err
	}
	names := p.SubcommandNames()
	if len(names) == 0 {
		return p, o, "", errors.New("a command is required")
	}
	return p, o, names[0], o.validate()
}

func (o *options) validate() (err error) {
	if o.Explain != nil || o.Check != nil {
		// These read files and need neither an address nor a secret.
		return nil
	}
	if _, err = netip.ParseAddrPort(o.Address); err != nil {
		return errors.Errorf("--address or AZUREPOINT_ADDRESS must be IP:PORT, not %q", o.Address)
	}
	if o.SecretFile == "" {
		return errors.New("--secret-file or AZUREPOINT_SECRET_FILE is required")
	}
	if o.Timeout <= 0 {
		return errors.New("--timeout must be above 0")
	}
	return nil
}

// statementText returns the statements from the command line, a file or the
// standard input.
func (o *options) statementText(subcommand string, stdin io.Reader) (text string, err error) {
	for _, w := range []*statementWords{
		o.Show, o.Create, o.Set, o.Add, o.Drop, o.Move, o.Cancel, o.Declare, o.Pause, o.Resume, o.End,
	} {
		if w != nil {
			return subcommand + " " + strings.Join(w.Words, " "), nil
		}
	}
	switch {
	case o.Run.Text != "" && o.Run.File != "":
		return "", errors.New("statements and --file cannot be combined")
	case o.Run.Text != "":
		return o.Run.Text, nil
	case o.Run.File == "" || o.Run.File == "-":
		return readLimited(stdin)
	}
	return readFile(o.Run.File)
}

func readFile(path string) (text string, err error) {
	f, err := os.Open(path) // #nosec G304 G703 -- the operator names this file
	if err != nil {
		return "", err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return readLimited(f)
}

func readLimited(r io.Reader) (text string, err error) {
	content, err := io.ReadAll(io.LimitReader(r, maxTextBytes+1))
	if err != nil {
		return "", err
	}
	if len(content) > maxTextBytes {
		return "", errors.Errorf("the text is longer than %d bytes", maxTextBytes)
	}
	return string(content), nil
}
