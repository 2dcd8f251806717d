package cli

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
)

// headerTimeout limits the time to read the headers of a request, so that slow
// clients cannot hold connections open.
const headerTimeout = 10 * time.Second

// httpService is an HTTP server with its listener.
type httpService struct {
	name     string
	server   *http.Server
	listener net.Listener
	exit     chan error
}

// listen opens the address; serve starts the server.
func listen(ctx context.Context, name string, address netip.AddrPort, h http.Handler, p *http.Protocols) (s *httpService, err error) {
	s = &httpService{
		name:   name,
		server: &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, Protocols: p},
		exit:   make(chan error, 1),
	}
	s.listener, err = new(net.ListenConfig).Listen(ctx, "tcp", address.String())
	if err != nil {
		event.ListenFailed.Log(log.Fields{"service": name, "address": address.String()})
		return nil, errors.Wrapf(err, "cli: listen for %s", name)
	}
	return s, nil
}

// serve starts the server; the channel exit receives the error with which it ends.
func (s *httpService) serve() {
	event.Listening.Log(log.Fields{"service": s.name, "address": s.listener.Addr().String()})
	go func() {
		err := s.server.Serve(s.listener)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		s.exit <- err
	}()
}

// shutdown accepts no new connections and waits for open requests to finish until
// the context ends; then it closes the server.
func (s *httpService) shutdown(ctx context.Context) {
	if err := s.server.Shutdown(ctx); err != nil {
		event.StopTimedOut.Log(log.Fields{"service": s.name})
		_ = s.server.Close()
	}
}
