package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// addLongRunning adds a long-running job of 24 tasks to each pool, of which at most one, two
// and so on may share an endpoint. They are not scored.
func (sim *multiPoolSimulation) addLongRunning() {
	for i, pool := range sim.pools {
		r := newRecord(fmt.Sprintf("%016x", 0xf000+i), job.Step{Count: 24, CPU: 2000, MemoryMB: 15000, LongRunning: true, AntiAffinity: 1 + i, MaxUnavailable: 2})
		r.Pool, r.Queue = pool, "long-"+pool
		r.AcceptedAt = sim.now.UnixMilli()
		j := &simulatedJob{durations: [][]time.Duration{nil}}
		for range 24 {
			j.durations[0] = append(j.durations[0], time.Hour)
		}
		sim.jobs[r.ID] = j
		sim.s.AddJob(r, sim.now)
	}
}

// simulateTurns simulates bursts in pools that also run long-running tasks. PoolSeconds and
// moves are those from the first burst to the end of the last one.
func simulateTurns(seed uint64, bursts []burst, instancesPerPool, spare int) (earnedShare, onTimeShare float64, sim *multiPoolSimulation) {
	rng := rand.New(rand.NewPCG(seed, 1))
	pools := []string{"a", "b", "c", "d"}
	sim = newMultiPoolSimulation(pools, instancesPerPool)
	sim.capacity = Capacity{CPU: 16000, MemoryMB: 65536}
	for i := range spare {
		name := fmt.Sprintf("s%03d", i)
		sim.names = append(sim.names, name)
		sim.startInstance(name, "spare")
	}
	sim.listEndpoints()
	sim.addLongRunning()
	advance := func(arrivals []*simulatedJob) (remaining []*simulatedJob) {
		sim.planMoves()
		until := sim.now.Add(250 * time.Millisecond)
		due := 0
		for due < len(arrivals) && arrivals[due].arrivesAt.Before(until) {
			due++
		}
		sim.runUntil(arrivals[:due], until)
		return arrivals[due:]
	}
	for range 40 {
		advance(nil)
	}
	for id := range sim.jobs {
		delete(sim.jobs, id)
	}
	start := sim.now
	var arrivals []*simulatedJob
	end := 0.0
	for _, b := range bursts {
		end = max(end, b.startSecond+b.seconds)
	}
	for at := 0.0; at < end; at += 0.005 {
		for _, b := range bursts {
			rate := b.peak / 60
			if at >= b.startSecond && at < b.startSecond+b.seconds {
				rate += b.peak * math.Sin(math.Pi*(at-b.startSecond)/b.seconds)
			}
			if rng.Float64() < rate*0.005 {
				j := sim.newJob(rng, b.profile, start.Add(time.Duration(at*float64(time.Second))))
				j.record.Pool, j.record.Queue = b.pool, b.pool
				arrivals = append(arrivals, j)
			}
		}
	}
	sim.poolSeconds, sim.moves = 0, 0
	for sim.now.Before(start.Add(time.Duration(end * float64(time.Second)))) {
		arrivals = advance(arrivals)
	}
	poolSeconds, moves := sim.poolSeconds, sim.moves
	for range 40 {
		arrivals = advance(arrivals)
	}
	sim.poolSeconds, sim.moves = poolSeconds, moves
	earnedShare, onTimeShare = sim.score()
	return earnedShare, onTimeShare, sim
}

// Guards against pools that keep instances which their long-running tasks, their short tasks
// and the next seconds do not need, and against bursts that wait for them. The bursts of
// four pools follow one another, and each takes about half of all instances at its peak. The
// bound of the jobs in time is that of TestStaggeredBurstsAreServedInTime; a seventh of the
// instances' time has to be spent switched off.
func TestBurstsByTurns(t *testing.T) {
	short := jobProfile{meanMillis: 680, jobSpread: 0.5, taskSpread: 0.3, estimateError: 0.2, width: 8, cpu: 1500, steps: 1.6, longShare: 0.03}
	long := jobProfile{meanMillis: 1400, jobSpread: 0.5, taskSpread: 0.15, estimateError: 0.9, width: 8, cpu: 3300, steps: 2, longShare: 0.03}
	bursts := []burst{{"a", long, 0, 41, 10}, {"b", long, 10, 33, 10}, {"c", short, 20, 160, 10}, {"d", short, 30, 190, 10}}
	for seed := range uint64(2) {
		earnedShare, onTimeShare, sim := simulateTurns(seed, bursts, 73, 56)
		t.Logf("seed %d: %.3f of the value, %.3f of the jobs in time, %d moves, %.0f instance-seconds in pools", seed, earnedShare, onTimeShare, sim.moves, sim.poolSeconds)
		if onTimeShare < 0.94 {
			t.Errorf("seed %d: %.3f of the jobs in time, want 0.94", seed, onTimeShare)
		}
		if limit := 40 * float64(len(sim.names)) * 6 / 7; sim.poolSeconds > limit {
			t.Errorf("seed %d: %.0f instance-seconds in pools, want at most %.0f", seed, sim.poolSeconds, limit)
		}
	}
}
