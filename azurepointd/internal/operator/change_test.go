package operator

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/operatorapi"
	"github.com/azurepoint/azurepoint/coordination/fleet"
)

const (
	stateApplied    = operatorapi.ChangeStateApplied
	stateRefused    = operatorapi.ChangeStateRefused
	stateUnknown    = operatorapi.ChangeStateUnknown
	stateWouldApply = operatorapi.ChangeStateWouldApply
)

// fate is an answer; index 0 and an empty reason are left out of it.
func fate(id string, state operatorapi.ChangeState, index int64, reason string) (f operatorapi.ChangeFate) {
	f = operatorapi.ChangeFate{ID: id, State: state}
	if index > 0 {
		f.Index.SetTo(index)
	}
	if reason != "" {
		f.Reason.SetTo(reason)
	}
	return f
}

// send makes a change and returns its fate.
func send(t *testing.T, c operatorapi.Invoker, text, id string, dryRun bool) operatorapi.ChangeFate {
	t.Helper()
	r := &operatorapi.Statements{Text: text, DryRun: operatorapi.NewOptBool(dryRun)}
	if id != "" {
		r.ID.SetTo(id)
	}
	reply, err := c.RunStatements(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	return reply.Change.Value
}

// Guards against a change that is made twice under one id or by a dry run, and
// against names that are created twice or set without being created.
func TestChanges(t *testing.T) {
	f := newFleet(t)
	_, c := start(t, newOperator(f))
	seen := map[string]bool{"": true}
	for _, step := range []struct {
		text, id  string
		dryRun    bool
		state     operatorapi.ChangeState
		index     int64
		reason    string
		proposals int
	}{
		{"set pool a budget 2; drop instance a1", "", true, stateWouldApply, 0, "", 0},
		{"set pool z budget 2", "", true, stateRefused, 0, `setPool "z": does not exist`, 0},
		{"set pool a budget 2; drop instance a1", "first", false, stateApplied, 1, "", 0},
		{"set pool a budget 2; drop instance a1", "", false, stateApplied, 3, "", 1},
		{"drop instance a1", "", false, stateRefused, 4, `dropInstance "a1": instance "a1" does not exist`, 2},
		{"create pool a budget 2", "", false, stateRefused, 5, `setPool "a": already exists`, 3},
		{"set pool z budget 2", "", false, stateRefused, 6, `setPool "z": does not exist`, 4},
		{"create member m cap 2", "", false, stateRefused, 7, `setMember "m": already exists`, 5},
		{"set member z cap 2", "", false, stateRefused, 8, `setMember "z": does not exist`, 6},
		{"create member z cap 2; set member z cap 3", "", false, stateApplied, 9, "", 7},
	} {
		got := send(t, c, step.text, step.id, step.dryRun)
		want := fate(step.id, step.state, step.index, step.reason)
		if step.id == "" && !seen[got.ID] {
			seen[got.ID], want.ID = true, got.ID
		}
		if got != want || f.proposals != step.proposals {
			t.Errorf("%s: got %+v after %d proposals, want %+v after %d", step.text, got, f.proposals, want, step.proposals)
		}
	}
}

// Guards against a change whose answer is lost being reported as done while its
// outcome is unknown, as unknown once it is in force, or made again.
func TestLostAnswers(t *testing.T) {
	f := newFleet(t)
	_, c := start(t, newOperator(f))
	const text = "set pool a budget 3"
	const reason = "no answer; ruled out up to version 3 at entry e1; a later version may have it; " +
		"ask for the change, or send it again, with this id"
	for _, step := range []struct {
		id        string
		err       error
		behind    bool
		want      operatorapi.ChangeFate
		proposals int
	}{
		{"late", errors.New("no answer"), false, fate("late", stateApplied, 3, ""), 1},
		{"lost", errors.New("no answer"), true, fate("lost", stateUnknown, 0, reason), 2},
		{"lost", nil, false, fate("lost", stateApplied, 4, ""), 3},
		{"lost", nil, false, fate("lost", stateApplied, 4, ""), 3},
	} {
		f.err, f.behind = step.err, step.behind
		got := send(t, c, text, step.id, false)
		if got != step.want || f.proposals != step.proposals {
			t.Errorf("got %+v after %d proposals, want %+v after %d", got, f.proposals, step.want, step.proposals)
		}
	}
	got, err := c.GetChange(t.Context(), operatorapi.GetChangeParams{ID: "lost"})
	if err != nil || *got != fate("lost", stateApplied, 4, "") {
		t.Errorf("got %+v, %v", got, err)
	}
}

// Guards against an answer that rules out a change whose fate is no longer kept.
func TestForgottenChanges(t *testing.T) {
	f := newFleet(t)
	_, c := start(t, newOperator(f))
	for n := range fleet.KeptFates {
		f.apply(t, fmt.Sprint(n), fleet.Command{SetPool: &fleet.SetPool{Name: "a"}})
	}
	const reason = "cannot be ruled out at entry e1, which keeps the fates from index 3 to version 4098 only"
	got, err := c.GetChange(t.Context(), operatorapi.GetChangeParams{ID: "first"})
	if err != nil || *got != fate("first", stateUnknown, 0, reason) {
		t.Errorf("asked for: got %+v, %v", got, err)
	}
	f.err, f.behind = errors.New("no answer"), true
	again := send(t, c, "set pool a budget 2", "first", false)
	if again != fate("first", stateUnknown, 0, "no answer; "+reason+"; ask for the change, or send it again, with this id") {
		t.Errorf("sent again: got %+v", again)
	}
}

// Guards against two operators who both create a name: each entry sees the state
// without it, and only the log can refuse the second one.
func TestConcurrentCreates(t *testing.T) {
	f := newFleet(t)
	f.delay = time.Second
	entries := []*Operator{newOperator(f), newOperator(f)}
	synctest.Test(t, func(t *testing.T) {
		budgets := make(map[operatorapi.ChangeFate]int)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i, o := range entries {
			wg.Go(func() {
				got := send(t, handler{o}, fmt.Sprintf("create pool c budget %d", i+1), fmt.Sprint(i+1), false)
				got.ID = ""
				mu.Lock()
				defer mu.Unlock()
				budgets[got] = i + 1
			})
		}
		wg.Wait()
		won, lost := fate("", stateApplied, 3, ""), fate("", stateRefused, 4, `setPool "c": already exists`)
		if budgets[won] == 0 || budgets[lost] == 0 || f.state.Pools["c"].Budget != budgets[won] {
			t.Errorf("got %v with budget %d", budgets, f.state.Pools["c"].Budget)
		}
	})
}
