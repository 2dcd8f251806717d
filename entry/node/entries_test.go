package node

import (
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/store"
)

// awaitEntries waits until every entry lists all others.
func awaitEntries(t *testing.T, all ...*entry) {
	t.Helper()
	until := time.Now().Add(5 * time.Second)
	for _, e := range all {
		for len(e.entries.randomAddresses(e.Name, len(all))) < len(all)-1 {
			if time.Now().After(until) {
				t.Fatalf("entry %s lists %v", e.Name, e.entries.randomAddresses(e.Name, len(all)))
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// An entry without the store must find the new owner through other entries. Otherwise
// it continues to use the owner that it read last, which may have lost the store as
// well (trouble-1 of kradan-cover-grown: a third of the entries and the owner, for
// 9 s; of 4,791 jobs 299 were left unsettled and 250 refused).
func TestEntryWithoutStoreFindsNewOwner(t *testing.T) {
	f := newFleet(t)
	a := f.start("a")
	f.submit(a, "1111111111111111", "10", job.Step{Count: 1, CPU: 1000})
	b, c := f.start("b"), f.start("c")
	awaitEntries(t, a, b, c)
	a.storeLink.unreachable.Store(true)
	c.storeLink.unreachable.Store(true)
	until := time.Now().Add(8 * time.Second)
	for _, e := range []*entry{a, c} {
		owner, _ := e.ownership.current()
		for owner.Name != "b" && time.Now().Before(until) {
			time.Sleep(50 * time.Millisecond)
			owner, _ = e.ownership.current()
		}
		if owner.Name != "b" {
			t.Fatalf("entry %s: owner is %s after the takeover, want b", e.Name, owner.Name)
		}
	}
	for a.manager() != nil && time.Now().Before(until) {
		time.Sleep(50 * time.Millisecond)
	}
	f.submit(a, "2222222222222222", "10", job.Step{Count: 1, CPU: 1000})
	f.submit(c, "3333333333333333", "10", job.Step{Count: 1, CPU: 1000})
	f.await(c, "2222222222222222", job.Completed, 10*time.Second)
	f.await(a, "3333333333333333", job.Completed, 10*time.Second)
	a.storeLink.unreachable.Store(false)
	c.storeLink.unreachable.Store(false)
	f.await(a, "1111111111111111", job.Completed, 10*time.Second)
	f.check()
}

// Guards against jobs that stay unsettled because of writes that could not succeed: a
// caller cannot safely retry a job that may be stored, but can after a definite
// refusal.
func TestStoreOutageRefusesJobs(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("a"), f.start("b")
	f.submit(a, "1111111111111111", "10", job.Step{Count: 1, CPU: 1000})
	awaitEntries(t, a, b)
	a.storeLink.unreachable.Store(true)
	b.storeLink.unreachable.Store(true)
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
			ID: id, Queue: "q", Pool: "p", Spec: "10", Steps: []job.Step{{Count: 1, CPU: 1000}}, AcceptedAt: asked.UnixMilli(), Objective: testQueue.Objective,
		}, asked.Add(wait))
		if r.Outcome != manager.Refused || r.RetryAfter <= 0 {
			t.Errorf("entry %s: outcome %s, retry after %s", e.Name, r.Outcome, r.RetryAfter)
		}
		if e.Ready() {
			t.Errorf("entry %s is ready although it refuses jobs", e.Name)
		}
		if held := time.Since(asked); held > wait/2 {
			t.Errorf("entry %s held the job for %s of the caller's %s", e.Name, held, wait)
		}
		if item, found, err := f.store.Get(t.Context(), manager.JobKey(id)); err != nil || found {
			t.Errorf("the job is stored at revision %d: %v", item.Revision, err)
		}
	}
}

// A record that is older than the one in the store must be ignored, and a replaced
// owner must end its term as soon as another entry reports a newer owner, not when
// its lease ends.
func TestNewerReportedOwnerEndsTerm(t *testing.T) {
	o := &ownership{self: ownerRecord{Name: "a", Process: 1}, changed: make(chan struct{}, 1)}
	held := &heldTerm{number: 1, revision: 10, lost: make(chan struct{})}
	o.held = held
	own := []byte(`{"name":"a","process":1,"term":1}`)
	later := []byte(`{"name":"b","process":2,"term":2}`)
	o.applyStored(store.Item{Key: manager.OwnerKey, Value: own, Revision: 10}, true, 10)
	o.applyReported([]byte(`{"name":"z","process":9,"term":0}`), 9)
	if r, _ := o.current(); r.Name != "a" {
		t.Fatalf("owner is %s after an outdated report, want a", r.Name)
	}
	o.applyReported(later, 20)
	select {
	case <-held.lost:
	default:
		t.Error("the term continues after a newer owner was reported")
	}
	if r, _ := o.current(); r.Name != "b" {
		t.Errorf("owner is %s, want b", r.Name)
	}
	o.applyStored(store.Item{Key: manager.OwnerKey, Value: own, Revision: 10}, true, 15)
	if r, _ := o.current(); r.Name != "b" {
		t.Errorf("owner is %s after an outdated read, want b", r.Name)
	}
	o.applyStored(store.Item{}, false, 30)
	if r, found := o.current(); found {
		t.Errorf("owner is %s after its key was removed, want none", r.Name)
	}
}

// An entry must use the store as soon as it answers again: its watch hangs for up to
// two seconds longer, and jobs were refused during that time.
func TestRecoveredStoreIsUsedAtOnce(t *testing.T) {
	f := newFleet(t)
	a := f.start("a")
	f.submit(a, "1111111111111111", "10", job.Step{Count: 1, CPU: 1000})
	for _, silent := range []bool{true, false} {
		a.storeLink.unreachable.Store(silent)
		until := time.Now().Add(6 * time.Second)
		for a.storeReach.lost() != silent && time.Now().Before(until) {
			time.Sleep(10 * time.Millisecond)
		}
		if a.storeReach.lost() != silent {
			t.Fatalf("store is unreachable: %v, want %v", !silent, silent)
		}
	}
	var r reachability
	r.record(false)
	if first, second := r.mayTry(time.Hour), r.mayTry(time.Hour); !first || second {
		t.Errorf("dependency down: calls allowed %v, %v, want true, false", first, second)
	}
	r.record(true)
	if first, second := r.mayTry(time.Hour), r.mayTry(time.Hour); !first || !second {
		t.Errorf("dependency up: calls allowed %v, %v, want true, true", first, second)
	}
}

// Guards against a late answer of the previous owner being recorded for the new
// owner, which kept callers from it.
func TestLateAnswerOfPreviousOwnerIsIgnored(t *testing.T) {
	n := &Node{Name: "c", ownership: &ownership{changed: make(chan struct{}, 1)}}
	n.ownership.applyReported([]byte(`{"name":"a","term":1}`), 10)
	asked, _ := n.ownership.current()
	n.ownership.applyReported([]byte(`{"name":"b","term":2}`), 20)
	n.resetOwnerReach()
	n.recordOwnerAnswer(asked, false, false)
	if n.ownerReach.lost() || n.ownerServes.lost() {
		t.Error("the new owner is marked unreachable after an answer of the previous one")
	}
	asked, _ = n.ownership.current()
	n.recordOwnerAnswer(asked, true, false)
	if n.ownerReach.lost() || !n.ownerServes.lost() {
		t.Error("the answer of the current owner was not recorded")
	}
}

// The entry with the most cores must claim without delay: on deployments of equal
// entries each waited as long as a weak entry waits for a stronger one.
func TestEntryWithMostCoresClaimsFirst(t *testing.T) {
	var all entries
	all.reset()
	for name, cores := range map[string]string{"a": "0.2", "b": "0.4"} {
		all.applyChange(store.Change{Item: store.Item{Key: manager.EntryPrefix + name, Value: []byte(`{"cores":` + cores + `}`)}})
	}
	if most := all.maxCores(); most != 0.4 {
		t.Fatalf("the strongest entry has %v cores", most)
	}
	strong, weak := claimDelay(0.4, all.maxCores()), claimDelay(0.2, all.maxCores())
	if strong > maxClaimJitter || weak < maxClaimDelay/2 {
		t.Errorf("the strongest entry waits %s, one with half its cores %s", strong, weak)
	}
	if d := claimDelay(0, 0); d < maxClaimDelay {
		t.Errorf("an entry without CPU waits %s", d)
	}
}

// Guards against the strongest entry that still waits after a lost claim when the entry that
// won has ended, so that a weak one manages the pools (smdc-tn-grown scale-1).
func TestLostClaimIsRetriedOnceTheOwnerChanges(t *testing.T) {
	o := &ownership{self: ownerRecord{Name: "a", Process: 1}, changed: make(chan struct{}, 1)}
	o.applyStored(store.Item{Key: manager.OwnerKey, Value: []byte(`{"name":"weak","process":1,"term":1}`), Revision: 5}, true, 5)
	waited := make(chan struct{})
	go func() {
		o.awaitRetry(t.Context(), time.Hour)
		close(waited)
	}()
	o.applyStored(store.Item{}, false, 6)
	<-waited
	if h := o.awaitClaim(t.Context(), nil); h != nil {
		t.Error("a handover that nobody sent")
	}
	if _, may := o.claimable(); !may {
		t.Error("the pools have no owner and may not be claimed")
	}
}
