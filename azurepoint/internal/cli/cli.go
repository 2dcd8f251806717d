package cli

import (
	"context"
	"crypto/rand"
	"io"
	"os"
	"os/signal"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/operatorapi"
	"github.com/azurepoint/azurepoint/coordination/command"
)

// Main runs the program with the arguments and standard streams of the process and
// returns its exit code.
func Main() (code int) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
}

// Run parses the arguments, runs the subcommand and returns the exit code.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) (code int) {
	parser, o, subcommand, err := parseOptions(args)
	if errors.Is(err, arg.ErrHelp) {
		if err = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...); err != nil {
			return ExitUsage
		}
		return ExitDone
	}
	p := printer{out: stdout, errOut: stderr, json: o.JSON}
	if err != nil {
		return p.reportError(ExitUsage, err)
	}
	if o.Explain != nil {
		return explain(o.Explain, stdin, p)
	}
	if o.Check != nil {
		return checkFile(o.Check, p)
	}
	secret, err := readFile(o.SecretFile)
	if err != nil {
		return p.reportError(ExitUsage, err)
	}
	c, err := newClient(o.Address, strings.TrimSpace(secret))
	if err != nil {
		return p.reportError(ExitUsage, err)
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	return execute(ctx, c, &o, subcommand, stdin, p)
}

func execute(ctx context.Context, c *client, o *options, subcommand string, stdin io.Reader, p printer) (code int) {
	switch subcommand {
	case "change":
		result, err := callWithRetry(ctx, c, func(ctx context.Context) (*operatorapi.ChangeFate, error) {
			return c.api.GetChange(ctx, operatorapi.GetChangeParams{ID: o.Change.ID})
		})
		return printAnswer(err, p, func() int { return p.printChange(result) })
	case "dump":
		text, err := callWithRetry(ctx, c, c.dump)
		return printAnswer(err, p, func() int { return p.printDump(text) })
	case "metrics":
		m, err := callWithRetry(ctx, c, c.api.ListMetrics)
		return printAnswer(err, p, func() int { return p.printMetrics(m) })
	}
	text, err := o.statementText(subcommand, stdin)
	if err != nil {
		return p.reportError(ExitUsage, err)
	}
	return runStatements(ctx, c, o, text, p)
}

// printAnswer prints the answer of a read-only call, or the error of the call.
func printAnswer(err error, p printer, show func() (code int)) (code int) {
	if err != nil {
		return p.reportCallError(err, "")
	}
	return show()
}

// runStatements sends the statements to the entry. A change always gets an
// identifier, so that it can be sent again safely.
func runStatements(ctx context.Context, c *client, o *options, text string, p printer) (code int) {
	r := &operatorapi.Statements{Text: text, DryRun: operatorapi.NewOptBool(o.DryRun)}
	r.ID.SetTo(o.ID)
	if o.ID == "" {
		r.ID.SetTo(strings.ToLower(rand.Text()))
	}
	if o.Author != "" {
		r.Author.SetTo(o.Author)
	}
	reply, err := callWithRetry(ctx, c, func(ctx context.Context) (*operatorapi.Reply, error) {
		return c.api.RunStatements(ctx, r)
	})
	switch {
	case err == nil:
		return p.printReply(reply)
	case c.mayHaveApplied && !o.DryRun && mayChange(text):
		p.errorf("azurepoint: outcome of change %s unknown: %v", r.ID.Value, err)
		p.errorf("azurepoint: query it with 'azurepoint change %s', or repeat the command with --id %s", r.ID.Value, r.ID.Value)
		return ExitUnknown
	}
	return p.reportCallError(err, text)
}

// mayChange reports whether the statements may contain a change. It returns true
// for statements that it cannot parse, since the entry may support a newer version
// of the language.
func mayChange(text string) bool {
	t, err := command.Parse(text)
	return err != nil || len(t.Commands) > 0
}
