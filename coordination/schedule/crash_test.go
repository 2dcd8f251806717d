package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// Times of the simulated endpoints of crashFleet.
const (
	crashStep      = 10 * time.Millisecond
	reportInterval = 50 * time.Millisecond
	restartTime    = 3300 * time.Millisecond
)

// crashFleet simulates instances whose endpoints crash and come back with another
// identifier. It starts every task that is ordered and ends it after its run time.
type crashFleet struct {
	*fixture
	// crashes reports whether the start of a task crashes its endpoint, and after what time.
	crashes func(task string) (after time.Duration, crash bool)
	// loseAnswers makes a crash end the connection before the start is answered.
	loseAnswers bool
	runTime     time.Duration

	instances []*simulatedInstance
	endsAt    map[string]time.Time
	crashesAt map[string]time.Time
	// crashed counts the crashes under each task.
	crashed map[string]int
	starts  int
}

// simulatedInstance is an instance with its present endpoint; downUntil is zero while the
// endpoint is up.
type simulatedInstance struct {
	name, endpoint string
	downUntil      time.Time
	reportedAt     time.Time
}

func newCrashFleet(t *testing.T, instances int, crashes func(task string) (after time.Duration, crash bool)) *crashFleet {
	t.Helper()
	c := &crashFleet{
		fixture: newFixture(t), crashes: crashes, runTime: 600 * time.Millisecond,
		endsAt: make(map[string]time.Time), crashesAt: make(map[string]time.Time), crashed: make(map[string]int),
	}
	for i := range instances {
		c.instances = append(c.instances, &simulatedInstance{name: fmt.Sprintf("m%d", i)})
	}
	for _, i := range c.instances {
		c.startEndpoint(i)
	}
	return c
}

// crashOnStart lists the tasks that crash their endpoints shortly after their start.
func crashOnStart(tasks ...string) func(string) (time.Duration, bool) {
	return func(task string) (time.Duration, bool) {
		for _, t := range tasks {
			if t == task {
				return crashStep, true
			}
		}
		return 0, false
	}
}

// startEndpoint gives an instance a new endpoint and lists it.
func (c *crashFleet) startEndpoint(i *simulatedInstance) {
	previous := i.endpoint
	c.starts++
	i.endpoint, i.downUntil = fmt.Sprintf("e%d", c.starts), time.Time{}
	c.running[i.endpoint] = make(map[string]ListedRun)
	var listed []Endpoint
	for _, o := range c.instances {
		if o.endpoint != "" && o.downUntil.IsZero() {
			listed = append(listed, Endpoint{ID: o.endpoint, Pool: "p", Address: o.name, Instance: o.name, Capacity: testCapacity})
		}
	}
	if previous != "" {
		c.s.RecordTermination(previous, LossReplaced, c.now)
	}
	c.s.SetEndpoints(listed, c.now)
	c.report(i)
}

func (c *crashFleet) report(i *simulatedInstance) {
	i.reportedAt = c.now
	r := Report{SentAt: c.now.Add(-time.Millisecond), ReceivedAt: c.now, Incarnation: int64(c.starts)}
	if e := c.s.endpoints[i.endpoint]; e != nil && e.incarnation != 0 {
		r.Incarnation = e.incarnation
	}
	for _, l := range c.running[i.endpoint] {
		r.Running = append(r.Running, l)
	}
	r.Ended = append(r.Ended, c.ended[i.endpoint]...)
	c.s.ApplyReport(i.endpoint, r)
}

// crash ends the endpoint of an instance for restartTime.
func (c *crashFleet) crash(i *simulatedInstance) {
	for task := range c.running[i.endpoint] {
		c.crashed[task]++
		delete(c.endsAt, task)
		delete(c.crashesAt, task)
	}
	c.running[i.endpoint] = make(map[string]ListedRun)
	i.downUntil = c.now.Add(restartTime)
	c.s.RecordDisconnected(i.endpoint, c.now)
}

// planOne returns the only start of a plan and its instance.
func (c *crashFleet) planOne() (start Order, i *simulatedInstance) {
	c.t.Helper()
	starts := c.startOrders(c.s.Plan(c.now, c.now))
	if len(starts) != 1 {
		c.t.Fatalf("orders %v, want one start", starts)
	}
	return starts[0], c.instanceOf(starts[0].Endpoint)
}

// restart gives an instance another endpoint after restartTime.
func (c *crashFleet) restart(i *simulatedInstance) {
	c.now = c.now.Add(restartTime)
	c.startEndpoint(i)
}

func (c *crashFleet) instanceOf(endpoint string) *simulatedInstance {
	for _, i := range c.instances {
		if i.endpoint == endpoint && i.downUntil.IsZero() {
			return i
		}
	}
	return nil
}

// step simulates crashStep: crashes, ends, reports, orders and stored records.
func (c *crashFleet) step() {
	c.now = c.now.Add(crashStep)
	for _, i := range c.instances {
		c.stepInstance(i)
	}
	c.s.ExpireLeases(c.now)
	for _, o := range c.s.Plan(c.now, c.now) {
		i := c.instanceOf(o.Endpoint)
		if i == nil {
			c.s.RecordOrderResult(o, Unknown, c.now)
			continue
		}
		c.execute(o)
		answer := Accepted
		if o.Action == Start {
			c.s.ExtendLease(o.Endpoint, c.now)
			c.endsAt[o.Task] = c.now.Add(c.runTime)
			if after, crash := c.crashes(o.Task); crash {
				c.crashesAt[o.Task] = c.now.Add(after)
				if c.loseAnswers {
					answer = Disconnected
				}
			}
		}
		c.s.RecordOrderResult(o, answer, c.now)
	}
	c.confirmWrites()
}

func (c *crashFleet) stepInstance(i *simulatedInstance) {
	if !i.downUntil.IsZero() {
		if !c.now.Before(i.downUntil) {
			c.startEndpoint(i)
		}
		return
	}
	for task := range c.running[i.endpoint] {
		if at, crash := c.crashesAt[task]; crash && !c.now.Before(at) {
			c.crash(i)
			return
		}
		if !c.now.Before(c.endsAt[task]) {
			c.endRun(i.endpoint, task, EndDone)
		}
	}
	if c.now.Sub(i.reportedAt) >= reportInterval {
		c.s.ExtendLease(i.endpoint, c.now)
		c.report(i)
	}
}

// runFor simulates a duration.
func (c *crashFleet) runFor(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.step()
	}
}

// addJob adds a job with one step and returns the name of its first task.
func (c *crashFleet) addJob(id string, s job.Step) string {
	r := newRecord(id, s)
	r.AcceptedAt = c.now.UnixMilli()
	c.s.AddJob(r, c.now)
	return firstTask(id)
}

// Guards against a task that crashes one endpoint after the other: lost runs were not
// counted, so that it was started again for as long as its job lived. Guards also against a crash
// that is not counted because the answer to the start was lost with the endpoint, and against a
// third start while two losses under a task wait for proof: the crashes of a task whose copies run
// at the same time are proved one after the other.
func TestTaskThatCrashesEndpointsIsGivenUp(t *testing.T) {
	for name, test := range map[string]struct {
		step        job.Step
		loseAnswers bool
		// seconds are simulated; the job has to have failed after 20.
		seconds, least, most int
	}{
		"plain":       {step: job.Step{Count: 1}, seconds: 20, least: 2, most: 3},
		"siblings":    {step: job.Step{Count: 6}, seconds: 20, least: 2, most: 3},
		"duplicates":  {step: job.Step{Count: 1, AllowDuplicates: true}, seconds: 20, least: 2, most: 3},
		"gang":        {step: job.Step{Count: 3, Gang: true}, seconds: 20, least: 2, most: 3},
		"longRunning": {step: job.Step{Count: 2, LongRunning: true}, seconds: 20, least: 2, most: 3},
		"lostAnswers": {step: job.Step{Count: 1, AllowDuplicates: true}, loseAnswers: true, seconds: 20, most: 5},
		"proofs":      {step: job.Step{Count: 1, AllowDuplicates: true}, seconds: 10, least: 2, most: 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashFleet(t, 8, crashOnStart(firstTask("crashing")))
			c.loseAnswers = test.loseAnswers
			test.step.CPU = 1000
			task := c.addJob("crashing", test.step)
			c.runFor(time.Duration(test.seconds) * time.Second)
			if test.seconds >= 20 {
				c.wantState("crashing", job.Failed)
			}
			if n := c.crashed[task]; n < test.least || n > test.most {
				t.Errorf("%d endpoints crashed under the task, want %d to %d", n, test.least, test.most)
			}
		})
	}
}
