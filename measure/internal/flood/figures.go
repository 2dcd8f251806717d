package flood

import (
	"math"
	"slices"
	"sync"

	"github.com/azurepoint/azurepoint/coordination/share"
	"github.com/azurepoint/azurepoint/measure/internal/report"
	"github.com/azurepoint/azurepoint/measure/internal/site"
)

// load is a level of demand: a burst of a queue relative to the slots of its
// pool, and what it is called in the figures.
type load struct {
	burst  float64
	suffix string
}

// loads are 1.5 times the pool, which is more than it can hold but not more
// than it holds with the spare pool, and 2.5 times the pool.
var loads = []load{
	{burst: 1.5},
	{burst: 2.5, suffix: ".heavy"},
}

// result is the outcomes of one seed.
type result struct {
	site   site.Site
	base   outcome
	floods []outcome
	kinds  []flooding
}

// Measure runs all floods of both sites under each policy and load.
func Measure(seeds []int64) (figures []report.Figure) {
	for _, l := range loads {
		for _, s := range site.All() {
			for _, p := range policies() {
				figures = append(figures, measure(s, l, p, seeds)...)
			}
		}
	}
	return figures
}

func measure(s site.Site, l load, p named, seeds []int64) (figures []report.Figure) {
	results := make([]result, len(seeds))
	var running sync.WaitGroup
	for i, seed := range seeds {
		running.Go(func() { results[i] = runAll(s, l.burst, p, seed) })
	}
	running.Wait()
	for _, q := range quantities(s) {
		values := make([]float64, len(results))
		for i := range results {
			values[i] = q.of(&results[i])
		}
		figures = append(figures, report.NewFigure(s.Name, p.name, q.name+l.suffix, q.unit, values))
	}
	return figures
}

func runAll(s site.Site, load float64, p named, seed int64) (x result) {
	x = result{site: s, kinds: floods(s)}
	x.base = run(s, load, p, flooding{kind: -1}, seed)
	for _, f := range x.kinds {
		x.floods = append(x.floods, run(s, load, p, f, seed))
	}
	return x
}

// quantity is one figure of a result.
type quantity struct {
	name string
	unit string
	of   func(x *result) float64
}

// quantities returns the figures. A kind is kept as well as its worst member;
// all figures but those of the base run are the worst over the floods.
func quantities(s site.Site) (list []quantity) {
	list = []quantity{
		{"floodKept", "percent", func(x *result) float64 { return x.kept(anyFlood) }},
		{"floodKeptSustained", "percent", func(x *result) float64 { return x.kept(sustained) }},
		{"floodKeptUrgent", "percent", func(x *result) float64 { return x.kept(x.mostUrgent) }},
		{"floodKeptLeastUrgent", "percent", func(x *result) float64 { return x.kept(x.leastUrgent) }},
		{"floodKeptMember", "percent", func(x *result) float64 { return x.keptInside() }},
		{"urgentStartP99", "seconds", func(x *result) float64 { return x.urgentStart() }},
		{"urgentRefused", "percent", func(x *result) float64 { return x.lost(refusedUrgent) }},
		{"capExceeded", "slots", func(x *result) float64 { return x.exceeded() }},
		{"late", "percent", func(x *result) float64 { return x.lost(lateOf) }},
		{"refused", "percent", func(x *result) float64 { return x.lost(refusedOf) }},
		{"baseDone", "percent", func(x *result) float64 { return x.baseDone() }},
	}
	for k, p := range s.Pools {
		list = append(list, quantity{"waitP99." + p.Name, "seconds", func(x *result) float64 { return x.wait(k) }})
	}
	return list
}

// A filter chooses floods.
type filter func(f flooding) bool

func anyFlood(flooding) bool { return true }

func sustained(f flooding) bool { return f.sustained }

func (x *result) mostUrgent(f flooding) bool {
	return urgencyOf(x.site, f.kind) == share.Urgent
}

func (x *result) leastUrgent(f flooding) bool {
	return urgencyOf(x.site, f.kind) == share.Batch
}

// others calls visit for each member of a kind that does not flood, with its
// fates without and with the flood.
func (x *result) others(choose filter, visit func(f flooding, kind int, base, flooded *fate)) {
	for i, f := range x.kinds {
		if !choose(f) {
			continue
		}
		for k := range x.base.fates {
			for m := range members {
				if !f.floods(k, m) {
					visit(f, k, &x.base.fates[k][m], &x.floods[i].fates[k][m])
				}
			}
		}
	}
}

// kept returns the least part of un-flooded throughput that a member of a kind
// keeps, in percent.
func (x *result) kept(choose filter) (least float64) {
	least = math.Inf(1)
	x.others(choose, func(_ flooding, _ int, base, flooded *fate) {
		if base.done > 0 {
			least = min(least, 100*float64(flooded.done)/float64(base.done))
		}
	})
	return least
}

// keptInside returns the same for the other member of the flooding kind.
func (x *result) keptInside() (least float64) {
	least = math.Inf(1)
	x.others(anyFlood, func(f flooding, kind int, base, flooded *fate) {
		if kind == f.kind && base.done > 0 {
			least = min(least, 100*float64(flooded.done)/float64(base.done))
		}
	})
	return least
}

// urgentStart returns the 99th percentile of the wait of urgent requests that
// started, the flooding ones included.
func (x *result) urgentStart() (seconds float64) {
	for _, o := range append(slices.Clone(x.floods), x.base) {
		var waits []float64
		for k := range o.fates {
			if urgencyOf(x.site, k) == share.Urgent {
				for m := range members {
					waits = append(waits, o.fates[k][m].waits...)
				}
			}
		}
		slices.Sort(waits)
		seconds = max(seconds, percentile(waits, 0.99))
	}
	return seconds
}

// wait returns the 99th percentile of the wait of a kind that does not flood.
func (x *result) wait(kind int) (seconds float64) {
	x.others(anyFlood, func(_ flooding, k int, _, flooded *fate) {
		if k == kind {
			seconds = max(seconds, percentile(flooded.waits, 0.99))
		}
	})
	return seconds
}

// lost returns the largest part of requests lost in some way by a kind that
// does not flood, in percent.
func (x *result) lost(count func(s site.Site, kind int, f *fate) int) (most float64) {
	x.others(anyFlood, func(_ flooding, kind int, _, flooded *fate) {
		most = max(most, 100*float64(count(x.site, kind, flooded))/float64(max(1, flooded.arrived)))
	})
	return most
}

func lateOf(_ site.Site, _ int, f *fate) int    { return f.late }
func refusedOf(_ site.Site, _ int, f *fate) int { return f.refused }

func refusedUrgent(s site.Site, kind int, f *fate) int {
	if urgencyOf(s, kind) != share.Urgent {
		return 0
	}
	return f.refused
}

// exceeded returns the most slots that a member used above its cap.
func (x *result) exceeded() (slots float64) {
	slots = float64(x.base.exceeded)
	for _, o := range x.floods {
		slots = max(slots, float64(o.exceeded))
	}
	return slots
}

// baseDone returns the part of requests done in time without a flood.
func (x *result) baseDone() (part float64) {
	var done, arrived int
	for k := range x.base.fates {
		for m := range members {
			done += x.base.fates[k][m].done
			arrived += x.base.fates[k][m].arrived
		}
	}
	return 100 * float64(done) / float64(max(1, arrived))
}
