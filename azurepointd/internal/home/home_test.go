package home_test

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

// inWorld runs a test without chance faults and lets every goroutine end.
func inWorld(t *testing.T, w *world, test func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w.quiet = true
		test(t, newWorld(w))
		time.Sleep(time.Minute)
	})
}

// request returns a submission with a new key of an entry.
func request(t *testing.T, n *node, run, ahead time.Duration) *callerapi.Submission {
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

// outcomes counts what callers are told.
type outcomes struct {
	mutex sync.Mutex
	told  map[string]int
}

func (o *outcomes) add(got *callerapi.Outcome, err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.told == nil {
		o.told = map[string]int{}
	}
	if err != nil {
		o.told[err.Error()]++
		return
	}
	o.told[string(got.State)]++
}

// A planned stop must finish what runs, answer the rest notRun, and end.
func TestPlannedStop(t *testing.T) {
	inWorld(t, &world{queue: time.Minute}, func(t *testing.T, w *world) {
		n := w.nodes["e0"]
		var told outcomes
		var group sync.WaitGroup
		for range 100 {
			s := request(t, n, 2*time.Second, 50*time.Second)
			group.Go(func() { told.add(n.caller.SubmitRequest(t.Context(), s)) })
		}
		time.Sleep(10 * time.Second)
		late := request(t, n, time.Second, time.Minute)
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
		starts := len(w.operations)
		if told.told["done"] != starts || told.told["done"]+told.told["notRun"] != 100 || starts == 0 {
			t.Errorf("told %v after %d starts", told.told, starts)
		}
	})
}

// Cancelling half of a long queue must neither wait for the queue nor hold up
// the other half.
func TestCancelWaveStallsNothing(t *testing.T) {
	inWorld(t, &world{queue: 20 * time.Second}, func(t *testing.T, w *world) {
		n := w.nodes["e0"]
		var submitted, cancelled outcomes
		var group sync.WaitGroup
		var requests []*callerapi.Submission
		for range 2000 {
			s := request(t, n, 10*time.Millisecond, time.Minute)
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
		if took := time.Since(begun); took > 100*time.Millisecond || cancelled.told["notRun"] != 1000 {
			t.Errorf("told %v after %s", cancelled.told, took)
		}
		group.Wait()
		if took := time.Since(begun); took > 21*time.Second || submitted.told["done"] != 1000 || len(w.operations) != 1000 {
			t.Errorf("told %v after %s, %d starts", submitted.told, took, len(w.operations))
		}
	})
}

// Retries without a budget would multiply the load of endpoints that refuse.
func TestRefusalsSpendTheRetryBudget(t *testing.T) {
	inWorld(t, &world{}, func(t *testing.T, w *world) {
		for _, e := range w.endpoints {
			e.crash(time.Hour)
		}
		n := w.nodes["e0"]
		var told outcomes
		for range 50 {
			told.add(n.caller.SubmitRequest(t.Context(), request(t, n, time.Second, time.Minute)))
		}
		if told.told["notRun"] != 50 || n.home.Budget.Left() >= 1 {
			t.Errorf("told %v, %g retries left", told.told, n.home.Budget.Left())
		}
	})
}

// Each case is a key that this entry must not decide, or a request that must
// not share the first one's answer.
func TestRefusedKeys(t *testing.T) {
	inWorld(t, &world{}, func(t *testing.T, w *world) {
		n := w.nodes["e0"]
		s := request(t, n, 0, time.Minute)
		if o, err := n.caller.SubmitRequest(t.Context(), s); err != nil || o.State != callerapi.OutcomeStateDone {
			t.Fatalf("%+v, %v", o, err)
		}
		backup := w.nodes[strings.Split(s.Key, ".")[4]]
		w.boot("e0", 2)
		submit := func(m *node, payload string) error {
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
			{"later incarnation", submit(w.nodes["e0"], "p"), twirp.FailedPrecondition},
		}
		for _, tt := range tests {
			var refused twirp.Error
			if !errors.As(tt.err, &refused) || refused.Code() != tt.want {
				t.Errorf("%s: %v, want %s", tt.name, tt.err, tt.want)
			}
		}
		if o, err := w.nodes["e0"].caller.SubmitRequest(t.Context(), s); err != nil || o.Answer.Value != "p run 1" {
			t.Errorf("the backup of a restarted home: %+v, %v", o, err)
		}
	})
}

// A retry after the deadline must tell the outcome of the first copy, and a
// refusal must hold for copies that are still under way.
func TestLateCopies(t *testing.T) {
	inWorld(t, &world{}, func(t *testing.T, w *world) {
		n := w.nodes["e0"]
		first, other := request(t, n, 0, 2*time.Second), request(t, n, 0, 2*time.Second)
		if o, err := n.caller.SubmitRequest(t.Context(), first); err != nil || o.State != callerapi.OutcomeStateDone {
			t.Fatalf("%+v, %v", o, err)
		}
		time.Sleep(3 * time.Second)
		if o, err := w.nodes["e1"].caller.SubmitRequest(t.Context(), first); err != nil || o.Answer.Value != "p run 1" {
			t.Errorf("retry after the deadline: %+v, %v", o, err)
		}
		_, err := w.nodes["e1"].caller.SubmitRequest(t.Context(), other)
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

// measureKill kills one entry under load and returns how many of the requests
// that were open at their home then stay unknown until after their deadline.
func measureKill(t *testing.T, seed uint64, singleCopy bool) (open, unknown int) {
	inWorld(t, &world{seed: seed, singleCopy: singleCopy, queue: time.Second}, func(t *testing.T, w *world) {
		victim := w.nodes["e1"]
		var group sync.WaitGroup
		var mutex sync.Mutex
		for i := range 100 {
			s := request(t, victim, w.span(2*time.Second, "run", i), 8*time.Second)
			sendAt := w.span(4*time.Second, "send", i)
			group.Go(func() {
				time.Sleep(sendAt)
				state := callerapi.OutcomeStatePending
				for try := 0; state != "done" && state != "notRun" && try < 12; try++ {
					n := w.nodes[fmt.Sprintf("e%d", 2*(try%2))]
					if o, err := n.caller.SubmitRequest(t.Context(), s); err == nil {
						state = o.State
					}
					if died, _ := victim.state(); died.IsZero() {
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

// The second copy of claims is worth its message only if it leaves fewer
// outcomes unknown after a kill.
func TestUnknownAfterKill(t *testing.T) {
	share := map[bool]float64{}
	for _, singleCopy := range []bool{true, false} {
		open, unknown := 0, 0
		for seed := range uint64(seeds(10)) {
			o, u := measureKill(t, seed, singleCopy)
			open, unknown = open+o, unknown+u
		}
		share[singleCopy] = float64(unknown) / float64(open)
		t.Logf("singleCopy=%t: %d requests open at the kill, %d unknown (%.1f%%)", singleCopy, open, unknown, 100*share[singleCopy])
	}
	if share[false] >= share[true] {
		t.Errorf("unknown with two copies %.3f, with one %.3f", share[false], share[true])
	}
}
