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

// newExpectedResult builds an expected result; index 0 and an empty reason stay unset.
func newExpectedResult(id string, state operatorapi.ChangeState, index int64, reason string) (f operatorapi.ChangeFate) {
	f = operatorapi.ChangeFate{ID: id, State: state}
	if index > 0 {
		f.Index.SetTo(index)
	}
	if reason != "" {
		f.Reason.SetTo(reason)
	}
	return f
}

// sendChange submits the statements as a change and returns its result.
func sendChange(t *testing.T, c operatorapi.Invoker, text, id string, dryRun bool) operatorapi.ChangeFate {
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

// Guards against a change that is applied twice under one ID or by a dry run,
// against creating an existing name, and against setting one that does not exist.
func TestChanges(t *testing.T) {
	f := newFleet(t)
	_, c := startServer(t, newOperator(f))
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
		got := sendChange(t, c, step.text, step.id, step.dryRun)
		want := newExpectedResult(step.id, step.state, step.index, step.reason)
		if step.id == "" && !seen[got.ID] {
			seen[got.ID], want.ID = true, got.ID
		}
		if got != want || f.proposals != step.proposals {
			t.Errorf("%s: got %+v after %d proposals, want %+v after %d", step.text, got, f.proposals, want, step.proposals)
		}
	}
}

// Guards against wrong results when the response of the change log is lost: a
// change reported as applied while its outcome is unknown, reported as unknown
// once it is in force, or applied again when it is repeated.
func TestLostAnswers(t *testing.T) {
	f := newFleet(t)
	_, c := startServer(t, newOperator(f))
	const text = "set pool a budget 3"
	const reason = "no answer; ruled out up to version 3 at entry e1; a later version may have it; " +
		"ask for the change, or send it again, with this id"
	for _, step := range []struct {
		id        string
		err       error
		holdState bool
		want      operatorapi.ChangeFate
		proposals int
	}{
		{"late", errors.New("no answer"), false, newExpectedResult("late", stateApplied, 3, ""), 1},
		{"lost", errors.New("no answer"), true, newExpectedResult("lost", stateUnknown, 0, reason), 2},
		{"lost", nil, false, newExpectedResult("lost", stateApplied, 4, ""), 3},
		{"lost", nil, false, newExpectedResult("lost", stateApplied, 4, ""), 3},
	} {
		f.proposeErr, f.holdState = step.err, step.holdState
		got := sendChange(t, c, text, step.id, false)
		if got != step.want || f.proposals != step.proposals {
			t.Errorf("got %+v after %d proposals, want %+v after %d", got, f.proposals, step.want, step.proposals)
		}
	}
	got, err := c.GetChange(t.Context(), operatorapi.GetChangeParams{ID: "lost"})
	if err != nil || *got != newExpectedResult("lost", stateApplied, 4, "") {
		t.Errorf("got %+v, %v", got, err)
	}
}

// Guards against a response that rules out a change whose result is no longer
// kept.
func TestUnretainedChangeIsNotRuledOut(t *testing.T) {
	f := newFleet(t)
	_, c := startServer(t, newOperator(f))
	for n := range fleet.MaxChangeResults {
		f.mustApply(t, fmt.Sprint(n), fleet.Command{SetPool: &fleet.SetPool{Name: "a"}})
	}
	const reason = "cannot be ruled out at entry e1, which keeps the fates from index 3 to version 4098 only"
	got, err := c.GetChange(t.Context(), operatorapi.GetChangeParams{ID: "first"})
	if err != nil || *got != newExpectedResult("first", stateUnknown, 0, reason) {
		t.Errorf("asked for: got %+v, %v", got, err)
	}
	f.proposeErr, f.holdState = errors.New("no answer"), true
	repeated := sendChange(t, c, "set pool a budget 2", "first", false)
	if repeated != newExpectedResult("first", stateUnknown, 0, "no answer; "+reason+"; ask for the change, or send it again, with this id") {
		t.Errorf("sent again: got %+v", repeated)
	}
}

// Guards against two operators creating the same name through different entries:
// both entries see a state without the name, so only the change log can refuse the
// second change.
func TestConcurrentCreates(t *testing.T) {
	f := newFleet(t)
	f.proposeDelay = time.Second
	entries := []*Operator{newOperator(f), newOperator(f)}
	synctest.Test(t, func(t *testing.T) {
		budgets := make(map[operatorapi.ChangeFate]int)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i, o := range entries {
			wg.Go(func() {
				got := sendChange(t, handler{o}, fmt.Sprintf("create pool c budget %d", i+1), fmt.Sprint(i+1), false)
				got.ID = ""
				mu.Lock()
				defer mu.Unlock()
				budgets[got] = i + 1
			})
		}
		wg.Wait()
		applied, refused := newExpectedResult("", stateApplied, 3, ""), newExpectedResult("", stateRefused, 4, `setPool "c": already exists`)
		if budgets[applied] == 0 || budgets[refused] == 0 || f.state.Pools["c"].Budget != budgets[applied] {
			t.Errorf("got %v with budget %d", budgets, f.state.Pools["c"].Budget)
		}
	})
}
