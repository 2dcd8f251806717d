package flood

import (
	"math"
	"slices"
	"sync"

	"github.com/azurepoint/azurepoint/coordination/share"
	"github.com/azurepoint/azurepoint/measure/internal/report"
	"github.com/azurepoint/azurepoint/measure/internal/site"
)

// demandLevel is the demand of a burst relative to the slots of its pool, with the
// suffix that its figures have.
type demandLevel struct {
	burstLoad float64
	suffix    string
}

// demandLevels are 1.5 times the slots of the pool, which exceeds the pool but not the
// pool together with the spare pool, and 2.5 times.
var demandLevels = []demandLevel{
	{burstLoad: 1.5},
	{burstLoad: 2.5, suffix: ".heavy"},
}

// seedResult holds the runs of one seed: base without a flood, and one run for each
// flood scenario.
type seedResult struct {
	site      site.Site
	base      runResult
	flooded   []runResult
	scenarios []floodScenario
}

// Measure simulates all flood scenarios of both sites with each policy and demand.
func Measure(seeds []int64) (figures []report.Figure) {
	for _, l := range demandLevels {
		for _, s := range site.All() {
			for _, p := range policies() {
				figures = append(figures, measure(s, l, p, seeds)...)
			}
		}
	}
	return figures
}

func measure(s site.Site, l demandLevel, p namedPolicy, seeds []int64) (figures []report.Figure) {
	results := make([]seedResult, len(seeds))
	var running sync.WaitGroup
	for i, seed := range seeds {
		running.Go(func() { results[i] = runSeed(s, l.burstLoad, p, seed) })
	}
	running.Wait()
	for _, q := range quantities(s) {
		values := make([]float64, len(results))
		for i := range results {
			values[i] = q.value(&results[i])
		}
		figures = append(figures, report.NewFigure(s.Name, p.name, q.name+l.suffix, q.unit, values))
	}
	return figures
}

func runSeed(s site.Site, load float64, p namedPolicy, seed int64) (x seedResult) {
	x = seedResult{site: s, scenarios: floodScenarios(s)}
	x.base = run(s, load, p, floodScenario{kind: -1}, seed)
	for _, f := range x.scenarios {
		x.flooded = append(x.flooded, run(s, load, p, f, seed))
	}
	return x
}

// quantity computes one printed figure from the runs of a seed.
type quantity struct {
	name  string
	unit  string
	value func(x *seedResult) float64
}

// quantities returns the figures. A kind counts as its worst member; all figures
// but baseDone are the worst over the flood scenarios.
func quantities(s site.Site) (list []quantity) {
	list = []quantity{
		{"floodKept", "percent", func(x *seedResult) float64 { return x.throughputKept(anyFlood) }},
		{"floodKeptSustained", "percent", func(x *seedResult) float64 { return x.throughputKept(sustained) }},
		{"floodKeptUrgent", "percent", func(x *seedResult) float64 { return x.throughputKept(x.mostUrgent) }},
		{"floodKeptLeastUrgent", "percent", func(x *seedResult) float64 { return x.throughputKept(x.leastUrgent) }},
		{"floodKeptMember", "percent", func(x *seedResult) float64 { return x.throughputKeptWithinKind() }},
		{"urgentStartP99", "seconds", func(x *seedResult) float64 { return x.urgentWait() }},
		{"urgentRefused", "percent", func(x *seedResult) float64 { return x.worstShare(countRefusedUrgent) }},
		{"capExceeded", "slots", func(x *seedResult) float64 { return x.maxOverCap() }},
		{"late", "percent", func(x *seedResult) float64 { return x.worstShare(countLate) }},
		{"refused", "percent", func(x *seedResult) float64 { return x.worstShare(countRefused) }},
		{"baseDone", "percent", func(x *seedResult) float64 { return x.baseDone() }},
	}
	for k, p := range s.Pools {
		list = append(list, quantity{"waitP99." + p.Name, "seconds", func(x *seedResult) float64 { return x.waitP99(k) }})
	}
	return list
}

// A scenarioFilter selects flood scenarios.
type scenarioFilter func(f floodScenario) bool

func anyFlood(floodScenario) bool { return true }

func sustained(f floodScenario) bool { return f.sustained }

func (x *seedResult) mostUrgent(f floodScenario) bool {
	return urgencyOf(x.site, f.kind) == share.Urgent
}

func (x *seedResult) leastUrgent(f floodScenario) bool {
	return urgencyOf(x.site, f.kind) == share.Batch
}

// visitUnflooded calls visit for each member that does not flood, with its results
// without and with the flood.
func (x *seedResult) visitUnflooded(choose scenarioFilter, visit func(f floodScenario, kind int, base, flooded *memberStats)) {
	for i, f := range x.scenarios {
		if !choose(f) {
			continue
		}
		for k := range x.base.stats {
			for m := range members {
				if !f.includes(k, m) {
					visit(f, k, &x.base.stats[k][m], &x.flooded[i].stats[k][m])
				}
			}
		}
	}
}

// throughputKept returns the smallest percentage of its throughput without a flood
// that a member keeps during a flood of others.
func (x *seedResult) throughputKept(choose scenarioFilter) (least float64) {
	least = math.Inf(1)
	x.visitUnflooded(choose, func(_ floodScenario, _ int, base, flooded *memberStats) {
		if base.done > 0 {
			least = min(least, 100*float64(flooded.done)/float64(base.done))
		}
	})
	return least
}

// throughputKeptWithinKind returns the same for the second member of the kind whose
// first member floods.
func (x *seedResult) throughputKeptWithinKind() (least float64) {
	least = math.Inf(1)
	x.visitUnflooded(anyFlood, func(f floodScenario, kind int, base, flooded *memberStats) {
		if kind == f.kind && base.done > 0 {
			least = min(least, 100*float64(flooded.done)/float64(base.done))
		}
	})
	return least
}

// urgentWait returns the 99th percentile of the wait of the urgent requests that
// started, including those of the flood.
func (x *seedResult) urgentWait() (seconds float64) {
	for _, o := range append(slices.Clone(x.flooded), x.base) {
		var waits []float64
		for k := range o.stats {
			if urgencyOf(x.site, k) == share.Urgent {
				for m := range members {
					waits = append(waits, o.stats[k][m].waits...)
				}
			}
		}
		slices.Sort(waits)
		seconds = max(seconds, percentile(waits, 0.99))
	}
	return seconds
}

// waitP99 returns the 99th percentile of the wait of a kind's requests, the worst
// over its members that do not flood.
func (x *seedResult) waitP99(kind int) (seconds float64) {
	x.visitUnflooded(anyFlood, func(_ floodScenario, k int, _, flooded *memberStats) {
		if k == kind {
			seconds = max(seconds, percentile(flooded.waits, 0.99))
		}
	})
	return seconds
}

// worstShare returns the largest percentage of requests that count selects, over
// all members that do not flood.
func (x *seedResult) worstShare(count func(s site.Site, kind int, f *memberStats) int) (most float64) {
	x.visitUnflooded(anyFlood, func(_ floodScenario, kind int, _, flooded *memberStats) {
		most = max(most, 100*float64(count(x.site, kind, flooded))/float64(max(1, flooded.arrived)))
	})
	return most
}

func countLate(_ site.Site, _ int, f *memberStats) int    { return f.late }
func countRefused(_ site.Site, _ int, f *memberStats) int { return f.refused }

func countRefusedUrgent(s site.Site, kind int, f *memberStats) int {
	if urgencyOf(s, kind) != share.Urgent {
		return 0
	}
	return f.refused
}

// maxOverCap returns the maximum number of slots that any member used above its cap.
func (x *seedResult) maxOverCap() (slots float64) {
	slots = float64(x.base.maxOverCap)
	for _, o := range x.flooded {
		slots = max(slots, float64(o.maxOverCap))
	}
	return slots
}

// baseDone returns the percentage of requests that are done in time without a
// flood.
func (x *seedResult) baseDone() (part float64) {
	var done, arrived int
	for k := range x.base.stats {
		for m := range members {
			done += x.base.stats[k][m].done
			arrived += x.base.stats[k][m].arrived
		}
	}
	return 100 * float64(done) / float64(max(1, arrived))
}
