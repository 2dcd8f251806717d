package request_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/twitchtv/twirp"

	"github.com/azurepoint/azurepoint/api/callerapi"
	"github.com/azurepoint/azurepoint/api/peerrpc"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.Default)
	os.Exit(m.Run())
}

// inCluster runs a test on a simulated cluster without random faults, and then
// waits until all goroutines have ended.
func inCluster(t *testing.T, cl *cluster, test func(t *testing.T, cl *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cl.noRandomFaults = true
		test(t, newCluster(cl))
		time.Sleep(time.Minute)
	})
}

// newSubmission returns a submission with a new key issued by an entry.
func newSubmission(t *testing.T, n *simulatedEntry, run, ahead time.Duration) *callerapi.Submission {
	t.Helper()
	list, err := n.caller.IssueKeys(t.Context(), &callerapi.KeyOrder{Pool: "pool"})
	if err != nil {
		t.Fatal(err)
	}
	return &callerapi.Submission{
		Key: list.Keys[0], Member: "member", Pool: "pool", Deadline: time.Now().Add(ahead),
		RunMillis: callerapi.NewOptInt(int(run.Milliseconds())), Payload: callerapi.NewOptString("p"),
	}
}

// outcomes counts the outcomes that callers receive.
type outcomes struct {
	mutex  sync.Mutex
	counts map[string]int
}

func (o *outcomes) add(got *callerapi.Outcome, err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.counts == nil {
		o.counts = map[string]int{}
	}
	if err != nil {
		o.counts[err.Error()]++
		return
	}
	o.counts[string(got.State)]++
}

// Guards against a planned stop that aborts running tasks, does not answer the
// waiting requests with notRun, or does not end.
func TestPlannedStop(t *testing.T) {
	inCluster(t, &cluster{maxQueueTime: time.Minute}, func(t *testing.T, cl *cluster) {
		n := cl.entries["e0"]
		var received outcomes
		var group sync.WaitGroup
		for range 100 {
			s := newSubmission(t, n, 2*time.Second, 50*time.Second)
			group.Go(func() { received.add(n.caller.SubmitRequest(t.Context(), s)) })
		}
		time.Sleep(10 * time.Second)
		late := newSubmission(t, n, time.Second, time.Minute)
		begun := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		go func() {
			time.Sleep(time.Second)
			if o, err := n.caller.SubmitRequest(t.Context(), late); err != nil || o.State != callerapi.OutcomeStateNotRun {
				t.Errorf("new request during the stop: %+v, %v", o, err)
			}
		}()
		n.home.Stop(ctx)
		if took := time.Since(begun); took > 10*time.Second {
			t.Errorf("the stop took %s", took)
		}
		group.Wait()
		starts := len(cl.operations)
		if received.counts["done"] != starts || received.counts["done"]+received.counts["notRun"] != 100 || starts == 0 {
			t.Errorf("outcomes %v after %d starts", received.counts, starts)
		}
	})
}

// Guards against cancellations that wait for the queue or delay the requests
// that remain in it.
func TestCancellationsDelayNoOtherRequest(t *testing.T) {
	inCluster(t, &cluster{maxQueueTime: 20 * time.Second}, func(t *testing.T, cl *cluster) {
		n := cl.entries["e0"]
		var submitted, cancelled outcomes
		var group sync.WaitGroup
		var requests []*callerapi.Submission
		for range 2000 {
			s := newSubmission(t, n, 10*time.Millisecond, time.Minute)
			requests = append(requests, s)
			group.Go(func() { submitted.add(n.caller.SubmitRequest(t.Context(), s)) })
		}
		synctest.Wait()
		begun := time.Now()
		var wave sync.WaitGroup
		for _, s := range requests[:1000] {
			wave.Go(func() {
				cancelled.add(n.caller.CancelRequest(t.Context(), callerapi.CancelRequestParams{Key: s.Key}))
			})
		}
		wave.Wait()
		if took := time.Since(begun); took > 100*time.Millisecond || cancelled.counts["notRun"] != 1000 {
			t.Errorf("outcomes %v after %s", cancelled.counts, took)
		}
		group.Wait()
		if took := time.Since(begun); took > 21*time.Second || submitted.counts["done"] != 1000 || len(cl.operations) != 1000 {
			t.Errorf("outcomes %v after %s, %d starts", submitted.counts, took, len(cl.operations))
		}
	})
}

// Guards against retries that multiply the load while no endpoint takes tasks:
// they stop once the retry budget is spent.
func TestRetriesStopAtTheBudget(t *testing.T) {
	inCluster(t, &cluster{}, func(t *testing.T, cl *cluster) {
		for _, e := range cl.endpoints {
			e.crash(time.Hour)
		}
		n := cl.entries["e0"]
		var received outcomes
		for range 50 {
			received.add(n.caller.SubmitRequest(t.Context(), newSubmission(t, n, time.Second, time.Minute)))
		}
		if received.counts["notRun"] != 50 || n.home.Budget.Remaining() >= 1 {
			t.Errorf("outcomes %v, %g retries left", received.counts, n.home.Budget.Remaining())
		}
	})
}

// Guards against deciding a key that names another entry or an earlier
// incarnation, and against returning the outcome of a key for a request with
// other content.
func TestRefusedKeys(t *testing.T) {
	inCluster(t, &cluster{}, func(t *testing.T, cl *cluster) {
		n := cl.entries["e0"]
		s := newSubmission(t, n, 0, time.Minute)
		if o, err := n.caller.SubmitRequest(t.Context(), s); err != nil || o.State != callerapi.OutcomeStateDone {
			t.Fatalf("%+v, %v", o, err)
		}
		backup := cl.entries[strings.Split(s.Key, ".")[4]]
		cl.startEntry("e0", 2)
		submit := func(m *simulatedEntry, payload string) error {
			_, err := m.home.Submit(t.Context(), &peerrpc.SubmitRequest{
				Key: s.Key, Member: "member", Pool: "pool", Payload: payload, Slots: 1, DeadlineUnixMillis: s.Deadline.UnixMilli(),
			})
			return err
		}
		tests := []struct {
			name string
			err  error
			want twirp.ErrorCode
		}{
			{"other content", submit(n, "q"), twirp.AlreadyExists},
			{"other home", submit(backup, "p"), twirp.FailedPrecondition},
			{"later incarnation", submit(cl.entries["e0"], "p"), twirp.FailedPrecondition},
		}
		for _, tt := range tests {
			var refused twirp.Error
			if !errors.As(tt.err, &refused) || refused.Code() != tt.want {
				t.Errorf("%s: %v, want %s", tt.name, tt.err, tt.want)
			}
		}
		if o, err := cl.entries["e0"].caller.SubmitRequest(t.Context(), s); err != nil || o.Answer.Value != "p run 1" {
			t.Errorf("lookup at the backup of a restarted primary: %+v, %v", o, err)
		}
	})
}

// Guards against a retry after the deadline that does not return the outcome of
// the first copy, and against a refused request that runs when a delayed copy
// of it arrives.
func TestRepeatedRequestAfterDeadline(t *testing.T) {
	inCluster(t, &cluster{}, func(t *testing.T, cl *cluster) {
		n := cl.entries["e0"]
		first, other := newSubmission(t, n, 0, 2*time.Second), newSubmission(t, n, 0, 2*time.Second)
		if o, err := n.caller.SubmitRequest(t.Context(), first); err != nil || o.State != callerapi.OutcomeStateDone {
			t.Fatalf("%+v, %v", o, err)
		}
		time.Sleep(3 * time.Second)
		if o, err := cl.entries["e1"].caller.SubmitRequest(t.Context(), first); err != nil || o.Answer.Value != "p run 1" {
			t.Errorf("retry after the deadline: %+v, %v", o, err)
		}
		_, err := cl.entries["e1"].caller.SubmitRequest(t.Context(), other)
		var refused *callerapi.ErrorStatusCode
		if !errors.As(err, &refused) || refused.Response.Field.Value != "deadline" {
			t.Errorf("first copy after the deadline: %v", err)
		}
		other.Deadline = time.Now().Add(time.Minute)
		if o, err := n.caller.SubmitRequest(t.Context(), other); err != nil || o.State != callerapi.OutcomeStateNotRun {
			t.Errorf("copy of a refused request: %+v, %v", o, err)
		}
	})
}

// measureKill kills an entry under load. It returns how many requests were open
// at their primary then, and how many of them remain unknown until after their
// deadline.
func measureKill(t *testing.T, seed uint64, singleCopy bool) (open, unknown int) {
	inCluster(t, &cluster{seed: seed, singleCopy: singleCopy, maxQueueTime: time.Second}, func(t *testing.T, cl *cluster) {
		victim := cl.entries["e1"]
		var group sync.WaitGroup
		var mutex sync.Mutex
		for i := range 100 {
			s := newSubmission(t, victim, cl.randomDuration(2*time.Second, "run", i), 8*time.Second)
			sendAt := cl.randomDuration(4*time.Second, "send", i)
			group.Go(func() {
				time.Sleep(sendAt)
				state := callerapi.OutcomeStatePending
				for try := 0; state != "done" && state != "notRun" && try < 12; try++ {
					n := cl.entries[fmt.Sprintf("e%d", 2*(try%2))]
					if o, err := n.caller.SubmitRequest(t.Context(), s); err == nil {
						state = o.State
					}
					if died, _ := victim.faultState(); died.IsZero() {
						return
					}
					time.Sleep(time.Second)
				}
				mutex.Lock()
				defer mutex.Unlock()
				open++
				if state == callerapi.OutcomeStateUnknown {
					unknown++
				}
			})
		}
		time.Sleep(2500 * time.Millisecond)
		victim.kill()
		group.Wait()
	})
	return open, unknown
}

// Compares one and two copies of claims: the second copy must leave fewer
// outcomes unknown after an entry was killed, or its additional message would
// not be worth its cost.
func TestUnknownAfterKill(t *testing.T) {
	unknownRatio := map[bool]float64{}
	for _, singleCopy := range []bool{true, false} {
		open, unknown := 0, 0
		for seed := range uint64(seeds(10)) {
			o, u := measureKill(t, seed, singleCopy)
			open, unknown = open+o, unknown+u
		}
		unknownRatio[singleCopy] = float64(unknown) / float64(open)
		t.Logf("singleCopy=%t: %d requests open at the kill, %d unknown (%.1f%%)", singleCopy, open, unknown, 100*unknownRatio[singleCopy])
	}
	if unknownRatio[false] >= unknownRatio[true] {
		t.Errorf("ratio of unknown outcomes: %.3f with two copies, %.3f with one", unknownRatio[false], unknownRatio[true])
	}
}
