package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/platformd/internal/catalog"
	"github.com/azurepoint/azurepoint/platformd/internal/server"
)

// headerTimeout is how long a connection may take to send the headers of a
// request.
const headerTimeout = 10 * time.Second

// maxHeadBytes limits the headers of a request.
const maxHeadBytes = 32 << 10

// options are the flags of the program.
type options struct {
	Listen string        `arg:"--listen" default:"127.0.0.1:0" help:"IP number and port to serve on; port 0 takes a free one"`
	Lag    time.Duration `arg:"--lag" default:"2s" help:"time until a change of the instance list is shown"`
	Seed   uint64        `arg:"--seed" default:"1" help:"seed of the faults that are drawn at random"`
}

// Run serves until the context ends and returns the exit code. It prints the
// listen address on one line once connections are accepted.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) (code int) {
	var o options
	p, err := arg.NewParser(arg.Config{Program: "platformd"}, &o)
	if err != nil {
		return reportError(stderr, err)
	}
	err = p.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		p.WriteHelp(stdout)
		return 0
	}
	if err != nil {
		p.WriteUsage(stderr)
		return reportError(stderr, err)
	}
	if err = serve(ctx, o, stdout); err != nil {
		return reportError(stderr, err)
	}
	return 0
}

func reportError(stderr io.Writer, err error) (code int) {
	_, _ = fmt.Fprintln(stderr, "platformd:", err)
	return 1
}

func serve(ctx context.Context, o options, stdout io.Writer) (err error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", o.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s := &http.Server{
		Handler:           server.New(&catalog.Catalog{Lag: o.Lag}, o.Seed),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeadBytes,
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	if _, err = fmt.Fprintln(stdout, "listening", l.Addr()); err != nil {
		return errors.Wrap(err, "print the listen address")
	}
	select {
	case err = <-ended:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	// Close does not wait for open watches, which would delay a graceful shutdown.
	if err = s.Close(); err != nil {
		return errors.Wrap(err, "close")
	}
	<-ended
	return nil
}
