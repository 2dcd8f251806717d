package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// newPlacementFixture returns a scheduler with endpoints whose names begin with the letter of
// their data centre. Those that have not reported may run tasks of an earlier owner.
func newPlacementFixture(t *testing.T, reported, unread []string) *fixture {
	t.Helper()
	f := newFixture(t)
	f.s.Settings.ConfineJobs, f.s.Settings.Term = true, 3
	var listed []Endpoint
	for _, e := range append(append([]string(nil), reported...), unread...) {
		listed = append(listed, Endpoint{ID: e, Pool: "p", Address: e, DataCentre: e[:1], Capacity: testCapacity})
		f.running[e] = make(map[string]ListedRun)
	}
	f.s.SetEndpoints(listed, f.now)
	for _, e := range reported {
		f.sendReport(e)
	}
	return f
}

// confinedRecord returns a job of tasks that take a quarter of an endpoint.
func confinedRecord(id, dataCentre string, tasks int) job.Record {
	r := newRecord(id, job.Step{Count: tasks, CPU: 2000, MemoryMB: 100, EstimateMillis: 1000})
	r.DataCentre, r.ConfinedTerm = dataCentre, 2
	return r
}

// startsOf returns on which endpoints the orders start tasks of a job.
func (f *fixture) startsOf(orders []Order, id string) (endpoints []string) {
	for _, o := range f.startOrders(orders) {
		if o.Job == id {
			endpoints = append(endpoints, o.Endpoint)
		}
	}
	return endpoints
}

func (f *fixture) wantStartsOn(orders []Order, id, want string) {
	f.t.Helper()
	if got := fmt.Sprint(f.startsOf(orders, id)); got != want {
		f.t.Fatalf("starts of %s on %s, want %s", id, got, want)
	}
}

// Guards against jobs that wait for a data centre which has nothing to do with them. Load: a
// data centre is cut off with the owner in it while the pools are busy.
func TestCutWithOwnerDelaysOnlyItsJobs(t *testing.T) {
	f := newPlacementFixture(t, []string{"B0", "C0"}, []string{"A0", "A1"})
	var waits []AwaitedDataCentre
	f.s.OnAwaited = func(a AwaitedDataCentre) { waits = append(waits, a) }
	f.s.LoadJob(confinedRecord("inCut", "A", 1), f.now)
	f.s.LoadJob(confinedRecord("inB", "B", 1), f.now)
	wide := confinedRecord("wide", "", 1)
	f.s.LoadJob(wide, f.now)
	orders := f.planAndAccept()
	f.wantStartsOn(orders, "inB", "[B0]")
	f.wantStartsOn(orders, "inCut", "[]")
	f.wantStartsOn(orders, "wide", "[]")
	f.now = f.now.Add(minAwaited)
	f.planAndAccept()
	f.now = f.now.Add(testSettings.InheritedLease - minAwaited)
	f.sendReport("B0")
	f.sendReport("C0")
	orders = f.planAndAccept()
	if len(f.startsOf(orders, "wide")) != 1 {
		t.Error("a job that is not confined does not start after the leases")
	}
	f.wantStartsOn(orders, "inCut", "[]")
	if !f.s.HasUrgentWrites() {
		t.Fatal("the job of the data centre that is cut off is not widened")
	}
	f.wantStartsOn(f.planAndAccept(), "inCut", "[]")
	writes := f.confirmWrites()
	if len(writes) == 0 || writes[0].Record.ID != "inCut" || writes[0].Record.DataCentre != "" {
		t.Fatalf("writes %+v, want the widened job first", writes)
	}
	if got := f.startsOf(f.planAndAccept(), "inCut"); len(got) != 1 || got[0] == "A0" {
		t.Errorf("starts on %v after the job is stored as wide", got)
	}
	if len(waits) != 4 || waits[1].DataCentre != "A" || waits[1].Jobs != 1 || !waits[3].Ended || waits[3].Waited < testSettings.InheritedLease {
		t.Errorf("waits %+v, want those for A and for all with begin and end", waits)
	}
}

// Guards against a task that starts while an endpoint may run it: the data centre of an
// endpoint is not known, or it was changed in the list.
func TestUnknownDataCentreIsAwaited(t *testing.T) {
	f := newPlacementFixture(t, []string{"B0"}, []string{"A0"})
	f.s.AddInheritedEndpoint(Endpoint{ID: "x", Pool: "p"}, f.now)
	f.s.LoadJob(confinedRecord("inB", "B", 1), f.now)
	f.wantStartsOn(f.planAndAccept(), "inB", "[]")
	f.s.UpdateEndpoints([]Endpoint{{ID: "x", Pool: "p", Address: "x", DataCentre: "A", Capacity: testCapacity}}, f.now)
	f.wantStartsOn(f.planAndAccept(), "inB", "[]")
	f.running["x"] = make(map[string]ListedRun)
	f.sendReport("x")
	f.wantStartsOn(f.planAndAccept(), "inB", "[B0]")
}

// Guards against a second run in another data centre, and against tasks without a run that
// wait for the leases. Load: a data centre is cut off right after a change of the owner.
func TestCutRightAfterTakeover(t *testing.T) {
	f := newPlacementFixture(t, []string{"A0", "B0"}, nil)
	f.s.LoadJob(confinedRecord("j", "A", 6), f.now)
	f.wantStartsOn(f.planAndAccept(), "j", "[A0 A0 A0 A0]")
	f.s.ExtendLease("A0", f.now)
	f.s.RecordUnanswered("A0", f.now)
	f.planAndAccept()
	f.confirmWrites()
	f.wantStartsOn(f.planAndAccept(), "j", "[B0 B0]")
	f.now = f.now.Add(time.Second)
	f.sendReport("B0")
	f.wantStartsOn(f.planAndAccept(), "j", "[]")
	f.now = f.now.Add(testSettings.InheritedLease)
	f.s.ExpireLeases(f.now)
	f.sendReport("B0")
	f.wantStartsOn(f.planAndAccept(), "j", "[B0 B0]")
}

// Guards against jobs that wait although another data centre has room, against widening more
// jobs than find room there, and against taking it from the jobs of that data centre. Load:
// the data centres of a pool fill up unevenly.
func TestUnevenDataCentres(t *testing.T) {
	f := newPlacementFixture(t, []string{"A0", "B0", "B1"}, nil)
	for i := range 8 {
		f.s.AddJob(confinedRecord(fmt.Sprint("a", i), "A", 1), f.now)
	}
	for i := range 6 {
		f.s.AddJob(confinedRecord(fmt.Sprint("b", i), "B", 1), f.now)
	}
	orders := f.planAndAccept()
	counts := make(map[string]int)
	for _, o := range f.startOrders(orders) {
		counts[o.Job[:1]+o.Endpoint[:1]]++
	}
	if len(counts) != 2 || counts["aA"] != 4 || counts["bB"] != 6 {
		t.Fatalf("starts %v, want 4 of A there and 6 of B there", counts)
	}
	// A later plan has less room, as long as no record is stored.
	f.planAndAccept()
	if f.s.Counts.Widened != 2 {
		t.Fatalf("%d jobs widened for two free places", f.s.Counts.Widened)
	}
	f.confirmWrites()
	if got := len(f.startOrders(f.planAndAccept())); got != 2 {
		t.Errorf("%d starts of widened jobs, want 2", got)
	}
	// A job that has waited for long goes before the jobs of the other data centre.
	f.now = f.now.Add(2500 * time.Millisecond)
	f.s.AddJob(func() job.Record {
		r := confinedRecord("late", "B", 1)
		r.AcceptedAt = f.now.UnixMilli()
		return r
	}(), f.now)
	for name := range f.running["B0"] {
		f.endRun("B0", name, EndDone)
		break
	}
	for _, e := range []string{"A0", "B0", "B1"} {
		f.sendReport(e)
	}
	f.planAndAccept()
	if f.s.Counts.Widened != 3 {
		t.Errorf("%d jobs widened, want one more that has waited for long", f.s.Counts.Widened)
	}
}

// Guards against holding more endpoints of a pool for suspected tasks because these are confined
// to several data centres. Load: endpoints crash in two data centres of a busy pool.
func TestHeldEndpointsOfDataCentres(t *testing.T) {
	for _, suspected := range []string{"AB", "BB"} {
		f := newPlacementFixture(t, []string{"A0", "A1", "B0", "B1"}, nil)
		f.s.AddJob(newRecord("young", job.Step{Count: 4, CPU: 1000, AntiAffinity: 1}), f.now)
		f.planAndAccept()
		for i, d := range suspected {
			r := confinedRecord(fmt.Sprint("suspected", i), string(d), 1)
			r.Progress = []job.Progress{{Crashes: map[int][]job.Crash{0: {{Run: 1, Endpoint: "gone", AtStart: true, Confirmed: true}}}}}
			f.s.AddJob(r, f.now)
		}
		f.s.Plan(f.now, f.now)
		held := ""
		for _, id := range sortedKeys(f.s.endpoints) {
			if f.s.endpoints[id].heldFor != nil {
				held += id
			}
		}
		if want := suspected[:1] + "0"; held != want {
			t.Errorf("%s: %s held, want one endpoint of 4, %s", suspected, held, want)
		}
	}
}

// Guards against a job that fails because its data centre has only the endpoint on which its
// task has failed before.
func TestFailedTaskLeavesItsDataCentre(t *testing.T) {
	f := newPlacementFixture(t, []string{"A0", "B0"}, nil)
	f.s.AddJob(confinedRecord("j", "A", 1), f.now)
	f.wantStartsOn(f.planAndAccept(), "j", "[A0]")
	f.endRun("A0", firstTask("j"), EndFailed)
	f.sendReport("A0")
	f.now = f.now.Add(taskRetryDelay)
	f.wantStartsOn(f.planAndAccept(), "j", "[]")
	f.confirmWrites()
	f.wantStartsOn(f.planAndAccept(), "j", "[B0]")
}

// Guards against runs in two data centres at a time: an owner of an earlier release has started
// tasks elsewhere, or a job is stored by an entry that has not read where its tasks run.
func TestDataCentreOfOtherWriterIsIgnored(t *testing.T) {
	for term, want := range map[int64]string{0: "[]", 1: "[]", 2: "[A0]"} {
		f := newPlacementFixture(t, []string{"A0"}, []string{"B0"})
		f.s.Settings.ConfinedSince = 2
		r := confinedRecord("j", "A", 1)
		r.ConfinedTerm = term
		f.s.LoadJob(r, f.now)
		f.wantStartsOn(f.planAndAccept(), "j", want)
	}
}

// Guards against confining jobs that have to run elsewhere or that are large for their data
// centre, as all but the smallest are in a pool of 8 endpoints in 4 data centres.
func TestConfine(t *testing.T) {
	var eight []string
	for _, d := range []string{"A", "B", "C", "D"} {
		eight = append(eight, d+"0", d+"1")
	}
	tests := map[string]struct {
		change func(f *fixture, j *job.Job)
		want   string
	}{
		"a quarter of the data centre":  {func(*fixture, *job.Job) {}, "A"},
		"more than a quarter":           {func(_ *fixture, j *job.Job) { j.Steps[0].Count = 3 }, ""},
		"more than a quarter of memory": {func(_ *fixture, j *job.Job) { j.Steps[0].MemoryMB = 2001 }, ""},
		"a second step of more":         {func(_ *fixture, j *job.Job) { j.Steps = append(j.Steps, job.Step{Count: 1, CPU: 4001}) }, ""},
		"long-running":                  {func(_ *fixture, j *job.Job) { j.Steps[0].LongRunning = true }, ""},
		"repeated":                      {func(_ *fixture, j *job.Job) { j.Repeat = 1 }, ""},
		"data on a rack":                {func(_ *fixture, j *job.Job) { j.Steps[0].DataRack = "r" }, ""},
		"a label that none has":         {func(_ *fixture, j *job.Job) { j.Steps[0].RequiredLabel = "l" }, ""},
		"apart from each other":         {func(_ *fixture, j *job.Job) { j.Steps[0] = job.Step{Count: 3, AntiAffinity: 1} }, ""},
		"no data centre":                {func(_ *fixture, j *job.Job) { j.DataCentre = "" }, ""},
		"another data centre":           {func(_ *fixture, j *job.Job) { j.DataCentre = "X" }, ""},
		"feature off":                   {func(f *fixture, _ *job.Job) { f.s.Settings.ConfineJobs = false }, ""},
		"half of it does not answer":    {func(f *fixture, _ *job.Job) { f.s.RecordUnanswered("A0", f.now) }, ""},
		"a single data centre": {func(f *fixture, _ *job.Job) {
			f.s.SetEndpoints([]Endpoint{{ID: "A0", Pool: "p", DataCentre: "A", Capacity: testCapacity.Times(2)}}, f.now)
		}, ""},
	}
	for name, c := range tests {
		f := newPlacementFixture(t, eight, nil)
		j := newRecord("j", job.Step{Count: 2, CPU: 2000, MemoryMB: 100}).Job
		j.DataCentre, j.ConfinedTerm = "A", 9
		c.change(f, &j)
		f.s.Confine(&j)
		if j.DataCentre != c.want || (j.ConfinedTerm == 3) != (c.want != "") {
			t.Errorf("%s: confined to %q by term %d, want %q", name, j.DataCentre, j.ConfinedTerm, c.want)
		}
	}
}
