package request_test

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

// operation is an event of a key: the start of its task at an endpoint, or an
// outcome that a caller received.
type operation struct {
	key        string
	start      bool
	repeatable bool
	state      callerapi.OutcomeState
	answer     string
}

// history records operations. Its clock is a counter, so that no two events
// have the same time.
type history struct {
	lock       sync.Mutex
	clock      int64
	operations []porcupine.Operation
	payloads   map[string]string
}

func (h *history) tick() int64 {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.clock++
	return h.clock
}

func (h *history) record(from, to int64, o operation) {
	h.lock.Lock()
	defer h.lock.Unlock()
	o.repeatable = strings.HasPrefix(h.payloads[o.key], "repeatable")
	h.operations = append(h.operations, porcupine.Operation{Input: o, Call: from, Return: to})
}

// recordStart records the start of a task and returns the answer of this run.
func (cl *cluster) recordStart(id, payload string) (answer string) {
	key, _, _ := strings.Cut(id, "~")
	at := cl.tick()
	answer = fmt.Sprintf("%s run %d", payload, at)
	cl.record(at, at, operation{key: key, start: true, answer: answer})
	return answer
}

// stableID replaces the random key in an ID by the number of its request, so
// that random draws that depend on it are repeatable.
func (cl *cluster) stableID(id string) string {
	key, rest, _ := strings.Cut(id, "~")
	cl.lock.Lock()
	defer cl.lock.Unlock()
	return cl.payloads[key] + rest
}

// keyState is the state of the linearizability model for a key that may not be
// repeated.
type keyState struct {
	started bool
	fenced  bool
	answer  string
}

// keyModel is the linearizability model of P3, P4 and P5; each key is checked
// on its own.
var keyModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		return slices.Collect(maps.Values(byKey(all)))
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		f, _ := state.(keyState)
		o, _ := input.(operation)
		switch {
		case o.start:
			legal := !f.fenced && !f.started
			return legal, keyState{started: true, answer: o.answer}
		case o.state == callerapi.OutcomeStateDone:
			return f.started && f.answer == o.answer, f
		case o.state == callerapi.OutcomeStateNotRun:
			return !f.started, keyState{fenced: true}
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

// violations returns a description of each property that the history violates.
func (cl *cluster) violations() (violated []string) {
	var notRepeatable []porcupine.Operation
	for _, p := range cl.operations {
		if o, _ := p.Input.(operation); !o.repeatable {
			notRepeatable = append(notRepeatable, p)
		}
	}
	if !porcupine.CheckOperations(keyModel, notRepeatable) {
		violated = append(violated, "the history of a key is not linearizable")
	}
	for _, g := range byKey(cl.operations) {
		violated = append(violated, cl.violationsOfKey(g)...)
	}
	return violated
}

func (cl *cluster) violationsOfKey(g []porcupine.Operation) (violated []string) {
	var runs []string
	answers := map[callerapi.OutcomeState][]string{}
	var o operation
	for _, p := range g {
		if o, _ = p.Input.(operation); o.start {
			runs = append(runs, o.answer)
		} else {
			answers[o.state] = append(answers[o.state], o.answer)
		}
	}
	name := cl.payloads[o.key]
	for _, answer := range answers[callerapi.OutcomeStateDone] {
		if !slices.Contains(runs, answer) {
			violated = append(violated, fmt.Sprintf("P3: %s: caller received answer %q, runs returned %q", name, answer, runs))
		}
	}
	if len(answers[callerapi.OutcomeStateNotRun]) > 0 && len(runs) > 0 {
		violated = append(violated, fmt.Sprintf("P4: %s: caller received notRun, task started %d times", name, len(runs)))
	}
	if !o.repeatable && len(runs) > 1 {
		violated = append(violated, fmt.Sprintf("P5: %s: task started %d times", name, len(runs)))
	}
	return violated
}

// client is a caller that sends each request until it receives a final outcome.
type client struct {
	cluster *cluster
	name    string
	openKey string
}

// chooseEntry returns a random entry that is live, as a load balancer does.
func (c *client) chooseEntry() *simulatedEntry {
	entries := c.cluster.sortedEntries()
	start := int(c.cluster.random(c.name, "entry") * float64(len(entries)))
	for i := range entries {
		if n := entries[(start+i)%len(entries)]; n.seenLiveBy("balancer") {
			return n
		}
	}
	return entries[start]
}

// sendRequests submits requests one after the other.
func (c *client) sendRequests(ctx context.Context, requests int) {
	cl := c.cluster
	for i := range requests {
		time.Sleep(cl.randomDuration(300*time.Millisecond, c.name, "pause"))
		list, err := c.chooseEntry().caller.IssueKeys(ctx, &callerapi.KeyOrder{Pool: "pool"})
		if err != nil {
			continue
		}
		repeatable := cl.random(c.name, "repeatable") < 0.15
		payload := fmt.Sprintf("%s.%d", c.name, i)
		if repeatable {
			payload = "repeatable " + payload
		}
		cl.lock.Lock()
		cl.payloads[list.Keys[0]] = payload
		c.openKey = list.Keys[0]
		cl.lock.Unlock()
		c.submit(ctx, &callerapi.Submission{
			Key: list.Keys[0], Member: "member", Pool: "pool", Payload: callerapi.NewOptString(payload),
			Repeatable: callerapi.NewOptBool(repeatable),
			Deadline:   time.Now().Add(time.Second + cl.randomDuration(7*time.Second, c.name, "deadline")),
			RunMillis:  callerapi.NewOptInt(int(cl.random(c.name, "run") * 1500)),
		})
	}
}

func (c *client) submit(ctx context.Context, s *callerapi.Submission) {
	cl := c.cluster
	for range 6 {
		timeout := time.Until(s.Deadline) + 3*time.Second
		if cl.randomFault(0.3, c.name, "impatient") {
			timeout = cl.randomDuration(time.Second, c.name, "patience")
		}
		action := cl.random(c.name, "what")
		o, received := c.callAndRecord(ctx, timeout, s.Key, func(ctx context.Context, n *simulatedEntry) (*callerapi.Outcome, error) {
			switch {
			case action < 0.1:
				return n.caller.CancelRequest(ctx, callerapi.CancelRequestParams{Key: s.Key})
			case action < 0.25:
				return n.caller.LookupRequest(ctx, callerapi.LookupRequestParams{Key: s.Key})
			}
			return n.caller.SubmitRequest(ctx, s)
		})
		if received && o != callerapi.OutcomeStateUnknown && o != callerapi.OutcomeStatePending && cl.random(c.name, "asks again") < 0.7 {
			return
		}
		time.Sleep(cl.randomDuration(time.Second, c.name, "wait"))
	}
}

// callAndRecord calls an entry and records the outcome that it returns. An
// error status returned by an entry counts as notRun; a broken call is not
// recorded.
func (c *client) callAndRecord(ctx context.Context, timeout time.Duration, key string, call func(context.Context, *simulatedEntry) (*callerapi.Outcome, error)) (state callerapi.OutcomeState, received bool) {
	cl := c.cluster
	n := c.chooseEntry()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	from := cl.tick()
	balancer := &simulatedEntry{cluster: cl, name: c.name}
	o, err := deliver(ctx, balancer, n, c.name+n.name, func(ctx context.Context) (*callerapi.Outcome, error) { return call(ctx, n) })
	var refused *callerapi.ErrorStatusCode
	switch {
	case errors.As(err, &refused):
		o = &callerapi.Outcome{State: callerapi.OutcomeStateNotRun}
	case err != nil:
		return "", false
	}
	cl.record(from, cl.tick(), operation{key: key, state: o.State, answer: o.Answer.Value})
	return o.State, true
}

// cancelOpenRequests cancels the open requests of about half of the clients at
// the same time.
func (cl *cluster) cancelOpenRequests(ctx context.Context, clients []*client) {
	for _, c := range clients {
		cl.lock.Lock()
		key := c.openKey
		cl.lock.Unlock()
		if key != "" && cl.random("wave", c.name) < 0.5 {
			go c.callAndRecord(ctx, 4*time.Second, key, func(ctx context.Context, n *simulatedEntry) (*callerapi.Outcome, error) {
				return n.caller.CancelRequest(ctx, callerapi.CancelRequestParams{Key: key})
			})
		}
	}
}

// injectFaults injects random faults until ctx ends. One fault kills at most
// two of the four entries.
func (cl *cluster) injectFaults(ctx context.Context, clients []*client) {
	for ctx.Err() == nil {
		time.Sleep(200*time.Millisecond + cl.randomDuration(2*time.Second, "next fault"))
		entries := cl.sortedEntries()
		n := entries[int(cl.random("victim")*float64(len(entries)))]
		m := entries[int(cl.random("second victim")*float64(len(entries)))]
		switch fault := cl.random("fault"); {
		case fault < 0.25:
			cl.replaceEntry(n, cl.randomDuration(3*time.Second, "boot"))
		case fault < 0.35 && m != n:
			cl.replaceEntry(n, cl.randomDuration(3*time.Second, "boot"))
			cl.replaceEntry(m, cl.randomDuration(3*time.Second, "boot"))
		case fault < 0.6:
			n.freeze(cl.randomDuration(6*time.Second, "freeze"))
		case fault < 0.75:
			cl.partition(n, m, cl.randomDuration(4*time.Second, "cut"))
		case fault < 0.9:
			cl.endpoints[int(cl.random("endpoint")*float64(len(cl.endpoints)))].crash(cl.randomDuration(time.Second, "crash"))
		default:
			cl.cancelOpenRequests(ctx, clients)
		}
	}
}

// replaceEntry kills a live entry and starts its next incarnation later.
func (cl *cluster) replaceEntry(n *simulatedEntry, after time.Duration) {
	if diedAt, _ := n.faultState(); !diedAt.IsZero() {
		return
	}
	n.kill()
	next := n.incarnation + 1
	if cl.variant == reuseIncarnation {
		next = n.incarnation
	}
	time.AfterFunc(after, func() { cl.startEntry(n.name, next) })
}

// simulate runs clients under random faults and then waits until all leases
// have ended and all delayed messages have been delivered.
func simulate(t *testing.T, seed uint64, v variant) (cl *cluster) {
	synctest.Test(t, func(t *testing.T) {
		cl = newCluster(&cluster{seed: seed, variant: v})
		ctx, cancel := context.WithCancel(t.Context())
		var clients []*client
		var group sync.WaitGroup
		for i := range 8 {
			c := &client{cluster: cl, name: fmt.Sprintf("c%d", i)}
			clients = append(clients, c)
			group.Go(func() { c.sendRequests(t.Context(), 5) })
		}
		go cl.injectFaults(ctx, clients)
		group.Wait()
		cancel()
		time.Sleep(time.Minute)
	})
	return cl
}

func seeds(defaultCount int) (count int) {
	if count, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		return count
	}
	return defaultCount
}

// Guards against requests that run twice, run after their caller received
// notRun, or return the answer of another run, while entries are killed, frozen
// or disconnected and endpoints crash. Any of these would have to be repaired
// by hand.
func TestHistoriesUnderFaults(t *testing.T) {
	outcomeCounts := map[callerapi.OutcomeState]int{}
	starts := 0
	for seed := range uint64(seeds(40)) {
		cl := simulate(t, seed, "")
		for _, v := range cl.violations() {
			t.Errorf("seed %d: %s", seed, v)
		}
		for _, p := range cl.operations {
			if o, _ := p.Input.(operation); o.start {
				starts++
			} else {
				outcomeCounts[o.state]++
			}
		}
	}
	t.Logf("%d starts, outcomes %v", starts, outcomeCounts)
}

// Runs the simulation with one protection removed at a time. A check that
// passes for such a variant would also pass for an implementation with that
// fault.
func TestChecksDetectEachVariant(t *testing.T) {
	for v, want := range map[variant]string{
		rerunWithoutPrimary: "P5", ignoreFences: "P4", claimAtPrimaryOnly: "P4", sendBeforeClaimStored: "P4",
		ignoreEndpointIncarnation: "P4", acceptAnyTaskID: "P3", cancelAlwaysNotRun: "P4",
		ignoreClaimRefusal: "P4", reuseIncarnation: "P5",
	} {
		t.Run(string(v), func(t *testing.T) {
			for seed := range uint64(400) {
				broken := strings.Join(simulate(t, seed, v).violations(), "; ")
				if strings.Contains(broken, want) && strings.Contains(broken, "linearizable") {
					t.Logf("detected with seed %d: %s", seed, broken)
					return
				}
			}
			t.Errorf("violation of %s not detected", want)
		})
	}
}
