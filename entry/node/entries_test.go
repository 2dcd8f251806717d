package node

import (
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/store"
)

// awaitEntries waits until every entry lists all of them.
func awaitEntries(t *testing.T, all ...*entry) {
	t.Helper()
	until := time.Now().Add(5 * time.Second)
	for _, e := range all {
		for len(e.entries.some(e.Name, len(all))) < len(all)-1 {
			if time.Now().After(until) {
				t.Fatalf("entry %s lists %v", e.Name, e.entries.some(e.Name, len(all)))
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// Guards against callers of entries that have lost the store: these go on asking the
// owner that they saw last, which may have lost the store as well (trouble-1 of
// kradan-cover-grown: a third of the entries and the owner, for 9 s; of 4,791 jobs 299
// were left open and 250 refused).
func TestAnEntryWithoutTheStoreFindsTheNewOwner(t *testing.T) {
	w := newWorld(t)
	a := w.start("a")
	w.submit(a, "1111111111111111", "10", job.Step{Count: 1, CPU: 1000})
	b, c := w.start("b"), w.start("c")
	awaitEntries(t, a, b, c)
	a.off.off.Store(true)
	c.off.off.Store(true)
	until := time.Now().Add(8 * time.Second)
	for _, e := range []*entry{a, c} {
		owner, _ := e.ownership.current()
		for owner.Name != "b" && time.Now().Before(until) {
			time.Sleep(50 * time.Millisecond)
			owner, _ = e.ownership.current()
		}
		if owner.Name != "b" {
			t.Fatalf("entry %s takes %s for the owner after a takeover", e.Name, owner.Name)
		}
	}
	for a.manager() != nil && time.Now().Before(until) {
		time.Sleep(50 * time.Millisecond)
	}
	w.submit(a, "2222222222222222", "10", job.Step{Count: 1, CPU: 1000})
	w.submit(c, "3333333333333333", "10", job.Step{Count: 1, CPU: 1000})
	w.await(c, "2222222222222222", job.Completed, 10*time.Second)
	w.await(a, "3333333333333333", job.Completed, 10*time.Second)
	a.off.off.Store(false)
	c.off.off.Store(false)
	w.await(a, "1111111111111111", job.Completed, 10*time.Second)
	w.check()
}

// Guards against jobs that are left open by writes that had no prospect: a caller
// cannot try again what may be stored, but can after a refusal that is certain.
func TestAnOutageOfTheStoreIsACertainRefusal(t *testing.T) {
	w := newWorld(t)
	a, b := w.start("a"), w.start("b")
	w.submit(a, "1111111111111111", "10", job.Step{Count: 1, CPU: 1000})
	awaitEntries(t, a, b)
	a.off.off.Store(true)
	b.off.off.Store(true)
	until := time.Now().Add(6 * time.Second)
	confirmed := func(e *entry) bool { m := e.manager(); return m != nil && m.Term.Confirmed() }
	for (confirmed(a) || confirmed(b) || !a.storeReach.lost() || !b.storeReach.lost()) && time.Now().Before(until) {
		time.Sleep(20 * time.Millisecond)
	}
	const wait = 3 * time.Second
	for i, e := range []*entry{a, b} {
		id := []string{"2222222222222222", "3333333333333333"}[i]
		asked := time.Now()
		r := e.Submit(t.Context(), job.Job{
			ID: id, Queue: "q", Pool: "p", Spec: "10", Steps: []job.Step{{Count: 1, CPU: 1000}}, Accepted: asked.UnixMilli(), Objective: testQueue.Objective,
		}, asked.Add(wait))
		if r.Outcome != manager.Refused || r.RetryAfter <= 0 {
			t.Errorf("entry %s: outcome %s, come back after %s", e.Name, r.Outcome, r.RetryAfter)
		}
		if e.Ready() {
			t.Errorf("entry %s is ready for callers that it has to refuse", e.Name)
		}
		if held := time.Since(asked); held > wait/2 {
			t.Errorf("entry %s held the job for %s of the caller's %s", e.Name, held, wait)
		}
		if item, found, err := w.store.Get(t.Context(), manager.JobKey(id)); err != nil || found {
			t.Errorf("the job is stored at revision %d: %v", item.Revision, err)
		}
	}
}

// Guards against an answer that is older than what the store shows, and against a
// replaced owner that believes in its term until its lease would have ended.
func TestALaterOwnerThatIsHeardEndsTheTerm(t *testing.T) {
	o := &ownership{self: ownerRecord{Name: "a", Process: 1}, changed: make(chan struct{}, 1)}
	held := &heldTerm{number: 1, revision: 10, lost: make(chan struct{})}
	o.held = held
	own := []byte(`{"name":"a","process":1,"term":1}`)
	later := []byte(`{"name":"b","process":2,"term":2}`)
	o.view(store.Item{Key: manager.OwnerKey, Value: own, Revision: 10}, true, 10)
	o.hear([]byte(`{"name":"z","process":9,"term":0}`), 9)
	if r, _ := o.current(); r.Name != "a" {
		t.Fatalf("%s counts as the owner after an old answer", r.Name)
	}
	o.hear(later, 20)
	select {
	case <-held.lost:
	default:
		t.Error("the term goes on after a later owner was heard")
	}
	if r, _ := o.current(); r.Name != "b" {
		t.Errorf("%s counts as the owner, want b", r.Name)
	}
	o.view(store.Item{Key: manager.OwnerKey, Value: own, Revision: 10}, true, 15)
	if r, _ := o.current(); r.Name != "b" {
		t.Errorf("%s counts as the owner after a late view", r.Name)
	}
	o.view(store.Item{}, false, 30)
	if r, found := o.current(); found {
		t.Errorf("%s counts as the owner after its key was removed", r.Name)
	}
}

// Guards against an outage that lasts longer for callers than for the store: the watch
// of an entry hangs for two seconds after the store is back, and jobs were refused all
// the while.
func TestAStoreThatIsBackIsUsedAtOnce(t *testing.T) {
	w := newWorld(t)
	a := w.start("a")
	w.submit(a, "1111111111111111", "10", job.Step{Count: 1, CPU: 1000})
	for _, silent := range []bool{true, false} {
		a.off.off.Store(silent)
		until := time.Now().Add(6 * time.Second)
		for a.storeReach.lost() != silent && time.Now().Before(until) {
			time.Sleep(10 * time.Millisecond)
		}
		if a.storeReach.lost() != silent {
			t.Fatalf("the store counts as lost: %v, want %v", !silent, silent)
		}
	}
	var r reach
	r.note(false)
	if first, second := r.mayTry(time.Hour), r.mayTry(time.Hour); !first || second {
		t.Errorf("a dependency that is down may be tried: %v and then %v, want once in a while", first, second)
	}
	r.note(true)
	if first, second := r.mayTry(time.Hour), r.mayTry(time.Hour); !first || !second {
		t.Errorf("a dependency that answers may be tried: %v and then %v, want always", first, second)
	}
}

// Guards against the late answer of an earlier owner that keeps callers from the new
// one: it was taken for an answer of the owner that had been heard meanwhile.
func TestALateAnswerIsOfTheOwnerThatWasAsked(t *testing.T) {
	n := &Node{Name: "c", ownership: &ownership{changed: make(chan struct{}, 1)}}
	n.ownership.hear([]byte(`{"name":"a","term":1}`), 10)
	asked, _ := n.ownership.current()
	n.ownership.hear([]byte(`{"name":"b","term":2}`), 20)
	n.newOwner()
	n.noteOwner(asked, false, false)
	if n.ownerReach.lost() || n.ownerServes.lost() {
		t.Error("the new owner counts as lost after an answer of the earlier one")
	}
	asked, _ = n.ownership.current()
	n.noteOwner(asked, true, false)
	if n.ownerReach.lost() || !n.ownerServes.lost() {
		t.Error("the owner's own answer was not taken")
	}
}

// Guards against takeovers that wait for nothing: on a deployment of equal entries each
// waited as long as a weak entry does beside a strong one.
func TestTheStrongestEntryClaimsFirst(t *testing.T) {
	var all entries
	all.reset()
	for name, cores := range map[string]string{"a": "0.2", "b": "0.4"} {
		all.note(store.Change{Item: store.Item{Key: manager.EntryPrefix + name, Value: []byte(`{"cores":` + cores + `}`)}})
	}
	if most := all.strongest(); most != 0.4 {
		t.Fatalf("the strongest entry has %v cores", most)
	}
	strong, weak := claimDelay(0.4, all.strongest()), claimDelay(0.2, all.strongest())
	if strong > claimSpread || weak < weakDelay/2 {
		t.Errorf("the strongest entry waits %s, one of half its processor %s", strong, weak)
	}
	if d := claimDelay(0, 0); d < weakDelay {
		t.Errorf("an entry without processor waits %s", d)
	}
}
