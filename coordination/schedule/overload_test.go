package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// classOfJobs is a class of callers that send part of the work of a burst.
type classOfJobs struct {
	name    string
	profile jobProfile
	part    float64
}

// served counts the jobs of a class in a burst.
type served struct {
	jobs, inTime, ofUse, begunInVain int
}

// overload is a burst of load times the capacity of a pool, to which some instances are added
// each second from a second after its beginning.
type overload struct {
	name          string
	classes       []classOfJobs
	load, seconds float64
	added         int
}

// simulate simulates 4 s of low load, the burst, and 20 s in which the pool drains.
func (o overload) simulate(seed uint64) (classes []served, all served) {
	const endpoints, quiet, quietLoad = 30, 4.0, 0.3
	rng := rand.New(rand.NewPCG(seed, 1))
	sim := newSimulation(endpoints)
	start := sim.now
	var arrivals []*simulatedJob
	classOf := make(map[string]int)
	next := make([]float64, len(o.classes))
	for {
		i := 0
		for k := range next {
			if next[k] < next[i] {
				i = k
			}
		}
		c, load := o.classes[i], quietLoad
		if next[i] >= quiet {
			load = o.load
		}
		work := c.profile.meanMillis / 1000 * c.profile.cpu * c.profile.width * c.profile.steps
		next[i] += rng.ExpFloat64() * work / (load * c.part * endpoints * 32000)
		if next[i] >= quiet+o.seconds {
			break
		}
		j := sim.newJob(rng, c.profile, start.Add(time.Duration(next[i]*float64(time.Second))))
		j.record.Queue = c.name
		classOf[j.record.ID] = i
		arrivals = append(arrivals, j)
	}
	begun := make(map[string]bool)
	sim.onOrder = func(ordered Order) { begun[ordered.Job] = begun[ordered.Job] || ordered.Action == Start }
	sim.onTick = append(sim.onTick, func() {
		sim.grow(endpoints, o.added, start.Add(5*time.Second), start.Add(time.Duration((quiet+o.seconds)*float64(time.Second))))
	})
	sim.runWithTail(arrivals, 20*time.Second)
	classes = make([]served, len(o.classes))
	for _, j := range arrivals {
		if j.arrivesAt.Before(start.Add(4 * time.Second)) {
			continue
		}
		elapsed := j.completedAt.Sub(j.arrivesAt)
		inTime := !j.completedAt.IsZero() && elapsed <= j.objective
		ofUse := !j.completedAt.IsZero() && elapsed <= tooLateFactor*j.objective
		classes[classOf[j.record.ID]].count(inTime, ofUse, begun[j.record.ID])
		all.count(inTime, ofUse, begun[j.record.ID])
	}
	return classes, all
}

func (s *served) count(inTime, ofUse, begun bool) {
	s.jobs++
	switch {
	case inTime:
		s.inTime++
		s.ofUse++
	case ofUse:
		s.ofUse++
		s.begunInVain++
	case begun:
		s.begunInVain++
	}
}

// grow adds endpoints for each second since a time, until another.
func (sim *simulation) grow(first, added int, from, until time.Time) {
	at := sim.now
	if at.After(until) {
		at = until
	}
	n := max(first, first+added*int(at.Sub(from)/time.Second))
	if n == len(sim.endpoints) {
		return
	}
	var listed []Endpoint
	for i := range n {
		id := fmt.Sprintf("e%03d", i)
		if i >= len(sim.endpoints) {
			sim.endpoints = append(sim.endpoints, id)
			sim.running[id] = make(map[string]simulatedRun)
		}
		listed = append(listed, Endpoint{ID: id, Pool: "p", Address: id, Capacity: Capacity{CPU: 32000, MemoryMB: 1 << 20}})
	}
	sim.s.SetEndpoints(listed, sim.now)
	for _, id := range sim.endpoints {
		sim.poll(id)
	}
}

// Guards against an order in which jobs are late that a pool could serve in time, in bursts of
// up to three times the capacity, in pools that grow, and where declared run times are off by
// up to 0.9. The bounds are the work that the pool can do until the last job is late, as part
// of the work of the burst, and at most 0.99; of each class a third of the jobs has to be of use.
func TestOverloadIsServedInTime(t *testing.T) {
	short := jobProfile{meanMillis: 1000, jobSpread: 0.5, taskSpread: 0.15, estimateError: 0.9, width: 8, cpu: 3100, steps: 1.6}
	long := jobProfile{meanMillis: 1700, jobSpread: 0.5, taskSpread: 0.15, estimateError: 0.2, width: 8, cpu: 6500, steps: 2}
	wide := jobProfile{meanMillis: 900, jobSpread: 0.3, taskSpread: 0.3, estimateError: 0.9, width: 32, cpu: 3100, steps: 1}
	for _, c := range []struct {
		overload
		// instanceSeconds is what the pool has until the end of the burst, and slack the mean
		// time that a job may wait.
		instanceSeconds, slack float64
	}{
		{overload{"short jobs", []classOfJobs{{"short", short, 1}}, 3, 7, 0}, 7 * 30, 1.6},
		{overload{"long jobs", []classOfJobs{{"long", long, 1}}, 3, 7, 0}, 7 * 30, 2.6},
		{overload{"a little more than the pool does", []classOfJobs{{"short", short, 1}}, 1.2, 7, 0}, 7 * 30, 1.6},
		{overload{"a pool that grows", []classOfJobs{{"short", short, 1}}, 4, 5, 20}, 30 + 30 + 50 + 70 + 90, 1.6},
		{overload{"three classes", []classOfJobs{{"short", short, 0.5}, {"long", long, 0.3}, {"wide", wide, 0.2}}, 3, 7, 0}, 7 * 30, 1.6},
	} {
		var sums served
		byClass := make([]served, len(c.classes))
		for seed := range uint64(2) {
			classes, all := c.simulate(seed)
			for i := range classes {
				byClass[i].add(classes[i])
			}
			sums.add(all)
		}
		t.Logf("%s: %+v, by class %+v", c.name, sums, byClass)
		want := min(0.99, (c.instanceSeconds+c.slack*30)/(c.load*c.seconds*30))
		if inTime := float64(sums.inTime) / float64(sums.jobs); inTime < want {
			t.Errorf("%s: %.3f of the jobs in time, want %.3f", c.name, inTime, want)
		}
		for i, s := range byClass {
			if 3*s.ofUse < s.jobs {
				t.Errorf("%s: %d of %d %s jobs were of use", c.name, s.ofUse, s.jobs, c.classes[i].name)
			}
		}
	}
}

func (s *served) add(o served) {
	s.jobs, s.inTime, s.ofUse, s.begunInVain = s.jobs+o.jobs, s.inTime+o.inTime, s.ofUse+o.ofUse, s.begunInVain+o.begunInVain
}
