package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/azurepointd/internal/caller"
	"github.com/azurepoint/azurepoint/azurepointd/internal/dispatch"
	"github.com/azurepoint/azurepoint/azurepointd/internal/endpoint"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/azurepointd/internal/home"
	"github.com/azurepoint/azurepoint/azurepointd/internal/operator"
	"github.com/azurepoint/azurepoint/azurepointd/internal/peer"
	"github.com/azurepoint/azurepoint/azurepointd/internal/platform"
	"github.com/azurepoint/azurepoint/azurepointd/internal/settings"
	"github.com/azurepoint/azurepoint/azurepointd/internal/traffic"
	"github.com/azurepoint/azurepoint/azurepointd/internal/upkeep"
	"github.com/azurepoint/azurepoint/coordination/changelog"
	store "github.com/azurepoint/azurepoint/coordination/platform"
	"github.com/azurepoint/azurepoint/coordination/retry"
)

const (
	// stopWithin bounds a planned stop; requests still open then are cut.
	stopWithin = 2 * time.Minute
	// maxIdleConnections is kept open to the platform: the watches of the log and
	// of the instance list, a lease, and a change.
	maxIdleConnections = 8
	// announceWithin bounds the round of heartbeats that tells of the stop.
	announceWithin = 2 * time.Second
)

// daemon is every part of an entry instance.
type daemon struct {
	settings     settings.Settings
	directory    *peer.Directory
	registration *peer.Registration
	follower     *platform.Follower
	home         *home.Home
	dispatcher   *dispatch.Dispatcher
	caller       *caller.Handler
	operator     *operator.Operator
	upkeep       *upkeep.Upkeep

	services []*service
	ended    chan partEnd
	running  int
}

// partEnd reports that a long-running part has ended.
type partEnd struct {
	part string
	err  error
}

// local answers other entries, and this entry itself, with the part that has the
// duty; each method of the peer service belongs to one part.
type local struct {
	*peer.Directory
	*home.Home
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
	d = &daemon{settings: s, ended: make(chan partEnd, 16)}
	d.registration = &peer.Registration{Registry: client, Name: s.Entry.Name, Address: s.Listen.Peer.String()}
	d.directory = &peer.Directory{
		Name:        s.Entry.Name,
		DataCentre:  s.Entry.DataCentre,
		Address:     s.Listen.Peer.String(),
		Incarnation: time.Now().UnixMilli(),
		Secret:      string(s.Peers.Secret),
		Join:        texts(s.Peers.Join),
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
	d.home = &home.Home{
		Peers: d.directory, Endpoints: endpoints, Fleet: d.follower,
		ClockError: s.Limits.ClockError, SingleCopy: s.Requests.Copies == 1,
		MaxOpen: s.Requests.MaxOpen, Budget: budget(s.Requests.RetryFraction),
	}
	h := &holdings{dataCentre: s.Entry.DataCentre, follower: d.follower, dispatcher: d.dispatcher, home: d.home}
	d.directory.Held = h.held
	d.caller = &caller.Handler{
		Peers: d.directory, Fleet: d.follower,
		ClockError: s.Limits.ClockError, KeyLifetime: s.Requests.KeyLifetime,
	}
	d.upkeep = &upkeep.Upkeep{
		Peers: d.directory, Fleet: d.follower, Grants: d.dispatcher, Endpoints: endpoints, Reports: d.directory,
		Settings: upkeep.Settings{
			FailAfter:    s.Maintenance.FailedAfter,
			BackWithin:   s.Maintenance.RebootDeadline,
			LongestGrant: s.Dispatch.LongestGrant,
			ClockError:   s.Limits.ClockError,
		},
	}
	d.operator = &operator.Operator{
		Fleet: d.follower, Peers: d.directory, Usage: usage{d.dispatcher, s.Entry.DataCentre},
		Secret: string(s.Operators.Secret),
		Parts: []operator.Part{
			{Name: "settings", Dumper: s},
			{Name: "peers", Dumper: d.directory},
			{Name: "changes", Dumper: d.follower},
			{Name: "caller", Dumper: d.caller},
			{Name: "home", Dumper: d.home},
			{Name: "dispatch", Dumper: d.dispatcher},
			{Name: "upkeep", Dumper: d.upkeep},
		},
	}
	d.directory.Local = local{d.directory, d.home, d.dispatcher, d.follower}
	return d
}

// run starts all parts, serves until the context ends, and stops them so that no
// request in flight is cut.
func (d *daemon) run(ctx context.Context, dumps <-chan os.Signal, stdout, stderr io.Writer) (err error) {
	event.Starting.Log(log.Fields{"entry": d.settings.Entry.Name, "dataCentre": d.settings.Entry.DataCentre})
	if err = d.listen(ctx, stdout); err != nil {
		return err
	}
	working, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	d.start(working)
	for {
		select {
		case <-ctx.Done():
			d.stop(working)
			end()
			return d.wait()
		case e := <-d.ended:
			d.running--
			event.PartFailed.Log(log.Fields{"part": e.part, "error": fmt.Sprint(e.err)})
			end()
			return errors.Wrapf(e.err, "cli: %s ended", e.part)
		case <-dumps:
			d.dump(stderr)
		}
	}
}

// listen opens every address before anything starts, so that an address in use
// is an error of the start.
func (d *daemon) listen(ctx context.Context, stdout io.Writer) (err error) {
	callers, err := caller.NewServer(d.caller)
	if err != nil {
		return err
	}
	operators, err := d.operator.Handler()
	if err != nil {
		return err
	}
	callers = http.MaxBytesHandler(callers, d.settings.Limits.MaxBodyBytes)
	callers = caller.LimitRate(callers, d.settings.Limits.CallerRate)
	peers := peer.Handler(d.directory.Local, string(d.settings.Peers.Secret))
	for _, l := range []struct {
		name      string
		address   netip.AddrPort
		handler   http.Handler
		protocols *http.Protocols
	}{
		{"callers", d.settings.Listen.Caller, callers, nil},
		{"operators", d.settings.Listen.Operator, operators, nil},
		{"peers", d.settings.Listen.Peer, peers, peer.Protocols()},
	} {
		s, err := listen(ctx, l.name, l.address, l.handler, l.protocols)
		if err != nil {
			return err
		}
		if l.name == "peers" {
			s.listener = traffic.NewMeter("peer").Listener(s.listener)
		}
		d.services = append(d.services, s)
	}
	fmt.Fprintln(stdout, "listening", d.services[0].listener.Addr(), d.services[1].listener.Addr(), d.services[2].listener.Addr())
	return nil
}

func (d *daemon) start(ctx context.Context) {
	for _, s := range d.services {
		s.serve()
		d.watch(s.name, s.ended)
	}
	d.watch("registration", d.registration.Run(ctx))
	d.watch("peers", d.directory.Run(ctx))
	d.watch("changes", d.follower.Run(ctx))
	d.watch("home", d.home.Run(ctx))
	d.watch("dispatch", d.dispatcher.Run(ctx))
	d.watch("upkeep", d.upkeep.Run(ctx))
}

// watch passes the end of a part on; the capacity of d.ended holds all parts.
func (d *daemon) watch(part string, ended <-chan error) {
	d.running++
	go func() { d.ended <- partEnd{part: part, err: <-ended} }()
}

// stop tells the peers, takes no new requests, and finishes those in flight,
// first as their receiver, then as their home.
func (d *daemon) stop(ctx context.Context) {
	event.Stopping.Log(nil)
	d.directory.SetLeaving()
	announcing, end := context.WithTimeout(ctx, announceWithin)
	d.directory.Announce(announcing)
	end()
	ctx, cancel := context.WithTimeout(ctx, stopWithin)
	defer cancel()
	d.dispatcher.Stop()
	d.home.Stop(ctx)
	for _, s := range d.services {
		s.shut(ctx)
	}
}

// wait returns the first error of the parts that are left.
func (d *daemon) wait() (err error) {
	for range d.running {
		if e := <-d.ended; e.err != nil && err == nil {
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

// meteredClient returns an HTTP client whose bytes are counted under a name.
func meteredClient(name string) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         traffic.NewMeter(name).DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     time.Minute,
	}}
}

// budget returns the retry budget of a fraction; zero allows no retries.
func budget(fraction float64) retry.Budget {
	if fraction > 0 {
		return retry.Budget{Ratio: fraction}
	}
	const none = 1e-6
	return retry.Budget{Ratio: none, Burst: none}
}

func texts(addresses []netip.AddrPort) (all []string) {
	for _, a := range addresses {
		all = append(all, a.String())
	}
	return all
}
