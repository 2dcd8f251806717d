package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// floodKind is a kind of job that arrives in a flood.
type floodKind struct {
	// millis is the mean duration of a task; the duration of a job's tasks is spread
	// around it, and each task's around that of its job.
	millis, jobSpread, taskSpread float64
	// estimateError is by how much the declared duration may be off.
	estimateError float64
	width, cpu    float64
	steps         float64
}

// Kinds of the deployments: short jobs whose declared durations say little, and
// longer ones whose declared durations hold.
var (
	shortJobs = floodKind{millis: 640, jobSpread: 0.5, taskSpread: 0.3, estimateError: 0.9, width: 8, cpu: 3100, steps: 1.6}
	longJobs  = floodKind{millis: 1700, jobSpread: 0.5, taskSpread: 0.15, estimateError: 0.2, width: 8, cpu: 6700, steps: 2}
)

// floodJob is a job of a flood with what it takes in truth.
type floodJob struct {
	record   job.Record
	arrives  time.Time
	aim      time.Duration
	work     float64
	duration [][]time.Duration
	shown    time.Time
}

// flood plays jobs on a pool: endpoints are looked at every 70 ms, and a job is
// shown as completed once its record is stored.
type flood struct {
	s         *Scheduler
	now       time.Time
	jobs      map[string]*floodJob
	running   map[string]map[string]floodRun
	ended     map[string][]Ending
	numbers   map[string]int64
	endpoints []string
}

type floodRun struct {
	listing Listing
	from    time.Time
	until   time.Time
}

func newFlood(endpoints int) *flood {
	f := &flood{
		s: &Scheduler{Settings: testSettings}, now: time.UnixMilli(1_700_000_000_000), jobs: make(map[string]*floodJob),
		running: make(map[string]map[string]floodRun), ended: make(map[string][]Ending), numbers: make(map[string]int64),
	}
	var listed []Endpoint
	for i := range endpoints {
		id := fmt.Sprintf("e%03d", i)
		f.endpoints = append(f.endpoints, id)
		f.running[id] = make(map[string]floodRun)
		listed = append(listed, Endpoint{ID: id, Pool: "p", Address: id, Capacity: Capacity{CPU: 32000, MemoryMB: 1 << 20}})
	}
	f.s.List(listed, f.now)
	for _, id := range f.endpoints {
		f.s.Report(id, Report{Sent: f.now, Arrived: f.now, Born: 1})
	}
	return f
}

// spread returns a factor around 1.
func spread(d *rand.Rand, by float64) float64 {
	return math.Exp(d.NormFloat64()*by - by*by/2)
}

func (f *flood) newJob(d *rand.Rand, k floodKind, arrives time.Time) *floodJob {
	id := fmt.Sprintf("%016x", len(f.jobs)+1)
	base := min(k.millis*spread(d, k.jobSpread), k.millis*2.5)
	j := &floodJob{arrives: arrives}
	chain := 0.0
	r := record(id, job.Step{})
	r.Steps = nil
	r.Accepted = arrives.UnixMilli()
	r.Objective = job.Objective{MaxAttempts: 3, Stretch: 1.6, TargetMillis: 600}
	for i := range max(1, int(math.Round(k.steps*spread(d, 0.4)))) {
		width := max(1, int(k.width*spread(d, 0.6)))
		cpu := int(min(k.cpu*spread(d, 0.45), 3*k.cpu))
		s := job.Step{
			Count: width, CPU: cpu, MemoryMB: 1000,
			EstimateMillis: int64(base * (1 + k.estimateError*(2*d.Float64()-1))),
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		r.Steps = append(r.Steps, s)
		var durations []time.Duration
		longest := 0.0
		for range width {
			millis := base * (1 + k.taskSpread*(2*d.Float64()-1))
			longest = max(longest, millis)
			j.work += millis * float64(cpu)
			durations = append(durations, time.Duration(millis)*time.Millisecond)
		}
		chain += longest
		j.duration = append(j.duration, durations)
	}
	j.aim = time.Duration(1.6*chain+600) * time.Millisecond
	j.record = r
	f.jobs[id] = j
	return j
}

// play runs the jobs until a time after the last one has arrived.
func (f *flood) play(arrivals []*floodJob, rest time.Duration) {
	f.playUntil(arrivals, arrivals[len(arrivals)-1].arrives.Add(rest))
}

// playUntil runs jobs until a time.
func (f *flood) playUntil(arrivals []*floodJob, end time.Time) {
	const tick = 10 * time.Millisecond
	const look = 7
	for n := 0; f.now.Before(end); n++ {
		f.now = f.now.Add(tick)
		for len(arrivals) > 0 && !arrivals[0].arrives.After(f.now) {
			f.s.Add(arrivals[0].record, f.now)
			arrivals = arrivals[1:]
		}
		for i, id := range f.endpoints {
			f.finish(id)
			if i%look == n%look {
				f.look(id)
			}
		}
		f.s.Expire(f.now)
		for _, o := range f.s.Plan(f.now, f.now) {
			f.order(o)
		}
		for _, w := range f.s.Writes(f.now, time.Second, 1000) {
			f.s.Stored(w.Record.ID, w.Version, w.Record.State)
			if w.Record.State == job.Completed && f.jobs[w.Record.ID].shown.IsZero() {
				f.jobs[w.Record.ID].shown = f.now
			}
		}
	}
}

func (f *flood) order(o Order) {
	switch o.Action {
	case Start:
		id, ref, err := job.ParseName(o.Task)
		if err != nil {
			panic(err)
		}
		f.running[o.Endpoint][o.Task] = floodRun{
			Listing{Task: o.Task, Run: o.Run}, f.now, f.now.Add(f.jobs[id].duration[ref.Step][ref.Index]),
		}
	case Stop:
		if r, runs := f.running[o.Endpoint][o.Task]; runs {
			f.end(o.Endpoint, r.listing, EndStopped)
		}
	case Pace:
	}
	f.s.Answered(o, Accepted, f.now)
}

func (f *flood) finish(id string) {
	for _, r := range f.running[id] {
		if !f.now.Before(r.until) {
			f.end(id, r.listing, EndDone)
		}
	}
}

func (f *flood) end(id string, l Listing, how End) {
	delete(f.running[id], l.Task)
	f.numbers[id]++
	f.ended[id] = append(f.ended[id], Ending{Number: f.numbers[id], Task: l.Task, Run: l.Run, How: how})
}

func (f *flood) look(id string) {
	r := Report{Sent: f.now.Add(-5 * time.Millisecond), Arrived: f.now, Born: 1, Ended: f.ended[id]}
	for _, v := range f.running[id] {
		v.listing.Percent = int(100 * f.now.Sub(v.from) / v.until.Sub(v.from))
		r.Running = append(r.Running, v.listing)
	}
	f.s.Report(id, r)
	f.ended[id] = nil
}

// worth returns the worth that the jobs earned and could earn: 0.3 and 0.7 for
// their work against the mean, a fourteenth of it when they are late.
func (f *flood) worth() (share, inAim float64) {
	mean := 0.0
	for _, j := range f.jobs {
		mean += j.work / float64(len(f.jobs))
	}
	earned, owed, good := 0.0, 0.0, 0.0
	for _, j := range f.jobs {
		worth := min(4, 0.3+0.7*j.work/mean)
		owed += worth
		took := j.shown.Sub(j.arrives)
		switch {
		case j.shown.IsZero() || took > 3*j.aim:
		case took > j.aim:
			earned += worth / 14
		default:
			good++
			earned += worth
		}
	}
	return earned / owed, good / float64(len(f.jobs))
}

// playFlood plays a calm start, in which durations can be learned, and then a
// flood of so many times the pool's capacity for some seconds.
func playFlood(seed uint64, k floodKind, endpoints int, load, seconds float64) (share, inAim float64) {
	d := rand.New(rand.NewPCG(seed, 1))
	f := newFlood(endpoints)
	perJob := k.millis / 1000 * k.cpu * k.width * k.steps
	full := float64(endpoints) * 32000 / perJob
	var arrivals []*floodJob
	at := f.now
	for at.Before(f.now.Add(time.Duration((4 + seconds) * float64(time.Second)))) {
		rate := full * 0.3
		if at.Sub(f.now) > 4*time.Second {
			rate = full * load
		}
		at = at.Add(time.Duration(d.ExpFloat64() / rate * float64(time.Second)))
		arrivals = append(arrivals, f.newJob(d, k, at))
	}
	f.play(arrivals, 20*time.Second)
	return f.worth()
}

// Guards the order of a queue in a flood of four times the pool's capacity: jobs in
// time with little work left go first. The pool can do a third of the work before
// the last job is late (4 s and a mean slack of 1.3 s of 16 s of work), and at least
// that share of the jobs has to be in time; in the order of arrival nearly all jobs
// end just too late.
func TestAFloodIsServedInTime(t *testing.T) {
	const load, seconds, slack = 4, 4, 1.3
	least := (seconds + slack) / (load * seconds)
	for _, k := range []floodKind{shortJobs, longJobs} {
		for seed := range uint64(2) {
			share, inAim := playFlood(seed, k, 60, load, seconds)
			t.Logf("tasks of %.0f ms, seed %d: %.3f of the worth, %.3f of the jobs in time", k.millis, seed, share, inAim)
			if inAim < least {
				t.Errorf("tasks of %.0f ms, seed %d: %.3f of the jobs in time, want %.3f", k.millis, seed, inAim, least)
			}
		}
	}
}
