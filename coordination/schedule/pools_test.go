package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// multiPoolSimulation simulates bursts in several pools, on instances that move
// between these pools and a spare pool.
type multiPoolSimulation struct {
	*simulation
	pools []string
	// pool is the pool that each instance is in or moving to. endpoint is its
	// endpoint while it is up in a pool.
	pool, endpoint map[string]string
	// arrivesAt is the time at which a moving instance is up again.
	arrivesAt map[string]time.Time
	// capacity is the capacity of each endpoint.
	capacity         Capacity
	names            []string
	endpointsCreated int
	// moves counts the moves; poolSeconds is the total time that instances spent in
	// pools other than the spare pool.
	moves       int
	poolSeconds float64
}

const (
	// moveDuration is the time from the order of a move to the first poll of the new
	// endpoint.
	moveDuration = 2 * time.Second
)

// newMultiPoolSimulation returns a simulation with instancesPerPool instances in
// each pool.
func newMultiPoolSimulation(pools []string, instancesPerPool int) *multiPoolSimulation {
	sim := &multiPoolSimulation{
		simulation: newSimulation(0), pools: pools, pool: make(map[string]string), endpoint: make(map[string]string), arrivesAt: make(map[string]time.Time),
		capacity: Capacity{CPU: 32000, MemoryMB: 1 << 20},
	}
	for i := range instancesPerPool * len(pools) {
		name := fmt.Sprintf("m%03d", i)
		sim.names = append(sim.names, name)
		sim.startInstance(name, pools[i%len(pools)])
	}
	sim.listEndpoints()
	return sim
}

// startInstance starts an instance in a pool.
func (sim *multiPoolSimulation) startInstance(name, pool string) {
	sim.pool[name] = pool
	delete(sim.arrivesAt, name)
	if pool == "spare" {
		return
	}
	sim.endpointsCreated++
	id := fmt.Sprintf("%s-%d", name, sim.endpointsCreated)
	sim.endpoint[name] = id
	sim.running[id] = make(map[string]simulatedRun)
	sim.endpoints = append(sim.endpoints, id)
}

// listEndpoints passes the endpoints that are up to the scheduler.
func (sim *multiPoolSimulation) listEndpoints() {
	var listed []Endpoint
	for _, name := range sim.names {
		if id := sim.endpoint[name]; id != "" {
			listed = append(listed, Endpoint{ID: id, Pool: sim.pool[name], Capacity: sim.capacity, Instance: name})
		}
	}
	sim.s.SetEndpoints(listed, sim.now)
}

// planMoves carries out the moves that are due. It is called every 250 ms, as the
// owner calls PlanMoves.
func (sim *multiPoolSimulation) planMoves() {
	var observed []InstanceObservation
	incoming := make(map[string]int)
	for _, name := range sim.names {
		if until, moving := sim.arrivesAt[name]; moving {
			if sim.now.Before(until) {
				incoming[sim.pool[name]]++
				continue
			}
			sim.startInstance(name, sim.pool[name])
		}
		observed = append(observed, InstanceObservation{Name: name, Pool: sim.pool[name], Endpoint: sim.endpoint[name], Up: true})
	}
	sim.listEndpoints()
	for _, m := range sim.s.PlanMoves(observed, sim.pools, "spare", incoming, sim.now) {
		sim.moves++
		sim.s.RecordTermination(m.Endpoint, LossReleased, sim.now)
		delete(sim.running, m.Endpoint)
		delete(sim.endpoint, m.Instance)
		for i, id := range sim.endpoints {
			if id == m.Endpoint {
				sim.endpoints = append(sim.endpoints[:i], sim.endpoints[i+1:]...)
				break
			}
		}
		sim.pool[m.Instance], sim.arrivesAt[m.Instance] = m.To, sim.now.Add(moveDuration)
		if m.To == "spare" {
			sim.arrivesAt[m.Instance] = sim.now
		}
	}
	sim.listEndpoints()
	for _, p := range sim.pool {
		if p != "spare" {
			sim.poolSeconds += 0.25
		}
	}
}

// burst is the demand of a pool: a half sine wave above a base load of a hundredth
// of the peak.
type burst struct {
	pool        string
	profile     jobProfile
	startSecond float64
	// peak is the highest number of jobs per second; the burst lasts for seconds.
	peak, seconds float64
}

// simulateBursts simulates bursts and returns the results of score.
func simulateBursts(seed uint64, bursts []burst, instancesPerPool int) (earnedShare, onTimeShare float64, sim *multiPoolSimulation) {
	rng := rand.New(rand.NewPCG(seed, 1))
	pools := make([]string, 0, len(bursts))
	for _, t := range bursts {
		pools = append(pools, t.pool)
	}
	sim = newMultiPoolSimulation(pools, instancesPerPool)
	start := sim.now.Add(10 * time.Second)
	var arrivals []*simulatedJob
	end := 0.0
	for _, t := range bursts {
		end = max(end, t.startSecond+t.seconds)
	}
	for at := 0.0; at < end+10; at += 0.01 {
		for _, t := range bursts {
			rate := t.peak / 100
			if at >= t.startSecond && at < t.startSecond+t.seconds {
				rate = max(rate, t.peak*math.Sin(math.Pi*(at-t.startSecond)/t.seconds))
			}
			if at < end && rng.Float64() < rate*0.01 {
				j := sim.newJob(rng, t.profile, start.Add(time.Duration(at*float64(time.Second))))
				j.record.Pool, j.record.Queue = t.pool, t.pool
				arrivals = append(arrivals, j)
			}
		}
	}
	for sim.now.Before(start.Add(time.Duration((end + 10) * float64(time.Second)))) {
		sim.planMoves()
		until := sim.now.Add(250 * time.Millisecond)
		due := 0
		for due < len(arrivals) && arrivals[due].arrivesAt.Before(until) {
			due++
		}
		sim.runUntil(arrivals[:due], until)
		arrivals = arrivals[due:]
	}
	earnedShare, onTimeShare = sim.score()
	return earnedShare, onTimeShare, sim
}

// fleets returns two fleet sizes with bursts in four pools, each of which takes
// about half of all instances at its peak.
func fleets() map[string]struct {
	bursts           []burst
	instancesPerPool int
} {
	scaledBursts := func(scale float64) []burst {
		short, long := shortJobs, longJobs
		short.width, short.cpu, long.cpu = 6, 1800, 3800
		return []burst{
			{"a", short, -4, 46 * scale, 12}, {"b", long, 7, 8 * scale, 9}, {"c", long, 16, 8 * scale, 9}, {"d", short, 25, 62 * scale, 9},
		}
	}
	return map[string]struct {
		bursts           []burst
		instancesPerPool int
	}{"48 instances": {scaledBursts(1), 12}, "336 instances": {scaledBursts(7), 84}}
}

// Guards against pools that grow too late in a burst. A job can wait about 1.3 s and
// a move takes 2 s, so that a pool that only follows the arrived work is late by
// 0.7 s of the peak rate, an eighth of a burst of 9 s. With the forecast, less than
// half of that may be late. The first burst has begun when the first jobs arrive.
func TestStaggeredBurstsAreServedInTime(t *testing.T) {
	const minOnTimeShare = 1 - 0.12/2
	for name, f := range fleets() {
		for seed := range uint64(2) {
			earnedShare, onTimeShare, sim := simulateBursts(seed, f.bursts, f.instancesPerPool)
			t.Logf("%s, seed %d: %.3f of the value, %.3f of the jobs in time, %d moves, %.0f instance-seconds in pools", name, seed, earnedShare, onTimeShare, sim.moves, sim.poolSeconds)
			if onTimeShare < minOnTimeShare {
				t.Errorf("%s, seed %d: %.3f of the jobs in time, want %.3f", name, seed, onTimeShare, minOnTimeShare)
			}
		}
	}
}

// Guards against pools that keep instances that they don't need. With a demand of a
// hundredth of a burst, three quarters of the instances have to be off most of the
// time.
func TestIdlePoolsReturnInstances(t *testing.T) {
	bursts := []burst{{"a", shortJobs, 0, 0.5, 40}, {"b", longJobs, 0, 0.1, 40}, {"c", longJobs, 0, 0.1, 40}, {"d", shortJobs, 0, 0.5, 40}}
	_, _, sim := simulateBursts(1, bursts, 12)
	if maxPoolSeconds := 0.25 * 40 * float64(len(sim.names)); sim.poolSeconds > maxPoolSeconds+20*float64(len(sim.names)) {
		t.Errorf("%.0f instance-seconds in pools in 60 s, want at most %.0f beside the 20 s before the first and after the last job", sim.poolSeconds, maxPoolSeconds)
	}
}
