package schedule

import (
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// pendingCase is what becomes of the order that starts the only task of a job.
type pendingCase struct {
	name    string
	pending int
	play    func(f *fixture, o Order)
}

const pendingJob = "00000000000000aa"

// answered returns a case in which the order has a result.
func answered(name string, pending int, result OrderResult) pendingCase {
	return pendingCase{name, pending, func(f *fixture, o Order) { f.s.RecordOrderResult(o, result, f.now) }}
}

func pendingCases() []pendingCase {
	// A poll that is sent after the deadline of the start shows that it was not carried out.
	pollLater := func(f *fixture) {
		f.now = f.now.Add(testSettings.StartTimeout + time.Second)
		f.sendReport("e1")
	}
	list := func(f *fixture, o Order) {
		f.execute(o)
		f.sendReport("e1")
	}
	return []pendingCase{
		answered("no answer yet", 1, Unknown),
		answered("refused", 1, NotExecuted),
		answered("refused as ended", 1, AlreadyEnded),
		answered("refused for want of capacity", 1, InsufficientCapacity),
		answered("turned away", 1, Unhealthy),
		answered("connection ended", 1, Disconnected),
		answered("accepted", 0, Accepted),
		{"not sent after the endpoint began to drain", 1, func(f *fixture, o Order) {
			f.s.SetEndpoints([]Endpoint{{ID: "e1", Pool: "p", Address: "e1", Capacity: testCapacity, Draining: true}}, f.now)
			if f.s.MaySend(o, f.now) {
				f.t.Error("the order may be sent")
			}
		}},
		{"not sent in time", 1, func(f *fixture, o Order) {
			f.now = f.now.Add(testSettings.StartTimeout + 2*time.Second)
			if f.s.MaySend(o, f.now) {
				f.t.Error("the order may be sent")
			}
		}},
		{"no answer and not listed", 1, func(f *fixture, o Order) {
			f.s.RecordOrderResult(o, Unknown, f.now)
			pollLater(f)
		}},
		{"no answer and endpoint lost", 1, func(f *fixture, o Order) {
			f.s.RecordOrderResult(o, Unknown, f.now)
			f.s.RecordDisconnected("e1", f.now)
		}},
		{"connection ended and endpoint restarted", 1, func(f *fixture, o Order) {
			f.s.RecordOrderResult(o, Disconnected, f.now)
			f.now = f.now.Add(10 * time.Millisecond)
			f.s.ApplyReport("e1", Report{SentAt: f.now, ReceivedAt: f.now, Incarnation: 2})
		}},
		{"no answer and listed", 0, func(f *fixture, o Order) {
			f.s.RecordOrderResult(o, Unknown, f.now)
			list(f, o)
		}},
		{"no answer and ended", 0, func(f *fixture, o Order) {
			f.s.RecordOrderResult(o, Unknown, f.now)
			f.execute(o)
			f.endRun("e1", o.Task, EndStopped)
			f.sendReport("e1")
		}},
		{"accepted after the endpoint was lost", 0, func(f *fixture, o Order) {
			f.s.RecordDisconnected("e1", f.now)
			f.s.RecordOrderResult(o, Accepted, f.now)
		}},
		{"accepted and failed", 0, func(f *fixture, o Order) {
			f.execute(o)
			f.s.RecordOrderResult(o, Accepted, f.now)
			f.endRun("e1", o.Task, EndFailed)
			f.sendReport("e1")
		}},
	}
}

// wantPending checks what is said of the job.
func (f *fixture) wantPending(count int, when string) {
	f.t.Helper()
	want := job.Running
	if count == 1 {
		want = job.Queued
	}
	if pending := f.s.PendingJobs("q"); pending != count {
		f.t.Errorf("%s: %d pending jobs, want %d", when, pending, count)
	}
	if state, _ := f.s.JobState(pendingJob); state != want {
		f.t.Errorf("%s: the job is %s, want %s", when, state, want)
	}
}

// TestPendingJobsAreThoseWithoutAStart guards against a job that is given as running, and not as pending, although
// no endpoint has started a task of it, and the other way round.
func TestPendingJobsAreThoseWithoutAStart(t *testing.T) {
	for _, c := range pendingCases() {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, "e1")
			f.s.AddJob(newRecord(pendingJob, job.Step{Count: 1, CPU: 500, EstimateMillis: 300}), f.now)
			starts := f.startOrders(f.s.Plan(f.now, f.now))
			if len(starts) != 1 {
				t.Fatalf("%d starts", len(starts))
			}
			f.wantPending(1, "planned")
			c.play(f, starts[0])
			f.wantPending(c.pending, "afterwards")
		})
	}
}

// TestNextOwnerCountsPendingJobs guards against the same with an owner that has read what the one before
// stored or handed over.
func TestNextOwnerCountsPendingJobs(t *testing.T) {
	for _, c := range pendingCases() {
		for _, handedOver := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				f := newFixture(t, "e1")
				r := newRecord(pendingJob, job.Step{Count: 1, CPU: 500, EstimateMillis: 300})
				f.s.AddJob(r, f.now)
				c.play(f, f.startOrders(f.s.Plan(f.now, f.now))[0])
				// Another change of the record is stored meanwhile.
				f.s.markDirty(f.s.jobs[pendingJob], f.now, false)
				if handedOver {
					f.handOver(r)
				} else {
					stored := f.confirmWrites()[0].Record
					f.s = &Scheduler{Settings: testSettings}
					f.s.LoadJob(decoded(t, stored), f.now)
				}
				f.wantPending(c.pending, "at the next owner")
			})
		}
	}
}
