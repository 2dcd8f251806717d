package schedule

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// Guards against giving up the tasks that run beside one that crashes endpoints: they share
// its crashes, and some of them two.
func TestNeighboursOfCrashingTasksComplete(t *testing.T) {
	c := newCrashFleet(t, 8, func(task string) (time.Duration, bool) {
		return crashStep, strings.HasPrefix(task, "crashing") && strings.HasSuffix(task, ".0.0.0")
	})
	jobs := 0
	for i := range 300 {
		id := fmt.Sprintf("j%d", i)
		if i%30 == 7 {
			id = fmt.Sprintf("crashing%d", i)
		}
		c.addJob(id, job.Step{Count: 4, CPU: 1000, AllowDuplicates: i%3 == 0})
		c.runFor(100 * time.Millisecond)
		jobs++
	}
	c.runFor(40 * time.Second)
	crashes := 0
	for i := range jobs {
		if i%30 == 7 {
			id := fmt.Sprintf("crashing%d", i)
			c.wantState(id, job.Failed)
			if n := c.crashed[firstTask(id)]; n < 2 || n > 3 {
				t.Errorf("%d endpoints crashed under the task of %s, want 2 or 3", n, id)
			}
			crashes += c.crashed[firstTask(id)]
			continue
		}
		c.wantState(fmt.Sprintf("j%d", i), job.Completed)
	}
	if crashes > 25 {
		t.Errorf("%d crashes of 10 tasks, want at most 25", crashes)
	}
}

// Guards against a suspected task that waits for long in a busy pool, because some run on
// every endpoint has just started.
func TestSuspectedTaskStartsInBusyPool(t *testing.T) {
	c := newCrashFleet(t, 4, crashOnStart())
	c.runTime = 300 * time.Millisecond
	c.addJob("suspected", job.Step{Count: 1, CPU: 500})
	c.step()
	c.crash(c.instanceOf(c.s.taskByName(firstTask("suspected")).runs[0].endpoint.ID))
	c.runFor(restartTime - crashStep)
	for i := range 100 {
		c.addJob(fmt.Sprintf("j%d", i), job.Step{Count: 4, CPU: 400, AntiAffinity: 1})
		c.runFor(2 * crashStep)
		if state, _ := c.s.JobState("suspected"); state == job.Completed {
			return
		}
	}
	t.Error("the suspected task did not complete within 2 s of the endpoint's return")
}

// Guards against starts of other jobs on the endpoint of a suspected task that has just
// started: a second crash would have several suspects again.
func TestSuspectedTaskStartsAlone(t *testing.T) {
	c := newCrashFleet(t, 1, crashOnStart())
	c.addJob("suspected", job.Step{Count: 1, CPU: 500})
	c.step()
	c.crash(c.instances[0])
	c.runFor(restartTime + crashStep)
	if n := len(c.s.taskByName(firstTask("suspected")).runs); n != 1 {
		t.Fatalf("%d runs of the suspected task, want 1", n)
	}
	other := c.addJob("other", job.Step{Count: 1, CPU: 500})
	c.runFor(startupPeriod - 2*crashStep)
	if len(c.s.taskByName(other).runs) != 0 {
		t.Error("another job was started beside the suspected task")
	}
	c.runFor(4 * reportInterval)
	if len(c.s.taskByName(other).runs) != 1 {
		t.Error("another job was not started once the suspected task had outlived its start")
	}
}

// Guards against counting the loss of an endpoint that was only unreachable, drained, or was
// replaced by an order: the tasks there would be given up without a crash.
func TestOnlyCrashesCount(t *testing.T) {
	for name, lose := range map[string]func(c *crashFleet, i *simulatedInstance){
		"unreachable": func(c *crashFleet, i *simulatedInstance) {
			c.s.RecordUnanswered(i.endpoint, c.now)
			c.now = c.now.Add(5 * time.Second)
			c.s.ExpireLeases(c.now)
			clear(c.running[i.endpoint])
			c.report(i)
		},
		"moved": func(c *crashFleet, i *simulatedInstance) {
			c.s.endpoints[i.endpoint].moving, c.s.endpoints[i.endpoint].replacementOrdered = true, true
			c.s.RecordUnanswered(i.endpoint, c.now)
			c.startEndpoint(i)
		},
		"maintained": func(c *crashFleet, i *simulatedInstance) {
			c.s.RecordTermination(i.endpoint, LossReleased, c.now)
			c.startEndpoint(i)
		},
		"drained": func(c *crashFleet, i *simulatedInstance) {
			c.s.endpoints[i.endpoint].Draining = true
			c.s.RecordUnanswered(i.endpoint, c.now)
			c.startEndpoint(i)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashFleet(t, 3, crashOnStart())
			task := c.addJob("j", job.Step{Count: 1, CPU: 1000})
			for range 4 {
				c.runFor(100 * time.Millisecond)
				r := c.s.taskByName(task).runs
				if len(r) != 1 {
					t.Fatalf("%d runs, want 1", len(r))
				}
				lose(c, c.instanceOf(r[0].endpoint.ID))
			}
			c.runFor(2 * time.Second)
			c.wantState("j", job.Completed)
		})
	}
}

// Guards against giving up a task whose orders never reached the endpoints that crashed, so that it
// did not run there, and one under which one endpoint has crashed: the order to start it on another
// one came when that had just crashed, and the connection ended without an answer.
func TestOrderThatWasNotCarriedOutIsNoCrash(t *testing.T) {
	for name, test := range map[string]struct {
		answers []OrderResult
		// losses are those that count before the task is done, or 0 if any may.
		losses int
		// state is that of the job before the task is done.
		state job.State
	}{
		"dead":   {[]OrderResult{Unknown, Unknown, Unknown, Unknown, Unknown}, 5, job.Queued},
		"cutOff": {[]OrderResult{Disconnected, Accepted, Disconnected}, 0, job.Running},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashFleet(t, 6, crashOnStart())
			task := c.addJob("j", job.Step{Count: 1, CPU: 1000})
			for _, answer := range test.answers {
				start, i := c.planOne()
				c.s.RecordOrderResult(start, answer, c.now)
				c.crash(i)
				c.restart(i)
			}
			c.wantState("j", test.state)
			if n := len(c.s.taskByName(task).crashes); test.losses > 0 && n != test.losses {
				t.Errorf("%d crashes, want the %d losses", n, test.losses)
			}
			c.runFor(2 * time.Second)
			c.wantState("j", job.Completed)
		})
	}
}

// Guards against giving up a task after two endpoints that fell silent were replaced: they may
// have crashed behind a partition, after the task had ended there.
func TestSilentLossesCountOnlyAmongSeveral(t *testing.T) {
	c := newCrashFleet(t, 6, crashOnStart())
	c.addJob("j", job.Step{Count: 1, CPU: 1000})
	for n := 1; n <= maxCrashes; n++ {
		starts := c.startOrders(c.planAndAccept())
		if len(starts) != 1 {
			t.Fatalf("loss %d: orders %v, want one start", n, starts)
		}
		i := c.instanceOf(starts[0].Endpoint)
		c.s.RecordUnanswered(i.endpoint, c.now)
		c.restart(i)
		c.confirmWrites()
		want := job.Running
		if n == maxCrashes {
			want = job.Failed
		}
		c.wantState("j", want)
	}
}

// Guards against writes and isolation for every time-out of a poll, of which a busy owner has
// many: they would slow it down further.
func TestTimeOutSuspectsNobody(t *testing.T) {
	c := newCrashFleet(t, 2, crashOnStart())
	task := c.addJob("j", job.Step{Count: 1, CPU: 1000})
	c.step()
	r := c.s.taskByName(task).runs[0]
	c.s.RecordUnanswered(r.endpoint.ID, c.now)
	c.report(c.instanceOf(r.endpoint.ID))
	if writes := c.confirmWrites(); len(writes) > 0 || len(c.s.suspectTasks) > 0 {
		t.Errorf("%d writes and %d suspected tasks after one time-out", len(writes), len(c.s.suspectTasks))
	}
	c.s.RecordUnanswered(r.endpoint.ID, c.now)
	c.now = c.now.Add(testSettings.InheritedLease + time.Second)
	c.s.ExpireLeases(c.now)
	if len(c.s.suspectTasks) != 1 {
		t.Error("the task is not suspected once the lease of its endpoint has expired")
	}
}

// Guards against a task that crashes endpoints some time after its start, while later starts
// of other jobs are suspected in its place.
func TestLateCrashesCount(t *testing.T) {
	c := newCrashFleet(t, 6, func(task string) (time.Duration, bool) {
		return 500 * time.Millisecond, task == firstTask("crashing")
	})
	task := c.addJob("crashing", job.Step{Count: 1, CPU: 1000})
	for i := range 300 {
		c.addJob(fmt.Sprintf("j%d", i), job.Step{Count: 1, CPU: 1000})
		c.runFor(100 * time.Millisecond)
	}
	c.wantState("crashing", job.Failed)
	if n := c.crashed[task]; n > 4 {
		t.Errorf("%d endpoints crashed under the task, want at most 4", n)
	}
	c.runFor(10 * time.Second)
	for i := range 300 {
		c.wantState(fmt.Sprintf("j%d", i), job.Completed)
	}
}

// Guards against adding up the crashes of a long-running task over its whole run time.
func TestCrashesOfALongRunDoNotAddUp(t *testing.T) {
	c := newCrashFleet(t, 4, crashOnStart())
	c.runTime = time.Hour
	task := c.addJob("j", job.Step{Count: 1, CPU: 1000, LongRunning: true})
	for range 6 {
		c.runFor(crashWindow + restartTime + time.Second)
		c.wantState("j", job.Running)
		runs := c.s.taskByName(task).runs
		if len(runs) != 1 {
			t.Fatalf("%d runs, want 1", len(runs))
		}
		c.crash(c.instanceOf(runs[0].endpoint.ID))
	}
	c.runFor(crashWindow + restartTime + time.Second)
	c.wantState("j", job.Running)
}

// Guards against adding up crashes at the start of a long-running task between which it ran
// for long.
func TestCrashesBeforeALongRunAreForgotten(t *testing.T) {
	starts := 0
	c := newCrashFleet(t, 4, func(string) (time.Duration, bool) {
		starts++
		return crashStep, starts%2 == 1
	})
	c.runTime = time.Hour
	task := c.addJob("j", job.Step{Count: 1, CPU: 1000, LongRunning: true})
	for range 4 {
		c.runFor(3*restartTime + crashWindow)
		c.wantState("j", job.Running)
		runs := c.s.taskByName(task).runs
		if len(runs) != 1 {
			t.Fatalf("%d runs, want 1", len(runs))
		}
		c.crash(c.instanceOf(runs[0].endpoint.ID))
	}
	if starts < 7 {
		t.Errorf("%d starts, want two for each long run", starts)
	}
}

// Guards against a count that an owner takes with it: the loss is stored before it is known
// to be a crash, and the next owner counts it or drops it by what it finds out.
func TestCrashesCountAcrossOwners(t *testing.T) {
	for name, test := range map[string]struct {
		sameProcess bool
		want        int
	}{
		"replaced":    {false, 1},
		"unreachable": {true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "e1")
			f.s.AddJob(newRecord("j", job.Step{Count: 1, CPU: 1000}), f.now)
			f.planAndAccept()
			f.s.RecordDisconnected("e1", f.now)
			writes := f.confirmWrites()
			if len(writes) != 1 {
				t.Fatalf("%d writes of the loss, want 1", len(writes))
			}
			value, err := writes[0].Record.Encode()
			if err != nil {
				t.Fatal(err)
			}
			stored, err := job.Decode(value, 2)
			if err != nil {
				t.Fatal(err)
			}
			next := &Scheduler{Settings: testSettings}
			next.LoadJob(stored, f.now)
			next.AddInheritedEndpoint(Endpoint{ID: "e1", Pool: "p", Instance: "m1"}, f.now)
			if test.sameProcess {
				next.ApplyReport("e1", Report{SentAt: f.now, ReceivedAt: f.now, Incarnation: 1})
			} else {
				next.RecordTermination("e1", LossReplaced, f.now)
			}
			confirmed := 0
			for _, c := range next.taskByName(firstTask("j")).crashes {
				if c.Confirmed {
					confirmed++
				}
			}
			if confirmed != test.want {
				t.Errorf("%d confirmed crashes, want %d", confirmed, test.want)
			}
			next.RecordTermination("e1", LossReplaced, f.now)
			if n := len(next.taskByName(firstTask("j")).crashes); n != test.want {
				t.Errorf("%d crashes after the same replacement again, want %d", n, test.want)
			}
		})
	}
}

// Guards against an endpoint that restarts under its own identifier between two polls: the
// new incarnation is the only sign of the crash.
func TestRestartUnderTheSameIdentifierCounts(t *testing.T) {
	f := newFixture(t, "e1", "e2", "e3")
	f.s.AddJob(newRecord("j", job.Step{Count: 1, CPU: 1000}), f.now)
	for n := range int64(2) {
		starts := f.startOrders(f.planAndAccept())
		if len(starts) != 1 {
			t.Fatalf("orders %v, want one start", starts)
		}
		f.now = f.now.Add(10 * time.Millisecond)
		f.s.ApplyReport(starts[0].Endpoint, Report{SentAt: f.now, ReceivedAt: f.now, Incarnation: 2 + n})
	}
	f.confirmWrites()
	f.wantState("j", job.Failed)
}
