package home_test

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
	"github.com/azurepoint/azurepoint/azurepointd/internal/home"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

const (
	// detection is how long the entries take to see that one is gone or back.
	detection = time.Second
	// leaseTime is shorter than the longest freeze.
	leaseTime = 2 * time.Second
)

var errLost = errors.New("connection broken")

// unprotected names the one protection that a negative control lacks.
type unprotected string

const (
	rerunElsewhere      unprotected = "a request is run again when its home is gone"
	noFence             unprotected = "endpoints ignore fences"
	claimAtHomeOnly     unprotected = "claims are kept at the home, and an absent one means notRun"
	claimNotAwaited     unprotected = "the task is sent before the backup has the claim"
	forgetIncarnation   unprotected = "a restarted endpoint takes tasks of its earlier incarnation for its own"
	trustAnyAnswer      unprotected = "an answer for another task is taken"
	cancelWithoutAsking unprotected = "a cancelled request is reported notRun whether or not it was sent"
	refusalIgnored      unprotected = "the home sends a task although the backup refused the claim"
	sameIncarnation     unprotected = "a restarted entry has the incarnation of before"
)

// world is a data centre with its network; all chances come from the seed.
type world struct {
	seed       uint64
	lacks      unprotected
	quiet      bool // no faults but those that a test injects
	singleCopy bool
	queue      time.Duration

	mutex     sync.Mutex
	nodes     map[string]*node
	endpoints []*worker
	cuts      map[[2]string]window
	rolls     map[string]uint64
	history
}

// window is a time during which something does not work.
type window struct{ from, until time.Time }

func (w window) covers(t time.Time) bool {
	return !t.Before(w.from) && t.Before(w.until)
}

func newWorld(w *world) *world {
	w.nodes, w.cuts, w.rolls = map[string]*node{}, map[[2]string]window{}, map[string]uint64{}
	w.payloads = map[string]string{}
	w.queue = max(w.queue, 400*time.Millisecond)
	for i := range 4 {
		w.boot(fmt.Sprintf("e%d", i), 1)
	}
	for i := range 3 {
		w.endpoints = append(w.endpoints, &worker{world: w, name: fmt.Sprintf("w%d", i), incarnation: 1})
	}
	return w
}

func (w *world) boot(name string, incarnation int64) {
	n := &node{world: w, name: name, incarnation: incarnation}
	client := &endpoint.Client{Connect: func(address string) (endpointapi.Invoker, error) { return n.connect(address), nil }}
	n.home = &home.Home{Peers: n, Endpoints: client, SingleCopy: w.singleCopy}
	n.caller = &caller.Handler{Peers: n, Fleet: n}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.nodes[name] = n
}

// roll returns a number below one that depends on the seed, the tag and how
// often the tag was rolled, and so hardly on the order of goroutines.
func (w *world) roll(tag ...any) float64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	text := fmt.Sprintln(tag...)
	w.rolls[text]++
	sum := fnv.New64a()
	_, _ = fmt.Fprintln(sum, w.seed, w.rolls[text], text)
	x := sum.Sum64()
	x = (x ^ x>>31) * 0x9e3779b97f4a7c15
	return float64((x^x>>29)>>11) / (1 << 53)
}

func (w *world) span(longest time.Duration, tag ...any) time.Duration {
	return time.Duration(w.roll(tag...) * float64(longest))
}

func (w *world) fault(chance float64, tag ...any) bool {
	return !w.quiet && w.roll(tag...) < chance
}

func (w *world) cut(a, b string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	return w.cuts[[2]string{a, b}].covers(now) || w.cuts[[2]string{b, a}].covers(now)
}

func (w *world) sever(n, m *node, d time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.cuts[[2]string{n.name, m.name}] = window{time.Now(), time.Now().Add(d)}
}

// sorted returns the current incarnation of every entry by name.
func (w *world) sorted() (nodes []*node) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, n := range w.nodes {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b *node) int { return int(a.name[1]) - int(b.name[1]) })
	return nodes
}

// node is an entry; it is its own view of the others.
type node struct {
	world       *world
	name        string
	incarnation int64
	home        *home.Home
	caller      *caller.Handler
	mutex       sync.Mutex
	diedAt      time.Time
	frozen      window
}

func (n *node) kill() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.diedAt = time.Now()
}

func (n *node) freeze(d time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.frozen = window{time.Now(), time.Now().Add(d)}
}

func (n *node) state() (diedAt time.Time, frozen window) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.diedAt, n.frozen
}

// gate holds whatever the entry does next while it is frozen, and ends it when
// the entry is dead.
func (n *node) gate() (err error) {
	_, frozen := n.state()
	for frozen.covers(time.Now()) {
		time.Sleep(time.Until(frozen.until))
		_, frozen = n.state()
	}
	if diedAt, _ := n.state(); !diedAt.IsZero() {
		return errLost
	}
	return nil
}

// seen tells whether another entry counts this one as live.
func (n *node) seen(by string) bool {
	before := time.Now().Add(-detection)
	diedAt, frozen := n.state()
	dead := !diedAt.IsZero() && diedAt.Before(before)
	stuck := frozen.covers(time.Now()) && frozen.from.Before(before)
	return !dead && !stuck && !n.world.cut(n.name, by)
}

func (n *node) Self() membership.Entry {
	return membership.Entry{Name: n.name, DataCentre: "dc", Incarnation: n.incarnation}
}

func (n *node) Live() (live []membership.Entry) {
	for _, m := range n.world.sorted() {
		if m == n || m.seen(n.name) {
			live = append(live, m.Self())
		}
	}
	return live
}

func (n *node) Remote(string) []membership.Entry { return nil }

func (n *node) Owner(string) membership.Entry { return n.Live()[0] }

func (n *node) Dial(name string, incarnation int64) (peerrpc.Peer, error) {
	for _, e := range n.Live() {
		if e.Name == name && (incarnation == 0 || e.Incarnation == incarnation) {
			n.world.mutex.Lock()
			defer n.world.mutex.Unlock()
			return link{from: n, to: n.world.nodes[name]}, nil
		}
	}
	return nil, errors.New("not live")
}

func (n *node) State() *fleet.State {
	return &fleet.State{
		Pools:     map[string]fleet.Pool{"pool": {Name: "pool"}},
		Members:   map[string]fleet.Member{"member": {Name: "member"}},
		Instances: map[string]fleet.Instance{"w0": {Pool: "pool", DataCentre: "dc", Phase: fleet.Serving}},
	}
}

// grant is the dispatcher: it queues for a while and then grants any endpoint.
func (n *node) grant(ctx context.Context, q *peerrpc.GrantRequest) (*peerrpc.GrantReply, error) {
	w := n.world
	id := w.tag(q.GetId())
	select {
	case <-time.After(w.span(w.queue, "queue", id)):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if w.fault(0.02, "no grant", id) {
		return &peerrpc.GrantReply{Reason: "the queue is full"}, nil
	}
	e := w.endpoints[int(w.roll("endpoint", id)*float64(len(w.endpoints)))]
	until := time.Now().Add(leaseTime + time.Duration(q.GetRunMillis())*time.Millisecond)
	return &peerrpc.GrantReply{Granted: true, Endpoint: e.name, Address: e.name, UntilUnixMillis: until.UnixMilli()}, nil
}

// target receives messages; its gate is passed before they are handled.
type target interface{ gate() error }

// deliver carries a message and its answer. The message may be late, even later
// than the sender waits, and the message or the answer may be lost.
func deliver[A any](ctx context.Context, from *node, to target, tag string, call func(ctx context.Context) (A, error)) (answer A, err error) {
	w := from.world
	type reply struct {
		answer A
		err    error
	}
	replies := make(chan reply, 2)
	if w.fault(0.02, tag, "broken") {
		// The sender sees a broken connection while the message is under way.
		replies <- reply{err: errLost}
	}
	go func() {
		var r reply
		defer func() { replies <- r }()
		if r.err = from.gate(); r.err != nil {
			return
		}
		time.Sleep(time.Millisecond)
		if w.fault(0.03, tag, "late") {
			time.Sleep(w.span(4*time.Second, tag, "how late"))
		}
		if r.err = to.gate(); r.err != nil || w.fault(0.02, tag, "lost") {
			r.err = errors.Join(errLost, r.err)
			return
		}
		r.answer, r.err = call(ctx)
		if w.fault(0.03, tag, "answer late") {
			time.Sleep(w.span(2*time.Second, tag, "how late the answer"))
		}
		if to.gate() != nil || w.fault(0.04, tag, "answer lost") {
			r.err = errLost
		}
	}()
	select {
	case r := <-replies:
		answer, err = r.answer, r.err
	case <-ctx.Done():
		err = ctx.Err()
	}
	if gone := from.gate(); gone != nil {
		err = gone
	}
	return answer, err
}

// link is one entry's connection to another.
type link struct {
	peerrpc.Peer
	from, to *node
}

func send[Q, A any](ctx context.Context, l link, name, key string, q Q, call func(context.Context, Q) (A, error)) (answer A, err error) {
	if l.from == l.to {
		return call(ctx, q)
	}
	w := l.from.world
	return deliver(ctx, l.from, l.to, fmt.Sprint(name, l.from.name, l.to.name, w.tag(key)), func(ctx context.Context) (answer A, err error) {
		if w.cut(l.from.name, l.to.name) {
			return answer, errLost
		}
		return call(ctx, q)
	})
}

func (l link) Submit(ctx context.Context, q *peerrpc.SubmitRequest) (*peerrpc.Outcome, error) {
	return send(ctx, l, "submit", q.GetKey(), q, l.to.home.Submit)
}

func (l link) Lookup(ctx context.Context, q *peerrpc.KeyRequest) (*peerrpc.Outcome, error) {
	return send(ctx, l, "lookup", q.GetKey(), q, l.to.home.Lookup)
}

func (l link) Cancel(ctx context.Context, q *peerrpc.KeyRequest) (*peerrpc.Outcome, error) {
	o, err := send(ctx, l, "cancel", q.GetKey(), q, l.to.home.Cancel)
	if l.from.world.lacks == cancelWithoutAsking && err == nil {
		return &peerrpc.Outcome{Key: q.GetKey(), State: "notRun"}, nil
	}
	return o, err
}

func (l link) Claim(ctx context.Context, q *peerrpc.ClaimRequest) (*peerrpc.ClaimReply, error) {
	switch l.from.world.lacks {
	case claimNotAwaited:
		go func() {
			_, _ = send(context.WithoutCancel(ctx), l, "claim", q.GetKey(), q, l.to.home.Claim)
		}()
		fallthrough
	case claimAtHomeOnly:
		return &peerrpc.ClaimReply{Accepted: true}, nil
	}
	reply, err := send(ctx, l, "claim", q.GetKey(), q, l.to.home.Claim)
	if err == nil && l.from.world.lacks == refusalIgnored {
		reply.Accepted = true
	}
	return reply, err
}

func (l link) Conclude(ctx context.Context, q *peerrpc.Outcome) (*peerrpc.Empty, error) {
	return send(ctx, l, "conclude", q.GetKey(), q, l.to.home.Conclude)
}

func (l link) Settle(ctx context.Context, q *peerrpc.KeyRequest) (*peerrpc.Outcome, error) {
	if l.from.world.lacks == rerunElsewhere {
		return l.from.rerun(ctx, q)
	}
	return send(ctx, l, "settle", q.GetKey(), q, l.to.home.Settle)
}

func (l link) Grant(ctx context.Context, q *peerrpc.GrantRequest) (*peerrpc.GrantReply, error) {
	return send(ctx, l, "grant", q.GetId(), q, l.to.grant)
}

func (l link) Release(ctx context.Context, q *peerrpc.ReleaseRequest) (*peerrpc.Empty, error) {
	return send(ctx, l, "release", q.GetId(), q, func(context.Context, *peerrpc.ReleaseRequest) (*peerrpc.Empty, error) {
		return &peerrpc.Empty{}, nil
	})
}

// rerun is what an entry without the protection does when the home is gone.
func (n *node) rerun(ctx context.Context, q *peerrpc.KeyRequest) (*peerrpc.Outcome, error) {
	id := q.GetKey() + "~again@1"
	r, err := n.connect("w0").RunTask(ctx, &endpointapi.Task{Slots: 1, LeaseUntil: time.Now().Add(time.Minute)}, endpointapi.RunTaskParams{ID: id})
	if err != nil {
		return nil, err
	}
	return &peerrpc.Outcome{Key: q.GetKey(), State: "done", Answer: r.Answer.Value}, nil
}
