package node

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/standin"
	"github.com/azurepoint/azurepoint/entry/store"
)

// newPlacementFleet returns a fleet with an endpoint in data centre A and two in B.
func newPlacementFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	listed := testEndpoints()
	for i := range listed {
		listed[i].DataCentre = []string{"A", "B", "B"}[i]
	}
	f.directory = standin.Directory(listed)
	f.dataCentres = map[string]string{"a": "A", "b": "B", "c": "B"}
	return f
}

// storedJob returns the record of a job in the store.
func (f *fleet) storedJob(id string) job.Record {
	f.t.Helper()
	item, found, err := f.store.Get(f.t.Context(), manager.JobKey(id))
	if err != nil || !found {
		f.t.Fatal(found, err)
	}
	r, err := job.Decode(item.Value, item.Revision)
	if err != nil {
		f.t.Fatal(err)
	}
	return r
}

// Guards against a job of a data centre that waits for the endpoints of another one. Load: a
// data centre is cut off with the owner in it while jobs run.
func TestJobGoesOnWhileOtherDataCentreIsCutOff(t *testing.T) {
	f := newPlacementFleet(t)
	a := f.start("a")
	f.submit(a, "1111111111111111", "10", job.Step{Count: 1, CPU: 1000})
	f.await(a, "1111111111111111", job.Completed, 3*time.Second)
	b := f.start("b")
	f.submit(a, "aaaaaaaaaaaaaaaa", "3000", job.Step{Count: 2, CPU: 1000})
	f.submit(b, "bbbbbbbbbbbbbbbb", "600", job.Step{Count: 2, CPU: 1000})
	for id, want := range map[string]string{"aaaaaaaaaaaaaaaa": "A", "bbbbbbbbbbbbbbbb": "B"} {
		if r := f.storedJob(id); r.DataCentre != want || r.ConfinedTerm != 1 {
			t.Errorf("job %s is confined to %q by term %d, want %s", id, r.DataCentre, r.ConfinedTerm, want)
		}
	}
	f.cutOff("e0")
	a.kill()
	begun := time.Now()
	f.await(b, "bbbbbbbbbbbbbbbb", job.Completed, 3500*time.Millisecond)
	f.await(b, "aaaaaaaaaaaaaaaa", job.Completed, 15*time.Second)
	if took := time.Since(begun); took < time.Second {
		t.Errorf("the job of the data centre that is cut off ended after %s, before the lease there", took)
	}
	if r := f.storedJob("aaaaaaaaaaaaaaaa"); r.DataCentre != "" {
		t.Errorf("the job went on in another data centre and is stored for %q", r.DataCentre)
	}
	f.check()
}

// Guards against runs in two data centres, and against starts outside the data centre that a
// record names, while owners are lost and writes are lost, late and repeated.
func TestConfinedJobHistoriesUnderFaults(t *testing.T) {
	first, count := historySeeds()
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			h := &history{fleet: newPlacementFleet(t), rng: &lockedRand{Rand: rand.New(rand.NewPCG(seed, 3))}, jobs: make(map[string]*callerView)}
			h.store.LateBy = lateWrite
			h.entries = []*entry{h.start("a"), h.start("b"), h.start("c")}
			// Without an owner that has loaded the jobs none is confined.
			h.awaitLoaded(10*time.Second, h.entries...)
			h.run()
			h.checkAnswers()
			h.checkRecords()
			h.checkPlaces()
			h.check()
		})
	}
}

// awaitLoaded waits for an owner that has loaded the jobs.
func (f *fleet) awaitLoaded(within time.Duration, entries ...*entry) {
	f.t.Helper()
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if m := f.awaitTerm(time.Until(until), entries...).manager(); m != nil && m.Loaded() {
			return
		}
	}
	f.t.Fatalf("no owner has loaded the jobs after %s", within)
}

// checkPlaces checks that the tasks of jobs which are stored as confined have only started in
// their data centres.
func (h *history) checkPlaces() {
	confined := 0
	for _, s := range h.endpoints.Starts() {
		id, _, _ := strings.Cut(s.Task, ".")
		r := h.storedJob(id)
		if r.DataCentre == "" {
			continue
		}
		confined++
		if at := map[string]string{"e0": "A"}[s.Endpoint]; r.DataCentre == "A" != (at == "A") {
			h.t.Errorf("%s started on %s, its job is stored for %s", s.Task, s.Endpoint, r.DataCentre)
		}
	}
	if confined == 0 {
		h.t.Error("no job is confined")
	}
}

// Guards against a job that no owner has decided on and that counts as confined.
func TestDirectlyStoredJobIsWide(t *testing.T) {
	f := newPlacementFleet(t)
	a := f.start("a")
	j := job.Job{ID: id, Queue: "q", Pool: "p", Spec: "10", Steps: []job.Step{{Count: 1}}, DataCentre: "A", AcceptedAt: time.Now().UnixMilli()}
	if r := a.storeDirectly(t.Context(), j, settlement{}, time.Now().Add(time.Second)); r.Outcome != manager.Accepted {
		t.Fatalf("outcome %s, want accepted", r.Outcome)
	}
	if r := f.storedJob(id); r.DataCentre != "" {
		t.Errorf("stored for %q", r.DataCentre)
	}
}

// Guards against an owner that takes records for true although an owner of an earlier release,
// which ignores data centres, has had the pools meanwhile.
func TestNextTerm(t *testing.T) {
	term := func(value string) store.Item {
		return store.Item{Key: manager.TermKey, Value: []byte(value), Revision: 5}
	}
	confinement := func(value string) store.Item {
		return store.Item{Key: manager.ConfinementKey, Value: []byte(value), Revision: 4}
	}
	for name, c := range map[string]struct {
		items         []store.Item
		number, since int64
	}{
		"first":                    {nil, 1, 1},
		"after an earlier release": {[]store.Item{term("6")}, 7, 7},
		"the same release":         {[]store.Item{term("6"), confinement(`{"since":3,"term":6}`)}, 7, 3},
		"an earlier one between":   {[]store.Item{term("6"), confinement(`{"since":3,"term":5}`)}, 7, 7},
		"damaged":                  {[]store.Item{term("6"), confinement(`{"since":3,"te`)}, 7, 7},
	} {
		number, revision, since, err := nextTerm(c.items)
		if err != nil || number != c.number || since != c.since || revision != 5*int64(min(1, len(c.items))) {
			t.Errorf("%s: term %d of revision %d, since %d, %v", name, number, revision, since, err)
		}
	}
	if _, _, _, err := nextTerm([]store.Item{term("x")}); err == nil {
		t.Error("a term that is no number is accepted")
	}
}
