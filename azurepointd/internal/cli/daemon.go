package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/azurepointd/internal/caller"
	"github.com/azurepoint/azurepoint/azurepointd/internal/dispatch"
	"github.com/azurepoint/azurepoint/azurepointd/internal/endpoint"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/azurepointd/internal/operator"
	"github.com/azurepoint/azurepoint/azurepointd/internal/peer"
	"github.com/azurepoint/azurepoint/azurepointd/internal/platform"
	"github.com/azurepoint/azurepoint/azurepointd/internal/reconcile"
	"github.com/azurepoint/azurepoint/azurepointd/internal/request"
	"github.com/azurepoint/azurepoint/azurepointd/internal/settings"
	"github.com/azurepoint/azurepoint/azurepointd/internal/traffic"
	"github.com/azurepoint/azurepoint/coordination/changelog"
	store "github.com/azurepoint/azurepoint/coordination/platform"
	"github.com/azurepoint/azurepoint/coordination/retry"
)

const (
	// stopTimeout limits a planned stop; requests that are still open then are cut off.
	stopTimeout = 2 * time.Minute
	// maxIdleConnections is the number of idle connections kept open to a host. The
	// platform needs them for the watches of the change log and the instance list,
	// a lease, and a change.
	maxIdleConnections = 8
	// announceTimeout limits the round of heartbeats that announces the planned stop.
	announceTimeout = 2 * time.Second
)

// daemon holds the parts of an entry instance.
type daemon struct {
	settings     settings.Settings
	directory    *peer.Directory
	registration *peer.Registration
	follower     *platform.Follower
	home         *request.Service
	dispatcher   *dispatch.Dispatcher
	caller       *caller.Handler
	operator     *operator.Operator
	maintenance  *reconcile.Controller

	services     []*httpService
	exits        chan partExit
	runningParts int
}

// partExit reports that a long-running part has ended.
type partExit struct {
	part string
	err  error
}

// localPeer implements the peer service for the other entries and this entry itself.
// Each method of the service is implemented by exactly one of the embedded parts.
type localPeer struct {
	*peer.Directory
	*request.Service
	*dispatch.Dispatcher
	*platform.Follower
}

func newDaemon(s settings.Settings) (d *daemon) {
	client := &store.Client{
		Address:     s.Platform.Address.String(),
		Name:        s.Entry.Name,
		CallTimeout: s.Platform.Timeout,
		HTTP:        meteredClient("platform"),
	}
	d = &daemon{settings: s, exits: make(chan partExit, 16)}
	d.registration = &peer.Registration{Registry: client, Name: s.Entry.Name, Address: s.Listen.Peer.String()}
	d.directory = &peer.Directory{
		Name:        s.Entry.Name,
		DataCentre:  s.Entry.DataCentre,
		Address:     s.Listen.Peer.String(),
		Incarnation: time.Now().UnixMilli(),
		Secret:      string(s.Peers.Secret),
		Join:        addressStrings(s.Peers.Join),
		Discover:    d.registration.Discover,
		Interval:    s.Peers.Heartbeat,
		Lifetime:    s.Peers.Lifetime,
	}
	d.follower = &platform.Follower{Peers: d.directory, Instances: client, Log: changelog.Log{Store: client}}
	d.directory.Version = d.follower.Version
	endpoints := &endpoint.Client{}
	d.dispatcher = &dispatch.Dispatcher{
		Peers: d.directory, Fleet: d.follower, Endpoints: endpoints, ClockError: s.Limits.ClockError,
		LongestGrant: s.Dispatch.LongestGrant, QueueLength: s.Dispatch.QueueLength,
	}
	d.home = &request.Service{
		Peers: d.directory, Endpoints: endpoints, Fleet: d.follower,
		ClockError: s.Limits.ClockError, SingleCopy: s.Requests.Copies == 1,
		MaxOpen: s.Requests.MaxOpen, Budget: retryBudget(s.Requests.RetryFraction),
	}
	grants := &heldGrants{dataCentre: s.Entry.DataCentre, follower: d.follower, dispatcher: d.dispatcher, home: d.home}
	d.directory.Held = grants.instances
	d.caller = &caller.Handler{
		Peers: d.directory, Fleet: d.follower,
		ClockError: s.Limits.ClockError, KeyLifetime: s.Requests.KeyLifetime,
	}
	d.maintenance = &reconcile.Controller{
		Peers: d.directory, Fleet: d.follower, Grants: d.dispatcher, Endpoints: endpoints, Reports: d.directory,
		Settings: reconcile.Settings{
			FailureTimeout:   s.Maintenance.FailedAfter,
			RebootTimeout:    s.Maintenance.RebootDeadline,
			MaxGrantDuration: s.Dispatch.LongestGrant,
			ClockError:       s.Limits.ClockError,
		},
	}
	d.operator = &operator.Operator{
		Fleet: d.follower, Peers: d.directory, Usage: usageReporter{d.dispatcher, s.Entry.DataCentre},
		Secret: string(s.Operators.Secret),
		Parts: []operator.Part{
			{Name: "settings", Dumper: s},
			{Name: "peers", Dumper: d.directory},
			{Name: "changes", Dumper: d.follower},
			{Name: "caller", Dumper: d.caller},
			{Name: "home", Dumper: d.home},
			{Name: "dispatch", Dumper: d.dispatcher},
			{Name: "upkeep", Dumper: d.maintenance},
		},
	}
	d.directory.Local = localPeer{d.directory, d.home, d.dispatcher, d.follower}
	return d
}

// run starts all parts, serves until the context ends, and then stops the parts
// without cutting off requests in flight, within stopTimeout.
func (d *daemon) run(ctx context.Context, received <-chan os.Signal, stdout, stderr io.Writer) (err error) {
	event.Starting.Log(log.Fields{"entry": d.settings.Entry.Name, "dataCentre": d.settings.Entry.DataCentre})
	if err = d.listen(ctx, stdout); err != nil {
		return err
	}
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	d.start(workCtx)
	for {
		select {
		case <-ctx.Done():
			d.stop(workCtx)
			stopWork()
			return d.wait()
		case e := <-d.exits:
			d.runningParts--
			event.PartFailed.Log(log.Fields{"part": e.part, "error": fmt.Sprint(e.err)})
			stopWork()
			return errors.Wrapf(e.err, "cli: %s ended", e.part)
		case s := <-received:
			if s == syscall.SIGHUP {
				event.HangupIgnored.Log(nil)
			} else {
				d.dump(stderr)
			}
		}
	}
}

// listen opens all addresses before any part starts, so that the start fails if an
// address is in use.
func (d *daemon) listen(ctx context.Context, stdout io.Writer) (err error) {
	callers, err := caller.NewServer(d.caller)
	if err != nil {
		return err
	}
	operators, err := d.operator.Handler()
	if err != nil {
		return err
	}
	callers = caller.LimitRate(callers, d.settings.Limits.CallerRate)
	peers := peer.Handler(d.directory.Local, string(d.settings.Peers.Secret))
	for _, v := range []service{
		{name: callersListener, address: d.settings.Listen.Caller, handler: callers, bodyBytes: d.settings.Limits.MaxBodyBytes},
		{name: operatorsListener, address: d.settings.Listen.Operator, handler: operators, bodyBytes: operator.MaxBodyBytes},
		{name: peersListener, address: d.settings.Listen.Peer, handler: peers, protocols: peer.Protocols()},
	} {
		s, err := listen(ctx, v, d.settings.Limits)
		if err != nil {
			return err
		}
		if v.name == peersListener {
			s.server.Listener = traffic.NewMeter("peer").Listener(s.server.Listener)
		}
		d.services = append(d.services, s)
	}
	fmt.Fprintln(stdout, "listening", d.services[0].address(), d.services[1].address(), d.services[2].address())
	return nil
}

func (d *daemon) start(ctx context.Context) {
	for _, s := range d.services {
		s.serve(ctx)
		d.forwardExit(s.name, s.exit)
	}
	d.forwardExit("registration", d.registration.Run(ctx))
	d.forwardExit("peers", d.directory.Run(ctx))
	d.forwardExit("changes", d.follower.Run(ctx))
	d.forwardExit("home", d.home.Run(ctx))
	d.forwardExit("dispatch", d.dispatcher.Run(ctx))
	d.forwardExit("upkeep", d.maintenance.Run(ctx))
}

// forwardExit forwards the exit of a part to d.exits, which has capacity for all parts.
func (d *daemon) forwardExit(part string, exit <-chan error) {
	d.runningParts++
	go func() { d.exits <- partExit{part: part, err: <-exit} }()
}

// stop announces the planned stop to the peers and refuses new requests. Then it
// stops the dispatcher, the handling of requests as their primary, and the servers,
// in this order; the last two finish the requests in flight.
func (d *daemon) stop(ctx context.Context) {
	event.Stopping.Log(nil)
	d.directory.SetLeaving()
	announceCtx, cancelAnnounce := context.WithTimeout(ctx, announceTimeout)
	d.directory.Announce(announceCtx)
	cancelAnnounce()
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	d.dispatcher.Stop()
	d.home.Stop(ctx)
	for _, s := range d.services {
		s.shutdown(ctx)
	}
}

// wait waits until all parts have ended and returns the first error.
func (d *daemon) wait() (err error) {
	for range d.runningParts {
		if e := <-d.exits; e.err != nil && err == nil {
			err = errors.Wrapf(e.err, "cli: %s", e.part)
		}
	}
	event.Stopped.Log(nil)
	return err
}

func (d *daemon) dump(w io.Writer) {
	for _, p := range d.operator.Parts {
		fmt.Fprintf(w, "== %s\n", p.Name)
		p.Dumper.Dump(w)
	}
	event.StateDumped.Log(nil)
}

// meteredClient returns an HTTP client that counts its bytes in the metrics of that
// name.
func meteredClient(name string) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         traffic.NewMeter(name).DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     time.Minute,
	}}
}

// retryBudget returns the retry budget for a fraction; zero allows no retries.
func retryBudget(fraction float64) retry.Budget {
	if fraction > 0 {
		return retry.Budget{Ratio: fraction}
	}
	const negligible = 1e-6 // zero would select the default of retry.Budget
	return retry.Budget{Ratio: negligible, Burst: negligible}
}

func addressStrings(addresses []netip.AddrPort) (list []string) {
	for _, a := range addresses {
		list = append(list, a.String())
	}
	return list
}
