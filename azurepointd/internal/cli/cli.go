package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/azurepointd/internal/settings"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Settings string `arg:"positional,required" help:"path of the settings file (INI)"`
	Check    bool   `arg:"--check" help:"check the settings, report every fault at once, and start nothing"`
}

// Description is the first line of the help text.
func (options) Description() string {
	return "azurepointd is the daemon of an entry instance."
}

// Main runs the program and returns its exit code. SIGTERM and SIGINT start a planned
// stop; SIGUSR1 writes a state dump to stderr; SIGHUP changes nothing.
func Main(arguments []string, stdout, stderr io.Writer) (code int) {
	var o options
	parser, err := arg.NewParser(arg.Config{Program: "azurepointd", Out: stderr}, &o)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	switch err := parser.Parse(arguments); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(stdout)
		return exitOK
	case err != nil:
		parser.WriteUsage(stderr)
		fmt.Fprintln(stderr, "azurepointd:", err)
		return exitUsage
	}
	s, err := settings.Load(o.Settings)
	if err != nil {
		event.SettingsRefused.Log(log.Fields{"file": o.Settings})
		fmt.Fprintf(stderr, "azurepointd: %s: %v\n", o.Settings, err)
		return exitUsage
	}
	if o.Check {
		fmt.Fprintf(stdout, "%s: no errors\n", o.Settings)
		return exitOK
	}
	configureLog(s.Log, stderr)
	if err := run(s, stdout, stderr); err != nil {
		fmt.Fprintln(stderr, "azurepointd:", err)
		return exitFailed
	}
	return exitOK
}

func run(s settings.Settings, stdout, stderr io.Writer) (err error) {
	// The signals stay registered: the default action of some ends the daemon with requests in hand.
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGUSR1, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return newDaemon(s).run(ctx, received, stdout, stderr)
}

func configureLog(l settings.Log, stderr io.Writer) {
	log.SetLevelFromString(string(l.Level))
	log.SetHandler(text.New(stderr))
	if l.Format == settings.FormatJSON {
		log.SetHandler(json.New(stderr))
	}
}
