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
	// ExitDone means that the call was answered and a change applied.
	ExitDone = 0
	// ExitRefused means that the change or call was refused.
	ExitRefused = 1
	// ExitUsage means wrong options or a syntax error in a statement.
	ExitUsage = 2
	// ExitUnknown means that the change may or may not be applied.
	ExitUnknown = 3
	// ExitUnreachable means that no entry answered and nothing was changed.
	ExitUnreachable = 4
)

// maxTextBytes is above the 65,536 characters that an entry takes, so that the
// entry reports a text that is too long.
const maxTextBytes = 4 << 16

// words are a statement on the command line, without its first word.
type words struct {
	Words []string `arg:"positional" placeholder:"WORD"`
}

type runCommand struct {
	Text string `arg:"positional" help:"statements; read from --file or the standard input if left out"`
	File string `arg:"--file" help:"file with statements; - is the standard input"`
}

type changeCommand struct {
	ID string `arg:"positional,required" help:"identifier of the change"`
}

// options are the command line; each verb of the language is a subcommand.
type options struct {
	Run     *runCommand     `arg:"subcommand:run" help:"run statements, separated by ';' or new lines"`
	Change  *changeCommand  `arg:"subcommand:change" help:"tell what became of a change"`
	Explain *explainCommand `arg:"subcommand:explain" help:"tell the story of a job from the logs of entries"`
	Dump    *struct{}       `arg:"subcommand:dump" help:"print the state of the entry"`
	Metrics *struct{}       `arg:"subcommand:metrics" help:"print the metrics of the entry"`
	Show    *words          `arg:"subcommand:show" help:"ask: pools, members, instances, waves, versions, usage, movable, drainable, change"`
	Create  *words          `arg:"subcommand:create" help:"create a pool or member"`
	Set     *words          `arg:"subcommand:set" help:"change a pool or member"`
	Add     *words          `arg:"subcommand:add" help:"add an instance"`
	Drop    *words          `arg:"subcommand:drop" help:"drop an instance"`
	Move    *words          `arg:"subcommand:move" help:"move instances to a pool"`
	Cancel  *words          `arg:"subcommand:cancel" help:"cancel a move or drain"`
	Declare *words          `arg:"subcommand:declare" help:"declare a maintenance wave"`
	Pause   *words          `arg:"subcommand:pause" help:"pause a wave"`
	Resume  *words          `arg:"subcommand:resume" help:"resume a wave"`
	End     *words          `arg:"subcommand:end" help:"end a wave"`

	Address    string        `arg:"--address,env:AZUREPOINT_ADDRESS" placeholder:"IP:PORT" help:"operators' address of an entry"`
	SecretFile string        `arg:"--secret-file,env:AZUREPOINT_SECRET_FILE" placeholder:"FILE" help:"file with the operators' secret"`
	JSON       bool          `arg:"--json" help:"print the answer as JSON"`
	ID         string        `arg:"--id" help:"identifier of the change; with the one of an earlier call, its result is returned"`
	Author     string        `arg:"--author,env:AZUREPOINT_AUTHOR" help:"who makes the change, for the log"`
	DryRun     bool          `arg:"--dry-run" help:"only tell whether the change would be applied now"`
	Timeout    time.Duration `arg:"--timeout" default:"30s" help:"longest time for the call with its retries"`
}

// Description is shown at the top of the help.
func (options) Description() string {
	return "Asks and changes a fleet that azurepoint manages. See docs/language.md for the statements."
}

// Epilogue is shown at the end of the help.
func (options) Epilogue() string {
	return "Exit codes: 0 done, 1 refused, 2 usage or syntax error, 3 outcome unknown, 4 cannot reach an entry."
}

// parse reads the arguments; verb is the subcommand.
func parse(args []string) (p *arg.Parser, o options, verb string, err error) {
	p, err = arg.NewParser(arg.Config{Program: "azurepoint"}, &o)
	if err != nil {
		return nil, o, "", err
	}
	if err = p.Parse(args); err != nil {
		return p, o, "", err
	}
	names := p.SubcommandNames()
	if len(names) == 0 {
		return p, o, "", errors.New("a command is missing")
	}
	return p, o, names[0], o.check()
}

func (o *options) check() (err error) {
	if o.Explain != nil {
		// Logs are read without an entry.
		return nil
	}
	if _, err = netip.ParseAddrPort(o.Address); err != nil {
		return errors.Errorf("--address or AZUREPOINT_ADDRESS must be an IP:port, not %q", o.Address)
	}
	if o.SecretFile == "" {
		return errors.New("--secret-file or AZUREPOINT_SECRET_FILE is required")
	}
	if o.Timeout <= 0 {
		return errors.New("--timeout must be above 0")
	}
	return nil
}

// text returns the statements of the command line, file or standard input.
func (o *options) text(verb string, stdin io.Reader) (text string, err error) {
	for _, w := range []*words{
		o.Show, o.Create, o.Set, o.Add, o.Drop, o.Move, o.Cancel, o.Declare, o.Pause, o.Resume, o.End,
	} {
		if w != nil {
			return verb + " " + strings.Join(w.Words, " "), nil
		}
	}
	switch {
	case o.Run.Text != "" && o.Run.File != "":
		return "", errors.New("give either statements or --file")
	case o.Run.Text != "":
		return o.Run.Text, nil
	case o.Run.File == "" || o.Run.File == "-":
		return readAll(stdin)
	}
	return readFile(o.Run.File)
}

func readFile(path string) (text string, err error) {
	f, err := os.Open(path) // #nosec G304 G703 -- the operator names this file
	if err != nil {
		return "", err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return readAll(f)
}

func readAll(r io.Reader) (text string, err error) {
	all, err := io.ReadAll(io.LimitReader(r, maxTextBytes+1))
	if err != nil {
		return "", err
	}
	if len(all) > maxTextBytes {
		return "", errors.Errorf("the text is longer than %d bytes", maxTextBytes)
	}
	return string(all), nil
}
