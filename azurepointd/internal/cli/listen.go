package cli

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/azurepointd/internal/settings"
	"github.com/azurepoint/azurepoint/coordination/occupancy"
	"github.com/azurepoint/azurepoint/entry/client"
)

// Names of the listeners.
const (
	callersListener   = "callers"
	operatorsListener = "operators"
	peersListener     = "peers"
)

const (
	// maxDefaultConnections is the highest number of connections of callers by default.
	maxDefaultConnections = 12_000
	// callerSockets, operatorSockets and peerSockets are the parts of the descriptors that the connections of a
	// listener may use: 1 of each number.
	callerSockets, operatorSockets, peerSockets = 2, 16, 8
	// spareShare is the part of the connections whose requests are refused, beyond those that are served.
	spareShare = 8
	// operatorRequests is the part of the memory for requests that those of operators may take beside it: 1 of
	// this number.
	operatorRequests = 8
	// bodyFactor is the memory that a request takes for each byte of its body: the text, its copy while it is
	// decoded, and the values.
	bodyFactor = 4
)

// httpService is an HTTP server with its listener.
type httpService struct {
	name   string
	server *client.Server
	exit   <-chan error
}

// service describes a listener.
type service struct {
	name      string
	address   netip.AddrPort
	handler   http.Handler
	protocols *http.Protocols
	bodyBytes int64
}

// listen opens the address; serve starts the server.
func listen(ctx context.Context, v service, l settings.Limits) (s *httpService, err error) {
	s = &httpService{name: v.name, server: &client.Server{
		Name: v.name, Handler: v.handler, Table: &occupancy.Table{}, OnRefusal: countRefusal, Protocols: v.protocols,
		Limits: client.Limits{
			HeadBytes: l.MaxHeadBytes, BodyBytes: v.bodyBytes, HeadTimeout: l.HeadTimeout, BodyTimeout: l.BodyTimeout,
			IdleTimeout: l.IdleTimeout, AnswerTimeout: l.AnswerTimeout,
		},
		BodyFactor: bodyFactor, Streaming: v.name == peersListener, WriteRefusal: writeRefusal,
	}}
	s.server.Table.SetLimits(occupancyLimits(v.name, l, descriptors()))
	receiveBytes := client.ReceiveBytes
	if v.name == peersListener {
		receiveBytes = client.PeerReceiveBytes
	}
	s.server.Listener, err = client.Listen(ctx, v.address.String(), receiveBytes)
	if err != nil {
		event.ListenFailed.Log(log.Fields{"service": v.name, "address": v.address.String()})
		return nil, errors.Wrapf(err, "cli: listen for %s", v.name)
	}
	return s, nil
}

// descriptors returns how many descriptors the process may have.
func descriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return callerSockets * maxDefaultConnections
	}
	return int(min(limit.Cur, callerSockets*maxDefaultConnections))
}

// occupancyLimits returns how many connections a listener holds and how much memory its requests may take.
func occupancyLimits(name string, l settings.Limits, descriptors int) (o occupancy.Limits) {
	o.Bytes = l.RequestMemory << 20
	switch name {
	case operatorsListener:
		o.Connections = min(l.OperatorConnections, descriptors/operatorSockets)
		o.Bytes /= operatorRequests
	case peersListener:
		o.Connections = min(l.PeerConnections, descriptors/peerSockets)
	default:
		o.Connections = l.MaxConnections
		if o.Connections == 0 {
			o.Connections = descriptors / callerSockets
		}
	}
	o.Spare = max(1, o.Connections/spareShare)
	return o
}

// clientRefusalsDropped counts the log entries beyond the rate limit.
var clientRefusalsDropped atomic.Int64

var clientRefused = event.ClientRefused.WithRateLimit(1, &clientRefusalsDropped)

// countRefusal counts a client that was refused or disconnected because of a limit, and logs some of them.
func countRefusal(listener string, r client.Reason) {
	metrics.GetOrRegisterCounter("clients."+listener+"."+string(r), nil).Inc(1)
	if r != client.ReasonIdle && clientRefused.Allow() {
		clientRefused.Log(log.Fields{"service": listener, "reason": string(r)})
	}
}

// writeRefusal answers a refused request in the form of the APIs.
func writeRefusal(w http.ResponseWriter, _ *http.Request, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error only means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(map[string]string{"message": reason + "; the request did not run"})
}

func (s *httpService) address() net.Addr {
	return s.server.Listener.Addr()
}

// serve starts the server; the channel exit receives the error with which it ends.
func (s *httpService) serve(ctx context.Context) {
	event.Listening.Log(log.Fields{"service": s.name, "address": s.server.Listener.Addr().String()})
	s.exit = s.server.Serve(ctx)
}

// shutdown accepts no new connections and waits for open requests to finish until
// the context ends; then it closes the server.
func (s *httpService) shutdown(ctx context.Context) {
	if err := s.server.Shutdown(ctx); err != nil {
		event.StopTimedOut.Log(log.Fields{"service": s.name})
	}
}
