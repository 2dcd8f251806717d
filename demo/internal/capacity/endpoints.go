package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// startEndpoints serves the status of idle endpoints, each at its own address,
// until the context ends. They replace endpointd, because thousands of its
// processes would not fit on one machine.
func startEndpoints(ctx context.Context, count int) (addresses []string, err error) {
	for i := range count {
		l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "capacity: listen for endpoints")
		}
		status := fmt.Sprintf(`{"name":"i%d","state":"serving","incarnation":1,"slots":8,"connections":64,`+
			`"running":[],"reportedAt":"2026-01-01T00:00:00Z"}`, i)
		server := &http.Server{
			ReadHeaderTimeout: time.Second,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/json")
				_, _ = fmt.Fprint(w, status)
			}),
		}
		go func() { _ = server.Serve(l) }()
		context.AfterFunc(ctx, func() { _ = server.Close() })
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
