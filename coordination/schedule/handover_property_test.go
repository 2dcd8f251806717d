package schedule

import (
	"encoding/json"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// handOver makes another owner take over with the state that the present one hands over. The message may take
// time, and the successor may be paused before it uses it.
func (m *fleetModel) handOver(t *rapid.T) {
	body, err := json.Marshal(m.s.HandOver(m.now))
	if err != nil {
		t.Fatal(err)
	}
	m.pause(t, "transfer")
	receivedAt := m.now
	m.pause(t, "claim")
	var h Handover
	if err = json.Unmarshal(body, &h); err != nil {
		t.Fatal(err)
	}
	m.succeed(&h, receivedAt)
}

func (m *fleetModel) pause(t *rapid.T, what string) {
	m.advance(time.Duration(rapid.SampledFrom([]int{0, 0, 30, 900, 5000}).Draw(t, what)) * time.Millisecond)
}

// handoverModel checks the starts of a fleet whose owners hand over.
type handoverModel struct {
	*fleetModel

	// doneAt holds when a run of a task last ended as done, lapsedAt when the lease of its
	// endpoint ended after that, and startedAt when a run last started.
	doneAt, lapsedAt, startedAt map[string]time.Time
	// acknowledged holds the tasks of which such an end was acknowledged, and failures counts
	// the acknowledged failures.
	acknowledged map[string]bool
	failures     map[string]int
}

func newHandoverModel(t *rapid.T) *handoverModel {
	h := &handoverModel{
		fleetModel: newFleetModel(t, 4), doneAt: make(map[string]time.Time), lapsedAt: make(map[string]time.Time),
		startedAt: make(map[string]time.Time), acknowledged: make(map[string]bool), failures: make(map[string]int),
	}
	h.onStart = h.checkRun
	for _, e := range h.endpoints {
		e.onEnd = func(name string, how EndReason) {
			if how == EndDone {
				h.doneAt[name] = h.now
			}
		}
		e.onAcknowledge = func(ended EndedRun) { h.acknowledge(e, ended) }
	}
	return h
}

// step returns the step of a task.
func (h *handoverModel) step(name string) (j job.Job, st job.Step) {
	id, ref, err := job.ParseTaskName(name)
	if err != nil {
		h.Fatal(err)
	}
	j = h.jobs[id]
	return j, j.Steps[ref.Step]
}

// checkRun checks a start against what has run and what runs.
func (h *handoverModel) checkRun(o lateOrder) {
	j, st := h.step(o.Task)
	h.startedAt[o.Task] = h.now
	used := Capacity{}
	for _, e := range h.endpoints {
		if _, runs := e.running[o.Task]; runs && e.id != o.Endpoint && !st.AllowDuplicates {
			h.Fatalf("%s starts on %s while it runs on %s", o.Task, o.Endpoint, e.id)
		}
		if e.id != o.Endpoint {
			continue
		}
		for name := range e.running {
			_, other := h.step(name)
			used = used.Plus(taskSize(&other))
		}
	}
	if !(Capacity{CPU: 4000, MemoryMB: 4000}).CanFit(used) {
		h.Fatalf("the start of %s brings %s to %+v", o.Task, o.Endpoint, used)
	}
	if st.LongRunning || st.AllowDuplicates {
		return
	}
	if h.acknowledged[o.Task] {
		h.Fatalf("%s starts after it was done and its end was acknowledged", o.Task)
	}
	if h.failures[o.Task] >= j.MaxAttempts {
		h.Fatalf("%s starts after %d failures were acknowledged", o.Task, h.failures[o.Task])
	}
	for _, before := range st.DependsOn {
		if !h.stepDone(j, before) {
			h.Fatalf("%s starts before step %d is done", o.Task, before)
		}
	}
}

// stepDone reports whether all tasks of a step have ended as done, or one of a gang.
func (h *handoverModel) stepDone(j job.Job, step int) bool {
	done := 0
	for i := range j.Steps[step].Count {
		if !h.doneAt[job.TaskRef{Step: step, Index: i}.TaskName(j.ID)].IsZero() {
			done++
		}
	}
	return done == j.Steps[step].Count || j.Steps[step].Gang && done > 0
}

// acknowledge checks an end that the endpoint may remove from its list.
func (h *handoverModel) acknowledge(e *simulatedEndpoint, ended EndedRun) {
	_, st := h.step(ended.Task)
	if st.LongRunning || st.AllowDuplicates {
		return
	}
	switch ended.Reason {
	case EndDone:
		// A lease that ended in between excuses a second start.
		if h.startedAt[ended.Task].After(h.doneAt[ended.Task]) && h.now.Before(e.leaseUntil) && h.lapsedAt[e.id].Before(h.doneAt[ended.Task]) {
			h.Fatalf("%s was started after it was done on %s", ended.Task, e.id)
		}
		h.acknowledged[ended.Task] = true
	case EndFailed:
		h.failures[ended.Task]++
	case EndStopped, EndLeaseExpired, EndBroken, EndAlone:
	}
}

// Guards against a handover that leaves out what may run or what has ended: the next owner
// starts a task that runs or is done, beyond the capacity of an endpoint, before its turn, or
// too often (load: entries that are restarted in turn while a data centre is cut off). Owners
// hand over in sequences, after messages and pauses of any length, with orders that are lost or
// executed late, and beside changes of owner without a handover.
func TestHandoverProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHandoverModel(t)
		actions := h.actions()
		actions["wait"] = func(t *rapid.T) {
			h.advance(time.Duration(rapid.SampledFrom([]int{20, 120, 1000, 3000}).Draw(t, "millis")) * time.Millisecond)
			for _, e := range h.endpoints {
				if !h.now.Before(e.leaseUntil) {
					h.lapsedAt[e.id] = h.now
				}
			}
		}
		actions["handOverAgain"] = h.handOver
		t.Repeat(actions)
	})
}
