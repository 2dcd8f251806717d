package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// jobProfile describes the distribution of jobs in a burst.
type jobProfile struct {
	// meanMillis is the mean duration of a task. jobSpread is the spread of the
	// durations of jobs around it, and taskSpread that of the tasks around the
	// duration of their job.
	meanMillis, jobSpread, taskSpread float64
	// estimateError is the largest relative error of the declared duration.
	estimateError float64
	width, cpu    float64
	steps         float64
	// longShare is the share of jobs whose tasks take seven times as long.
	longShare float64
}

// Job profiles of the deployments: short jobs with unreliable declared durations,
// and longer jobs with accurate ones.
var (
	shortJobs = jobProfile{meanMillis: 640, jobSpread: 0.5, taskSpread: 0.3, estimateError: 0.9, width: 8, cpu: 3100, steps: 1.6}
	longJobs  = jobProfile{meanMillis: 1700, jobSpread: 0.5, taskSpread: 0.15, estimateError: 0.2, width: 8, cpu: 6700, steps: 2}
)

// simulatedJob is a job with the actual durations of its tasks.
type simulatedJob struct {
	record      job.Record
	arrivesAt   time.Time
	objective   time.Duration
	work        float64
	durations   [][]time.Duration
	completedAt time.Time
}

// simulation runs jobs on one pool. Each endpoint is polled every 70 ms, and a job
// completes once its record is stored.
type simulation struct {
	s         *Scheduler
	now       time.Time
	jobs      map[string]*simulatedJob
	running   map[string]map[string]simulatedRun
	ended     map[string][]EndedRun
	numbers   map[string]int64
	endpoints []string
	// onOrder, if set, is called with each order, and each of onTick before each plan.
	onOrder func(Order)
	onTick  []func()
	// slowness, if set, is how many times as long runs take that start on an endpoint.
	slowness func(endpoint string) float64
}

type simulatedRun struct {
	listing   ListedRun
	startedAt time.Time
	endsAt    time.Time
}

func newSimulation(endpoints int) *simulation {
	sim := &simulation{
		s: &Scheduler{Settings: testSettings}, now: time.UnixMilli(1_700_000_000_000), jobs: make(map[string]*simulatedJob),
		running: make(map[string]map[string]simulatedRun), ended: make(map[string][]EndedRun), numbers: make(map[string]int64),
	}
	var listed []Endpoint
	for i := range endpoints {
		id := fmt.Sprintf("e%03d", i)
		sim.endpoints = append(sim.endpoints, id)
		sim.running[id] = make(map[string]simulatedRun)
		listed = append(listed, Endpoint{ID: id, Pool: "p", Address: id, Capacity: Capacity{CPU: 32000, MemoryMB: 1 << 20}})
	}
	sim.s.SetEndpoints(listed, sim.now)
	for _, id := range sim.endpoints {
		sim.s.ApplyReport(id, Report{SentAt: sim.now, ReceivedAt: sim.now, Incarnation: 1})
	}
	return sim
}

// lognormalFactor returns a log-normally distributed factor with mean 1.
func lognormalFactor(rng *rand.Rand, sigma float64) float64 {
	return math.Exp(rng.NormFloat64()*sigma - sigma*sigma/2)
}

func (sim *simulation) newJob(rng *rand.Rand, profile jobProfile, arrivesAt time.Time) *simulatedJob {
	id := fmt.Sprintf("%016x", len(sim.jobs)+1)
	base := min(profile.meanMillis*lognormalFactor(rng, profile.jobSpread), profile.meanMillis*2.5)
	if profile.longShare > 0 && rng.Float64() < profile.longShare {
		base *= 7
	}
	j := &simulatedJob{arrivesAt: arrivesAt}
	chain := 0.0
	r := newRecord(id, job.Step{})
	r.Steps = nil
	r.AcceptedAt = arrivesAt.UnixMilli()
	r.Objective = job.Objective{MaxAttempts: 3, Stretch: 1.6, TargetMillis: 600}
	for i := range max(1, int(math.Round(profile.steps*lognormalFactor(rng, 0.4)))) {
		width := max(1, int(profile.width*lognormalFactor(rng, 0.6)))
		cpu := int(min(profile.cpu*lognormalFactor(rng, 0.45), 3*profile.cpu))
		s := job.Step{
			Count: width, CPU: cpu, MemoryMB: 1000,
			EstimateMillis: int64(base * (1 + profile.estimateError*(2*rng.Float64()-1))),
		}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		r.Steps = append(r.Steps, s)
		var durations []time.Duration
		longest := 0.0
		for range width {
			millis := base * (1 + profile.taskSpread*(2*rng.Float64()-1))
			longest = max(longest, millis)
			j.work += millis * float64(cpu)
			durations = append(durations, time.Duration(millis)*time.Millisecond)
		}
		chain += longest
		j.durations = append(j.durations, durations)
	}
	j.objective = time.Duration(1.6*chain+600) * time.Millisecond
	j.record = r
	sim.jobs[id] = j
	return j
}

// runWithTail simulates jobs until a time after the arrival of the last one.
func (sim *simulation) runWithTail(arrivals []*simulatedJob, tail time.Duration) {
	sim.runUntil(arrivals, arrivals[len(arrivals)-1].arrivesAt.Add(tail))
}

// runUntil simulates jobs until a time.
func (sim *simulation) runUntil(arrivals []*simulatedJob, end time.Time) {
	const tick = 10 * time.Millisecond
	const pollTicks = 7
	for n := 0; sim.now.Before(end); n++ {
		sim.now = sim.now.Add(tick)
		for len(arrivals) > 0 && !arrivals[0].arrivesAt.After(sim.now) {
			sim.s.AddJob(arrivals[0].record, sim.now)
			arrivals = arrivals[1:]
		}
		for i, id := range sim.endpoints {
			sim.endDueRuns(id)
			if i%pollTicks == n%pollTicks {
				sim.poll(id)
			}
		}
		for _, f := range sim.onTick {
			f()
		}
		sim.s.ExpireLeases(sim.now)
		for _, o := range sim.s.Plan(sim.now, sim.now) {
			sim.execute(o)
		}
		for _, w := range sim.s.Writes(sim.now, time.Second, 1000) {
			sim.s.ConfirmWrite(w, 1)
			if w.Record.State == job.Completed && sim.jobs[w.Record.ID].completedAt.IsZero() {
				sim.jobs[w.Record.ID].completedAt = sim.now
			}
		}
	}
}

func (sim *simulation) execute(o Order) {
	if sim.onOrder != nil {
		sim.onOrder(o)
	}
	switch o.Action {
	case Start:
		id, ref, err := job.ParseTaskName(o.Task)
		if err != nil {
			panic(err)
		}
		took := sim.jobs[id].durations[ref.Step][ref.Index]
		if sim.slowness != nil {
			took = time.Duration(float64(took) * sim.slowness(o.Endpoint))
		}
		sim.running[o.Endpoint][o.Task] = simulatedRun{ListedRun{Task: o.Task, Run: o.Run}, sim.now, sim.now.Add(took)}
	case Stop:
		if r, runs := sim.running[o.Endpoint][o.Task]; runs {
			sim.endRun(o.Endpoint, r.listing, EndStopped)
		}
	case Pace:
	}
	sim.s.RecordOrderResult(o, Accepted, sim.now)
}

func (sim *simulation) endDueRuns(id string) {
	for _, name := range sortedKeys(sim.running[id]) {
		r := sim.running[id][name]
		if !sim.now.Before(r.endsAt) {
			sim.endRun(id, r.listing, EndDone)
		}
	}
}

func (sim *simulation) endRun(id string, l ListedRun, how EndReason) {
	delete(sim.running[id], l.Task)
	sim.numbers[id]++
	sim.ended[id] = append(sim.ended[id], EndedRun{Number: sim.numbers[id], Task: l.Task, Run: l.Run, Reason: how})
}

func (sim *simulation) poll(id string) {
	r := Report{SentAt: sim.now.Add(-5 * time.Millisecond), ReceivedAt: sim.now, Incarnation: 1, Ended: sim.ended[id]}
	for _, name := range sortedKeys(sim.running[id]) {
		v := sim.running[id][name]
		v.listing.Percent = int(100 * sim.now.Sub(v.startedAt) / v.endsAt.Sub(v.startedAt))
		r.Running = append(r.Running, v.listing)
	}
	sim.s.ApplyReport(id, r)
	sim.ended[id] = nil
}

// score returns the share of the possible value that the jobs earned, and the share
// of jobs that met their objective. A job is worth 0.3 plus 0.7 times its work
// relative to the mean, at most 4; a late one earns a fourteenth of that, and
// nothing after three times its objective.
func (sim *simulation) score() (earnedShare, onTimeShare float64) {
	mean := 0.0
	for _, j := range sim.jobs {
		mean += j.work / float64(len(sim.jobs))
	}
	earned, possible, onTime := 0.0, 0.0, 0.0
	for _, j := range sim.jobs {
		value := min(4, 0.3+0.7*j.work/mean)
		possible += value
		elapsed := j.completedAt.Sub(j.arrivesAt)
		switch {
		case j.completedAt.IsZero() || elapsed > 3*j.objective:
		case elapsed > j.objective:
			earned += value / 14
		default:
			onTime++
			earned += value
		}
	}
	return earned / possible, onTime / float64(len(sim.jobs))
}

// simulateBurst simulates 4 s of low load, in which durations can be learned, and
// then a burst of load times the capacity of the pool.
func simulateBurst(seed uint64, profile jobProfile, endpoints int, load, seconds float64) (earnedShare, onTimeShare float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	sim := newSimulation(endpoints)
	workPerJob := profile.meanMillis / 1000 * profile.cpu * profile.width * profile.steps
	fullRate := float64(endpoints) * 32000 / workPerJob
	var arrivals []*simulatedJob
	at := sim.now
	for at.Before(sim.now.Add(time.Duration((4 + seconds) * float64(time.Second)))) {
		rate := fullRate * 0.3
		if at.Sub(sim.now) > 4*time.Second {
			rate = fullRate * load
		}
		at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		arrivals = append(arrivals, sim.newJob(rng, profile, at))
	}
	sim.runWithTail(arrivals, 20*time.Second)
	return sim.score()
}

// Guards against a queue order that makes most jobs late in a burst of four times
// the pool's capacity: jobs that can meet their objective with little work left have
// to go first. Until the last job is late, the pool can do a third of the work (4 s
// and a mean slack of 1.3 s, of 16 s of work), and at least that share of the jobs
// has to be in time. In the order of arrival, nearly all jobs end just too late.
func TestBurstIsServedInTime(t *testing.T) {
	const load, seconds, slack = 4, 4, 1.3
	minOnTimeShare := (seconds + slack) / (load * seconds)
	for _, profile := range []jobProfile{shortJobs, longJobs} {
		for seed := range uint64(2) {
			earnedShare, onTimeShare := simulateBurst(seed, profile, 60, load, seconds)
			t.Logf("tasks of %.0f ms, seed %d: %.3f of the value, %.3f of the jobs in time", profile.meanMillis, seed, earnedShare, onTimeShare)
			if onTimeShare < minOnTimeShare {
				t.Errorf("tasks of %.0f ms, seed %d: %.3f of the jobs in time, want at least %.3f", profile.meanMillis, seed, onTimeShare, minOnTimeShare)
			}
		}
	}
}
