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

// headerTimeout bounds the wait for the head of a request, so that slow clients
// cannot hold connections open for nothing.
const headerTimeout = 10 * time.Second

// service is one listening HTTP server.
type service struct {
	name     string
	server   *http.Server
	listener net.Listener
	ended    chan error
}

// listen opens the address; the server starts with serve.
func listen(ctx context.Context, name string, address netip.AddrPort, h http.Handler, p *http.Protocols) (s *service, err error) {
	s = &service{
		name:   name,
		server: &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, Protocols: p},
		ended:  make(chan error, 1),
	}
	s.listener, err = new(net.ListenConfig).Listen(ctx, "tcp", address.String())
	if err != nil {
		event.ListenFailed.Log(log.Fields{"service": name, "address": address.String()})
		return nil, errors.Wrapf(err, "cli: listen for %s", name)
	}
	return s, nil
}

// serve begins to answer; the channel ended reports why it stopped.
func (s *service) serve() {
	event.Listening.Log(log.Fields{"service": s.name, "address": s.listener.Addr().String()})
	go func() {
		err := s.server.Serve(s.listener)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		s.ended <- err
	}()
}

// shut takes no new connections and waits for the open requests until the
// context ends.
func (s *service) shut(ctx context.Context) {
	if err := s.server.Shutdown(ctx); err != nil {
		event.StopTimedOut.Log(log.Fields{"service": s.name})
		_ = s.server.Close()
	}
}
