package request_test

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/azurepoint/azurepoint/api/endpointapi"
	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/azurepointd/internal/caller"
	"github.com/azurepoint/azurepoint/azurepointd/internal/endpoint"
	"github.com/azurepoint/azurepoint/azurepointd/internal/request"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

const (
	// detectionDelay is the time until the entries observe that another one is
	// down or live again.
	detectionDelay = time.Second
	// leaseDuration is shorter than the longest freeze, so that leases end
	// while an entry is frozen.
	leaseDuration = 2 * time.Second
)

var errConnectionBroken = errors.New("connection broken")

// variant names the protection that is removed from the implementation or the
// simulation.
type variant string

const (
	rerunWithoutPrimary       variant = "a request is run again when its primary is down"
	ignoreFences              variant = "endpoints ignore fences"
	claimAtPrimaryOnly        variant = "claims are kept at the home, and an absent one means notRun"
	sendBeforeClaimStored     variant = "the task is sent before the backup has the claim"
	ignoreEndpointIncarnation variant = "a restarted endpoint accepts tasks of its earlier incarnation"
	acceptAnyTaskID           variant = "an answer for another task is taken"
	cancelAlwaysNotRun        variant = "a cancelled request is reported notRun whether or not it was sent"
	ignoreClaimRefusal        variant = "the primary sends a task although the backup refused the claim"
	reuseIncarnation          variant = "a restarted entry reuses its previous incarnation"
)

// cluster simulates a data centre and its network. All random decisions derive
// from the seed.
type cluster struct {
	seed           uint64
	variant        variant
	noRandomFaults bool // only the faults that a test injects
	singleCopy     bool
	maxQueueTime   time.Duration

	mutex      sync.Mutex
	entries    map[string]*simulatedEntry
	endpoints  []*simulatedEndpoint
	partitions map[[2]string]window
	draws      map[string]uint64
	history
}

// window is the time span during which a fault lasts.
type window struct{ from, until time.Time }

func (w window) covers(t time.Time) bool {
	return !t.Before(w.from) && t.Before(w.until)
}

func newCluster(cl *cluster) *cluster {
	cl.entries, cl.partitions, cl.draws = map[string]*simulatedEntry{}, map[[2]string]window{}, map[string]uint64{}
	cl.payloads = map[string]string{}
	cl.maxQueueTime = max(cl.maxQueueTime, 400*time.Millisecond)
	for i := range 4 {
		cl.startEntry(fmt.Sprintf("e%d", i), 1)
	}
	for i := range 3 {
		cl.endpoints = append(cl.endpoints, &simulatedEndpoint{cluster: cl, name: fmt.Sprintf("w%d", i), incarnation: 1})
	}
	return cl
}

func (cl *cluster) startEntry(name string, incarnation int64) {
	n := &simulatedEntry{cluster: cl, name: name, incarnation: incarnation}
	client := &endpoint.Client{Connect: func(address string) (endpointapi.Invoker, error) { return n.connect(address), nil }}
	n.home = &request.Service{Peers: n, Endpoints: client, SingleCopy: cl.singleCopy}
	n.caller = &caller.Handler{Peers: n, Fleet: n}
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	cl.entries[name] = n
}

// random returns a number in [0, 1) that depends on the seed, the tag and the
// number of earlier draws with that tag. The order in which goroutines run
// therefore has little influence on it.
func (cl *cluster) random(tag ...any) float64 {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	text := fmt.Sprintln(tag...)
	cl.draws[text]++
	sum := fnv.New64a()
	_, _ = fmt.Fprintln(sum, cl.seed, cl.draws[text], text)
	x := sum.Sum64()
	x = (x ^ x>>31) * 0x9e3779b97f4a7c15
	return float64((x^x>>29)>>11) / (1 << 53)
}

func (cl *cluster) randomDuration(limit time.Duration, tag ...any) time.Duration {
	return time.Duration(cl.random(tag...) * float64(limit))
}

func (cl *cluster) randomFault(probability float64, tag ...any) bool {
	return !cl.noRandomFaults && cl.random(tag...) < probability
}

func (cl *cluster) partitioned(a, b string) bool {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	now := time.Now()
	return cl.partitions[[2]string{a, b}].covers(now) || cl.partitions[[2]string{b, a}].covers(now)
}

func (cl *cluster) partition(n, m *simulatedEntry, d time.Duration) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	cl.partitions[[2]string{n.name, m.name}] = window{time.Now(), time.Now().Add(d)}
}

// sortedEntries returns the latest incarnation of every entry, sorted by name.
func (cl *cluster) sortedEntries() (entries []*simulatedEntry) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	for _, n := range cl.entries {
		entries = append(entries, n)
	}
	slices.SortFunc(entries, func(a, b *simulatedEntry) int { return int(a.name[1]) - int(b.name[1]) })
	return entries
}

// simulatedEntry is an entry; it also implements its own view of the other
// entries.
type simulatedEntry struct {
	cluster     *cluster
	name        string
	incarnation int64
	home        *request.Service
	caller      *caller.Handler
	mutex       sync.Mutex
	diedAt      time.Time
	frozen      window
}

func (n *simulatedEntry) kill() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.diedAt = time.Now()
}

func (n *simulatedEntry) freeze(d time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.frozen = window{time.Now(), time.Now().Add(d)}
}

func (n *simulatedEntry) faultState() (diedAt time.Time, frozen window) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.diedAt, n.frozen
}

// awaitAvailable blocks while the entry is frozen and returns an error if it is
// dead.
func (n *simulatedEntry) awaitAvailable() (err error) {
	_, frozen := n.faultState()
	for frozen.covers(time.Now()) {
		time.Sleep(time.Until(frozen.until))
		_, frozen = n.faultState()
	}
	if diedAt, _ := n.faultState(); !diedAt.IsZero() {
		return errConnectionBroken
	}
	return nil
}

// seenLiveBy reports whether the observer counts this entry as live.
func (n *simulatedEntry) seenLiveBy(observer string) bool {
	before := time.Now().Add(-detectionDelay)
	diedAt, frozen := n.faultState()
	dead := !diedAt.IsZero() && diedAt.Before(before)
	unresponsive := frozen.covers(time.Now()) && frozen.from.Before(before)
	return !dead && !unresponsive && !n.cluster.partitioned(n.name, observer)
}

func (n *simulatedEntry) Self() membership.Entry {
	return membership.Entry{Name: n.name, DataCentre: "dc", Incarnation: n.incarnation}
}

func (n *simulatedEntry) Live() (live []membership.Entry) {
	for _, m := range n.cluster.sortedEntries() {
		if m == n || m.seenLiveBy(n.name) {
			live = append(live, m.Self())
		}
	}
	return live
}

func (n *simulatedEntry) Remote(string) []membership.Entry { return nil }

func (n *simulatedEntry) Owner(string) membership.Entry { return n.Live()[0] }

func (n *simulatedEntry) Dial(name string, incarnation int64) (peerrpc.Peer, error) {
	for _, e := range n.Live() {
		if e.Name == name && (incarnation == 0 || e.Incarnation == incarnation) {
			n.cluster.mutex.Lock()
			defer n.cluster.mutex.Unlock()
			return peerClient{from: n, to: n.cluster.entries[name]}, nil
		}
	}
	return nil, errors.New("not live")
}

func (n *simulatedEntry) State() *fleet.State {
	return &fleet.State{
		Pools:     map[string]fleet.Pool{"pool": {Name: "pool"}},
		Members:   map[string]fleet.Member{"member": {Name: "member"}},
		Instances: map[string]fleet.Instance{"w0": {Pool: "pool", DataCentre: "dc", Phase: fleet.Serving}},
	}
}

// grant acts as the dispatcher: it waits for a random time and then grants a
// slot on a random endpoint.
func (n *simulatedEntry) grant(ctx context.Context, q *peerrpc.GrantRequest) (*peerrpc.GrantReply, error) {
	cl := n.cluster
	id := cl.stableID(q.GetId())
	select {
	case <-time.After(cl.randomDuration(cl.maxQueueTime, "queue", id)):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if cl.randomFault(0.02, "no grant", id) {
		return &peerrpc.GrantReply{Reason: "the queue is full"}, nil
	}
	e := cl.endpoints[int(cl.random("endpoint", id)*float64(len(cl.endpoints)))]
	until := time.Now().Add(leaseDuration + time.Duration(q.GetRunMillis())*time.Millisecond)
	return &peerrpc.GrantReply{Granted: true, Endpoint: e.name, Address: e.name, UntilUnixMillis: until.UnixMilli()}, nil
}

// receiver handles messages once awaitAvailable returns without an error.
type receiver interface{ awaitAvailable() error }

// deliver carries a message and its answer. The message may be delivered late,
// even after the sender has stopped waiting, and the message or the answer may
// be lost.
func deliver[A any](ctx context.Context, from *simulatedEntry, to receiver, tag string, call func(ctx context.Context) (A, error)) (answer A, err error) {
	cl := from.cluster
	type reply struct {
		answer A
		err    error
	}
	replies := make(chan reply, 2)
	if cl.randomFault(0.02, tag, "broken") {
		// The sender observes a broken connection while the message is in transit.
		replies <- reply{err: errConnectionBroken}
	}
	go func() {
		var r reply
		defer func() { replies <- r }()
		if r.err = from.awaitAvailable(); r.err != nil {
			return
		}
		time.Sleep(time.Millisecond)
		if cl.randomFault(0.03, tag, "late") {
			time.Sleep(cl.randomDuration(4*time.Second, tag, "how late"))
		}
		if r.err = to.awaitAvailable(); r.err != nil || cl.randomFault(0.02, tag, "lost") {
			r.err = errors.Join(errConnectionBroken, r.err)
			return
		}
		r.answer, r.err = call(ctx)
		if cl.randomFault(0.03, tag, "answer late") {
			time.Sleep(cl.randomDuration(2*time.Second, tag, "how late the answer"))
		}
		if to.awaitAvailable() != nil || cl.randomFault(0.04, tag, "answer lost") {
			r.err = errConnectionBroken
		}
	}()
	select {
	case r := <-replies:
		answer, err = r.answer, r.err
	case <-ctx.Done():
		err = ctx.Err()
	}
	if unavailable := from.awaitAvailable(); unavailable != nil {
		err = unavailable
	}
	return answer, err
}

// peerClient calls one entry from another.
type peerClient struct {
	peerrpc.Peer
	from, to *simulatedEntry
}

func callPeer[Q, A any](ctx context.Context, l peerClient, name, key string, q Q, call func(context.Context, Q) (A, error)) (answer A, err error) {
	if l.from == l.to {
		return call(ctx, q)
	}
	cl := l.from.cluster
	return deliver(ctx, l.from, l.to, fmt.Sprint(name, l.from.name, l.to.name, cl.stableID(key)), func(ctx context.Context) (answer A, err error) {
		if cl.partitioned(l.from.name, l.to.name) {
			return answer, errConnectionBroken
		}
		return call(ctx, q)
	})
}

func (l peerClient) Submit(ctx context.Context, q *peerrpc.SubmitRequest) (*peerrpc.Outcome, error) {
	return callPeer(ctx, l, "submit", q.GetKey(), q, l.to.home.Submit)
}

func (l peerClient) Lookup(ctx context.Context, q *peerrpc.KeyRequest) (*peerrpc.Outcome, error) {
	return callPeer(ctx, l, "lookup", q.GetKey(), q, l.to.home.Lookup)
}

func (l peerClient) Cancel(ctx context.Context, q *peerrpc.KeyRequest) (*peerrpc.Outcome, error) {
	o, err := callPeer(ctx, l, "cancel", q.GetKey(), q, l.to.home.Cancel)
	if l.from.cluster.variant == cancelAlwaysNotRun && err == nil {
		return &peerrpc.Outcome{Key: q.GetKey(), State: "notRun"}, nil
	}
	return o, err
}

func (l peerClient) Claim(ctx context.Context, q *peerrpc.ClaimRequest) (*peerrpc.ClaimReply, error) {
	switch l.from.cluster.variant {
	case sendBeforeClaimStored:
		go func() {
			_, _ = callPeer(context.WithoutCancel(ctx), l, "claim", q.GetKey(), q, l.to.home.Claim)
		}()
		fallthrough
	case claimAtPrimaryOnly:
		return &peerrpc.ClaimReply{Accepted: true}, nil
	}
	reply, err := callPeer(ctx, l, "claim", q.GetKey(), q, l.to.home.Claim)
	if err == nil && l.from.cluster.variant == ignoreClaimRefusal {
		reply.Accepted = true
	}
	return reply, err
}

func (l peerClient) Conclude(ctx context.Context, q *peerrpc.Outcome) (*peerrpc.Empty, error) {
	return callPeer(ctx, l, "conclude", q.GetKey(), q, l.to.home.Conclude)
}

func (l peerClient) Settle(ctx context.Context, q *peerrpc.KeyRequest) (*peerrpc.Outcome, error) {
	if l.from.cluster.variant == rerunWithoutPrimary {
		return l.from.rerun(ctx, q)
	}
	return callPeer(ctx, l, "settle", q.GetKey(), q, l.to.home.Settle)
}

func (l peerClient) Grant(ctx context.Context, q *peerrpc.GrantRequest) (*peerrpc.GrantReply, error) {
	return callPeer(ctx, l, "grant", q.GetId(), q, l.to.grant)
}

func (l peerClient) Release(ctx context.Context, q *peerrpc.ReleaseRequest) (*peerrpc.Empty, error) {
	return callPeer(ctx, l, "release", q.GetId(), q, func(context.Context, *peerrpc.ReleaseRequest) (*peerrpc.Empty, error) {
		return &peerrpc.Empty{}, nil
	})
}

// rerun runs the task of a key again, as the variant rerunWithoutPrimary does
// when the primary is down.
func (n *simulatedEntry) rerun(ctx context.Context, q *peerrpc.KeyRequest) (*peerrpc.Outcome, error) {
	id := q.GetKey() + "~again@1"
	r, err := n.connect("w0").RunTask(ctx, &endpointapi.Task{Slots: 1, LeaseUntil: time.Now().Add(time.Minute)}, endpointapi.RunTaskParams{ID: id})
	if err != nil {
		return nil, err
	}
	return &peerrpc.Outcome{Key: q.GetKey(), State: "done", Answer: r.Answer.Value}, nil
}
