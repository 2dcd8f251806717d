package flood

import (
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/share"
	"github.com/azurepoint/azurepoint/measure/internal/site"
)

// memberStats counts the outcomes of the requests of one member of a kind.
type memberStats struct {
	arrived int
	// done counts the requests that ended by their deadline.
	done    int
	late    int
	refused int
	// waits are the times from arrival to start, in seconds, sorted.
	waits []float64
}

// runResult is the result of one simulation.
type runResult struct {
	stats      [][members]memberStats
	maxOverCap int
}

// namedPolicy is a policy with its printed name.
type namedPolicy struct {
	name string
	make func(sim *simulation) policy
}

// policies returns the compared policies: the one of the daemon, then the
// baselines.
func policies() []namedPolicy {
	return []namedPolicy{
		{name: "current", make: newCurrent},
		{name: "fifo", make: newFIFO},
		{name: "strictPriority", make: newStrictPriority},
		{name: "staticSplit", make: newStaticSplit},
	}
}

// run simulates the demand with a policy.
func run(s site.Site, load float64, p namedPolicy, f floodScenario, seed int64) (o runResult) {
	sim := &simulation{site: s, now: start}
	sim.inUse = make([][members]int, len(s.Pools))
	for _, x := range s.Pools {
		limit := int(capFraction * float64(x.Instances*site.SlotsPerInstance))
		sim.caps = append(sim.caps, [members]int{limit, limit})
		sim.names = append(sim.names, [members]string{x.Name + "0", x.Name + "1"})
	}
	sim.policy = p.make(sim)
	requests := demand(s, load, f, seed)
	for _, r := range requests {
		sim.at(r.arrived, func() { sim.policy.submit(r) })
	}
	sim.runEvents()
	return sim.summarise(requests)
}

// summarise counts the outcomes of the requests by kind and member.
func (sim *simulation) summarise(requests []*request) (o runResult) {
	o.maxOverCap = sim.maxOverCap
	o.stats = make([][members]memberStats, len(sim.site.Pools))
	for _, r := range requests {
		o.stats[r.kind][r.member].add(r)
	}
	for k := range o.stats {
		for m := range o.stats[k] {
			slices.Sort(o.stats[k][m].waits)
		}
	}
	return o
}

func (f *memberStats) add(r *request) {
	f.arrived++
	switch {
	case r.refused:
		f.refused++
	case r.started.IsZero() || r.stopped || r.finished.After(r.deadline):
		f.late++
	default:
		f.done++
	}
	if !r.started.IsZero() {
		f.waits = append(f.waits, r.started.Sub(r.arrived).Seconds())
	}
}

// floodScenarios returns all flood scenarios of a site.
func floodScenarios(s site.Site) (list []floodScenario) {
	for kind := range s.Pools {
		for _, firstOnly := range []bool{false, true} {
			for _, sustained := range []bool{false, true} {
				list = append(list, floodScenario{kind: kind, firstOnly: firstOnly, sustained: sustained})
			}
		}
	}
	return list
}

func urgencyOf(s site.Site, kind int) (u share.Urgency) {
	u, _ = share.ParseUrgency(s.Pools[kind].Urgency)
	return u
}

// percentile returns the value below which the given fraction of the sorted values
// lies; zero without values.
func percentile(sorted []float64, part float64) (value float64) {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}

// arrivalPeriod is the time in which requests arrive in one run.
func arrivalPeriod(s site.Site) time.Duration {
	return cycleCount * cycleDuration(s)
}
