package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/apex/log"
	logtext "github.com/apex/log/handlers/text"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/endpointd/internal/platform"
	"github.com/azurepoint/azurepoint/endpointd/internal/standin"
	"github.com/azurepoint/azurepoint/endpointd/internal/worker"
)

// headerTimeout is how long a connection may take to send the headers of a
// request.
const headerTimeout = 10 * time.Second

// maxHeadBytes limits the headers of a request.
const maxHeadBytes = 32 << 10

type options struct {
	Listen      string        `arg:"--listen" default:"127.0.0.1:0" help:"IP address and port to listen at; port 0 takes a free one"`
	Name        string        `arg:"--name,required" help:"name of the instance"`
	DataCentre  string        `arg:"--data-centre,required" help:"data centre of the instance"`
	Platform    string        `arg:"--platform" help:"address of the platform, as IP:PORT or a URL; no registration if empty"`
	Slots       int           `arg:"--slots" default:"8" help:"tasks of size one that run at once"`
	Connections int           `arg:"--connections" default:"64" help:"calls that may wait for a task at once"`
	RebootTime  time.Duration `arg:"--reboot-time" default:"30s" help:"how long a reboot takes"`
	UsageLag    time.Duration `arg:"--usage-lag" default:"2s" help:"how often the reported usage is measured"`
}

// Description returns the first line of the help text.
func (options) Description() string {
	return "endpointd simulates an endpoint for tests and the demo."
}

// Main runs endpointd until ctx ends and returns its exit code.
func Main(ctx context.Context, arguments []string, stdout, stderr io.Writer) (code int) {
	log.SetHandler(logtext.New(stderr))
	var o options
	parser, err := arg.NewParser(arg.Config{Program: "endpointd", Out: stderr}, &o)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 2
	}
	switch err := parser.Parse(arguments); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(stdout)
		return 0
	case err != nil:
		parser.WriteUsage(stderr)
		_, _ = fmt.Fprintln(stderr, "endpointd:", err)
		return 2
	}
	if err := o.validate(); err != nil {
		_, _ = fmt.Fprintln(stderr, "endpointd:", err)
		return 2
	}
	if err := run(ctx, o, stdout); err != nil {
		_, _ = fmt.Fprintln(stderr, "endpointd:", err)
		return 1
	}
	return 0
}

func (o options) validate() (err error) {
	switch {
	case o.Slots < 1:
		return errors.Errorf("--slots: must be at least 1, not %d", o.Slots)
	case o.Connections < 1:
		return errors.Errorf("--connections: must be at least 1, not %d", o.Connections)
	case o.RebootTime < 0:
		return errors.Errorf("--reboot-time: must not be negative, not %s", o.RebootTime)
	case o.UsageLag <= 0:
		return errors.Errorf("--usage-lag: must be positive, not %s", o.UsageLag)
	}
	return nil
}

func run(ctx context.Context, o options, stdout io.Writer) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &worker.Worker{Name: o.Name, Slots: o.Slots, Connections: o.Connections, RebootTime: o.RebootTime}
	handler, err := standin.NewServer(w)
	if err != nil {
		return err
	}
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", o.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	address := listener.Addr().String()
	registration, err := platform.NewRegistration(o.Name, o.DataCentre, address, o.Slots)
	if err != nil {
		return err
	}
	measuringDone := measureUsage(ctx, w, o.UsageLag)
	registrationDone := make(<-chan error)
	if o.Platform != "" {
		registrationDone = platform.KeepRegistered(ctx, platformURL(o.Platform), registration)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeadBytes}
	serveDone := serve(server, listener)
	_, _ = fmt.Fprintln(stdout, "listening", address)
	select {
	case err = <-serveDone:
		cancel()
	case <-ctx.Done():
		_ = server.Close()
		<-serveDone
	}
	<-measuringDone
	if o.Platform != "" {
		<-registrationDone
	}
	return err
}

func platformURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimRight(address, "/")
	}
	return "http://" + address
}

func serve(s *http.Server, l net.Listener) <-chan error {
	ended := make(chan error, 1)
	go func() {
		err := s.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		ended <- err
	}()
	return ended
}

// measureUsage measures the usage at each interval of lag, so that the reported
// usage can be out of date by up to that time.
func measureUsage(ctx context.Context, w *worker.Worker, lag time.Duration) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(lag)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				w.Measure()
			case <-ctx.Done():
				ended <- nil
				return
			}
		}
	}()
	return ended
}
