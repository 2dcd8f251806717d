package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/demo/internal/capacity"
)

// Exit codes of the program.
const (
	exitDone     = 0
	exitViolated = 1
	exitUsage    = 2
	exitFailed   = 3
)

// stopTimeout bounds the graceful stop of all processes together.
const stopTimeout = 8 * time.Second

type options struct {
	Bin       string        `arg:"--bin" default:"bin" help:"folder of the built programs"`
	Requests  int           `arg:"--requests" default:"600" help:"how many requests to send"`
	Parallel  int           `arg:"--parallel" default:"24" help:"how many callers wait at once"`
	Within    time.Duration `arg:"--within" default:"55s" help:"end of the whole run"`
	LogFolder string        `arg:"--logs" help:"folder for the logs; a temporary one that is removed if empty"`
	Capacity  bool          `arg:"--capacity" help:"measure instead what entries spend on control at several sizes"`
	Hold      bool          `arg:"--hold" help:"only start the fleet, print the addresses, and keep it until interrupted"`
}

// Description is the first line of the help text.
func (options) Description() string {
	return "demo runs a small fleet on loopback and checks its properties under load."
}

// Main runs the demo and returns its exit code.
func Main(arguments []string, stdout, stderr io.Writer) (code int) {
	var o options
	parser, err := arg.NewParser(arg.Config{Program: "demo", Out: stderr}, &o)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	switch err := parser.Parse(arguments); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(stdout)
		return exitDone
	case err != nil:
		parser.WriteUsage(stderr)
		fmt.Fprintln(stderr, "demo:", err)
		return exitUsage
	}
	// A closed terminal sends SIGHUP, which the daemons of the fleet survive.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer stop()
	return run(ctx, o, stdout, stderr)
}

func run(ctx context.Context, o options, stdout, stderr io.Writer) (code int) {
	if o.Capacity {
		if err := capacity.Run(ctx, o.Bin, stdout); err != nil {
			fmt.Fprintln(stderr, "demo:", err)
			return exitFailed
		}
		return exitDone
	}
	logs := o.LogFolder
	if logs == "" {
		folder, err := os.MkdirTemp("", "azurepoint-demo-")
		if err != nil {
			fmt.Fprintln(stderr, "demo:", err)
			return exitFailed
		}
		defer func() { _ = os.RemoveAll(folder) }()
		logs = folder
	}
	if err := os.MkdirAll(logs, 0o750); err != nil {
		fmt.Fprintln(stderr, "demo:", err)
		return exitFailed
	}
	f := newFleet()
	f.Group.Bin, f.Group.Logs = o.Bin, logs
	defer f.Group.StopAll(stopTimeout)
	err := f.Start(ctx)
	if err == nil {
		err = configure(ctx, f)
	}
	if err != nil {
		fmt.Fprintln(stderr, "demo:", err)
		return exitFailed
	}
	if o.Hold {
		f.Print(stdout)
		<-ctx.Done()
		return exitDone
	}
	ctx, cancel := context.WithTimeout(ctx, o.Within)
	defer cancel()
	counts, violations, err := scenario{f}.run(ctx, o, stdout)
	for reason, count := range counts.Reasons {
		fmt.Fprintf(stdout, "demo: %d without an answer: %s\n", count, reason)
	}
	for _, v := range violations {
		fmt.Fprintln(stdout, "violated:", v)
	}
	if err != nil {
		fmt.Fprintln(stderr, "demo:", err)
	}
	fmt.Fprintln(stdout, counts)
	switch {
	case len(violations) > 0:
		return exitViolated
	case err != nil:
		return exitFailed
	}
	return exitDone
}
