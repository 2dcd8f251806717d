package home_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/azurepoint/azurepoint/api/callerapi"
)

// operation is what happened to a key: a start at an endpoint, or an outcome
// that a caller was told.
type operation struct {
	key        string
	start      bool
	repeatable bool
	state      callerapi.OutcomeState
	answer     string
}

// history records operations; its clock counts events, so that no two are at
// the same time.
type history struct {
	lock       sync.Mutex
	clock      int64
	operations []porcupine.Operation
	payloads   map[string]string
}

func (h *history) now() int64 {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.clock++
	return h.clock
}

func (h *history) add(from, to int64, o operation) {
	h.lock.Lock()
	defer h.lock.Unlock()
	o.repeatable = strings.HasPrefix(h.payloads[o.key], "repeatable")
	h.operations = append(h.operations, porcupine.Operation{Input: o, Call: from, Return: to})
}

// started records the start of a task and returns the answer of this run.
func (w *world) started(id, payload string) (answer string) {
	key, _, _ := strings.Cut(id, "~")
	at := w.now()
	answer = fmt.Sprintf("%s run %d", payload, at)
	w.add(at, at, operation{key: key, start: true, answer: answer})
	return answer
}

// tag replaces the random key in an id by the number of its request.
func (w *world) tag(id string) string {
	key, rest, _ := strings.Cut(id, "~")
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.payloads[key] + rest
}

// fate is what is known of a key that may not be repeated.
type fate struct {
	started bool
	fenced  bool
	answer  string
}

// fates checks P3, P4 and P5 for one key at a time.
var fates = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		return slices.Collect(maps.Values(byKey(all)))
	},
	Init: func() any { return fate{} },
	Step: func(state, input, _ any) (bool, any) {
		f, _ := state.(fate)
		o, _ := input.(operation)
		switch {
		case o.start:
			legal := !f.fenced && !f.started
			return legal, fate{started: true, answer: o.answer}
		case o.state == callerapi.OutcomeStateDone:
			return f.started && f.answer == o.answer, f
		case o.state == callerapi.OutcomeStateNotRun:
			return !f.started, fate{fenced: true}
		}
		return true, f
	},
}

func byKey(all []porcupine.Operation) (groups map[string][]porcupine.Operation) {
	groups = map[string][]porcupine.Operation{}
	for _, p := range all {
		o, _ := p.Input.(operation)
		groups[o.key] = append(groups[o.key], p)
	}
	return groups
}

// violations names every broken property.
func (w *world) violations() (broken []string) {
	var once []porcupine.Operation
	for _, p := range w.operations {
		if o, _ := p.Input.(operation); !o.repeatable {
			once = append(once, p)
		}
	}
	if !porcupine.CheckOperations(fates, once) {
		broken = append(broken, "the fate of a key is not linearizable")
	}
	for _, g := range byKey(w.operations) {
		broken = append(broken, w.violationsOfKey(g)...)
	}
	return broken
}

func (w *world) violationsOfKey(g []porcupine.Operation) (broken []string) {
	var runs []string
	told := map[callerapi.OutcomeState][]string{}
	var o operation
	for _, p := range g {
		if o, _ = p.Input.(operation); o.start {
			runs = append(runs, o.answer)
		} else {
			told[o.state] = append(told[o.state], o.answer)
		}
	}
	name := w.payloads[o.key]
	for _, answer := range told[callerapi.OutcomeStateDone] {
		if !slices.Contains(runs, answer) {
			broken = append(broken, fmt.Sprintf("P3: %s: answer %q, its runs gave %q", name, answer, runs))
		}
	}
	if len(told[callerapi.OutcomeStateNotRun]) > 0 && len(runs) > 0 {
		broken = append(broken, fmt.Sprintf("P4: %s: told notRun, started %d times", name, len(runs)))
	}
	if !o.repeatable && len(runs) > 1 {
		broken = append(broken, fmt.Sprintf("P5: %s: started %d times", name, len(runs)))
	}
	return broken
}

// client is a caller; it sends each request until it is told a final outcome.
type client struct {
	world *world
	name  string
	open  string
}

// entry returns an entry as the load balancer chooses it.
func (c *client) entry() *node {
	nodes := c.world.sorted()
	start := int(c.world.roll(c.name, "entry") * float64(len(nodes)))
	for i := range nodes {
		if n := nodes[(start+i)%len(nodes)]; n.seen("balancer") {
			return n
		}
	}
	return nodes[start]
}

// run sends requests one after the other.
func (c *client) run(ctx context.Context, requests int) {
	w := c.world
	for i := range requests {
		time.Sleep(w.span(300*time.Millisecond, c.name, "pause"))
		list, err := c.entry().caller.IssueKeys(ctx, &callerapi.KeyOrder{Pool: "pool"})
		if err != nil {
			continue
		}
		repeatable := w.roll(c.name, "repeatable") < 0.15
		payload := fmt.Sprintf("%s.%d", c.name, i)
		if repeatable {
			payload = "repeatable " + payload
		}
		w.lock.Lock()
		w.payloads[list.Keys[0]] = payload
		c.open = list.Keys[0]
		w.lock.Unlock()
		c.submit(ctx, &callerapi.Submission{
			Key: list.Keys[0], Member: "member", Pool: "pool", Payload: callerapi.NewOptString(payload),
			Repeatable: callerapi.NewOptBool(repeatable),
			Deadline:   time.Now().Add(time.Second + w.span(7*time.Second, c.name, "deadline")),
			RunMillis:  callerapi.NewOptInt(int(w.roll(c.name, "run") * 1500)),
		})
	}
}

func (c *client) submit(ctx context.Context, s *callerapi.Submission) {
	w := c.world
	for range 6 {
		patience := time.Until(s.Deadline) + 3*time.Second
		if w.fault(0.3, c.name, "impatient") {
			patience = w.span(time.Second, c.name, "patience")
		}
		what := w.roll(c.name, "what")
		o, told := c.tell(ctx, patience, s.Key, func(ctx context.Context, n *node) (*callerapi.Outcome, error) {
			switch {
			case what < 0.1:
				return n.caller.CancelRequest(ctx, callerapi.CancelRequestParams{Key: s.Key})
			case what < 0.25:
				return n.caller.LookupRequest(ctx, callerapi.LookupRequestParams{Key: s.Key})
			}
			return n.caller.SubmitRequest(ctx, s)
		})
		if told && o != callerapi.OutcomeStateUnknown && o != callerapi.OutcomeStatePending && w.roll(c.name, "asks again") < 0.7 {
			return
		}
		time.Sleep(w.span(time.Second, c.name, "wait"))
	}
}

// tell makes one call at some entry and records the outcome that it gives. An
// error that an entry answers counts as notRun, and a broken call as nothing.
func (c *client) tell(ctx context.Context, patience time.Duration, key string, call func(context.Context, *node) (*callerapi.Outcome, error)) (state callerapi.OutcomeState, told bool) {
	w := c.world
	n := c.entry()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	from := w.now()
	balancer := &node{world: w, name: c.name}
	o, err := deliver(ctx, balancer, n, c.name+n.name, func(ctx context.Context) (*callerapi.Outcome, error) { return call(ctx, n) })
	var refused *callerapi.ErrorStatusCode
	switch {
	case errors.As(err, &refused):
		o = &callerapi.Outcome{State: callerapi.OutcomeStateNotRun}
	case err != nil:
		return "", false
	}
	w.add(from, w.now(), operation{key: key, state: o.State, answer: o.Answer.Value})
	return o.State, true
}

// cancelWave cancels the open requests of half of the callers at once.
func (w *world) cancelWave(ctx context.Context, clients []*client) {
	for _, c := range clients {
		w.lock.Lock()
		key := c.open
		w.lock.Unlock()
		if key != "" && w.roll("wave", c.name) < 0.5 {
			go c.tell(ctx, 4*time.Second, key, func(ctx context.Context, n *node) (*callerapi.Outcome, error) {
				return n.caller.CancelRequest(ctx, callerapi.CancelRequestParams{Key: key})
			})
		}
	}
}

// trouble injects faults until ctx ends; at least two entries stay alive.
func (w *world) trouble(ctx context.Context, clients []*client) {
	for ctx.Err() == nil {
		time.Sleep(200*time.Millisecond + w.span(2*time.Second, "next fault"))
		nodes := w.sorted()
		n := nodes[int(w.roll("victim")*float64(len(nodes)))]
		m := nodes[int(w.roll("second victim")*float64(len(nodes)))]
		switch fault := w.roll("fault"); {
		case fault < 0.25:
			w.replace(n, w.span(3*time.Second, "boot"))
		case fault < 0.35 && m != n:
			w.replace(n, w.span(3*time.Second, "boot"))
			w.replace(m, w.span(3*time.Second, "boot"))
		case fault < 0.6:
			n.freeze(w.span(6*time.Second, "freeze"))
		case fault < 0.75:
			w.sever(n, m, w.span(4*time.Second, "cut"))
		case fault < 0.9:
			w.endpoints[int(w.roll("endpoint")*float64(len(w.endpoints)))].crash(w.span(time.Second, "crash"))
		default:
			w.cancelWave(ctx, clients)
		}
	}
}

// replace kills a live entry and boots its next incarnation later.
func (w *world) replace(n *node, after time.Duration) {
	if diedAt, _ := n.state(); !diedAt.IsZero() {
		return
	}
	n.kill()
	next := n.incarnation + 1
	if w.lacks == sameIncarnation {
		next = n.incarnation
	}
	time.AfterFunc(after, func() { w.boot(n.name, next) })
}

// play runs the callers under faults and then waits until every lease has ended
// and every late message has arrived.
func play(t *testing.T, seed uint64, lacks unprotected) (w *world) {
	synctest.Test(t, func(t *testing.T) {
		w = newWorld(&world{seed: seed, lacks: lacks})
		ctx, cancel := context.WithCancel(t.Context())
		var clients []*client
		var group sync.WaitGroup
		for i := range 8 {
			c := &client{world: w, name: fmt.Sprintf("c%d", i)}
			clients = append(clients, c)
			group.Go(func() { c.run(t.Context(), 5) })
		}
		go w.trouble(ctx, clients)
		group.Wait()
		cancel()
		time.Sleep(time.Minute)
	})
	return w
}

func seeds(standard int) (count int) {
	if count, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		return count
	}
	return standard
}

// A request that runs twice, runs after its caller was told notRun, or gives a
// caller the answer of another run must be repaired by hand.
func TestHistoriesUnderFaults(t *testing.T) {
	told := map[callerapi.OutcomeState]int{}
	starts := 0
	for seed := range uint64(seeds(40)) {
		w := play(t, seed, "")
		for _, v := range w.violations() {
			t.Errorf("seed %d: %s", seed, v)
		}
		for _, p := range w.operations {
			if o, _ := p.Input.(operation); o.start {
				starts++
			} else {
				told[o.state]++
			}
		}
	}
	t.Logf("%d starts, told %v", starts, told)
}

// Each protection is left out once; a check that misses this proves nothing.
func TestChecksCatchEachMissingProtection(t *testing.T) {
	for lacks, want := range map[unprotected]string{
		rerunElsewhere: "P5", noFence: "P4", claimAtHomeOnly: "P4", claimNotAwaited: "P4",
		forgetIncarnation: "P4", trustAnyAnswer: "P3", cancelWithoutAsking: "P4",
		refusalIgnored: "P4", sameIncarnation: "P5",
	} {
		t.Run(string(lacks), func(t *testing.T) {
			for seed := range uint64(400) {
				broken := strings.Join(play(t, seed, lacks).violations(), "; ")
				if strings.Contains(broken, want) && strings.Contains(broken, "linearizable") {
					t.Logf("caught with seed %d: %s", seed, broken)
					return
				}
			}
			t.Errorf("not caught as %s", want)
		})
	}
}
