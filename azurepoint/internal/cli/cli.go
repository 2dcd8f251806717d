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

// Main runs the program with the arguments and streams of the process.
func Main() (code int) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
}

// Run runs the program and returns its exit code.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) (code int) {
	parser, o, verb, err := parse(args)
	if errors.Is(err, arg.ErrHelp) {
		if err = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...); err != nil {
			return ExitUsage
		}
		return ExitDone
	}
	p := printer{out: stdout, errors: stderr, json: o.JSON}
	if err != nil {
		return p.fail(ExitUsage, err)
	}
	if o.Explain != nil {
		return explain(o.Explain, stdin, p)
	}
	secret, err := readFile(o.SecretFile)
	if err != nil {
		return p.fail(ExitUsage, err)
	}
	c, err := newClient(o.Address, strings.TrimSpace(secret))
	if err != nil {
		return p.fail(ExitUsage, err)
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	return perform(ctx, c, &o, verb, stdin, p)
}

func perform(ctx context.Context, c *client, o *options, verb string, stdin io.Reader, p printer) (code int) {
	switch verb {
	case "change":
		fate, err := call(ctx, c, func(ctx context.Context) (*operatorapi.ChangeFate, error) {
			return c.api.GetChange(ctx, operatorapi.GetChangeParams{ID: o.Change.ID})
		})
		return finish(err, p, func() int { return p.change(fate) })
	case "dump":
		text, err := call(ctx, c, c.dump)
		return finish(err, p, func() int { return p.dump(text) })
	case "metrics":
		m, err := call(ctx, c, c.api.ListMetrics)
		return finish(err, p, func() int { return p.metrics(m) })
	}
	text, err := o.text(verb, stdin)
	if err != nil {
		return p.fail(ExitUsage, err)
	}
	return statements(ctx, c, o, text, p)
}

// finish prints the answer of a call that changes nothing, or its error.
func finish(err error, p printer, show func() (code int)) (code int) {
	if err != nil {
		return p.failCall(err, "")
	}
	return show()
}

// statements sends the text; a change always has an identifier, so that it can
// be sent again.
func statements(ctx context.Context, c *client, o *options, text string, p printer) (code int) {
	r := &operatorapi.Statements{Text: text, DryRun: operatorapi.NewOptBool(o.DryRun)}
	r.ID.SetTo(o.ID)
	if o.ID == "" {
		r.ID.SetTo(strings.ToLower(rand.Text()))
	}
	if o.Author != "" {
		r.Author.SetTo(o.Author)
	}
	reply, err := call(ctx, c, func(ctx context.Context) (*operatorapi.Reply, error) {
		return c.api.RunStatements(ctx, r)
	})
	switch {
	case err == nil:
		return p.reply(reply)
	case c.lost && !o.DryRun && mayChange(text):
		p.errorf("azurepoint: outcome of change %s unknown: %v", r.ID.Value, err)
		p.errorf("azurepoint: ask with 'azurepoint change %s', or send the same with --id %s", r.ID.Value, r.ID.Value)
		return ExitUnknown
	}
	return p.failCall(err, text)
}

// mayChange leaves a text that it cannot parse to the entry, whose language may
// be newer.
func mayChange(text string) bool {
	t, err := command.Parse(text)
	return err != nil || len(t.Commands) > 0
}
