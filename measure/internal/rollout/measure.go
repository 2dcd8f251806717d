package rollout

import (
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/measure/internal/report"
	"github.com/azurepoint/azurepoint/measure/internal/site"
)

// policies returns a new policy of each kind, by name.
func policies() map[string]policy {
	return map[string]policy{"current": &current{}, "rackAtATime": rackAtATime{}, "oneAtATime": oneAtATime{}}
}

// variants are the faults that a wave is measured under; the suffix is added to
// the names of the figures.
var variants = []struct {
	suffix string
	faults faults
}{
	{"", faults{}},
	{"WithFailures", faults{failures: 3}},
}

// Measure runs waves of both sites for every policy and returns the figures.
func Measure(seeds []int64) (figures []report.Figure) {
	for _, s := range site.All() {
		for _, policyName := range []string{"current", "rackAtATime", "oneAtATime"} {
			for _, v := range variants {
				figures = append(figures, measure(s, policyName, v.suffix, v.faults, seeds)...)
			}
		}
		figures = append(figures, measureBadWave(s, seeds)...)
	}
	return figures
}

// measure returns the figures of one policy; the times are those of the waves
// that ended, and halted is the part that the planner halted instead.
func measure(s site.Site, policyName, suffix string, f faults, seeds []int64) (figures []report.Figure) {
	var ratios, times, overspent []float64
	halted := 0
	for _, seed := range seeds {
		w := newWorld(s, seed, f)
		took := run(w, policies()[policyName])
		overspent = append(overspent, float64(w.overspent))
		if w.state.Waves[wave].State != fleet.WaveEnded {
			halted++
			continue
		}
		times = append(times, took.Seconds())
		ratios = append(ratios, took.Seconds()/w.bound().Seconds())
	}
	part := 100 * float64(halted) / float64(len(seeds))
	figures = append(figures,
		report.NewFigure(s.Name, policyName, "budgetOverspent"+suffix, "instances", overspent),
		report.NewFigure(s.Name, policyName, "halted"+suffix, "percent", []float64{part}))
	if len(times) > 0 {
		figures = append(figures,
			report.NewFigure(s.Name, policyName, "rollOutRatio"+suffix, "ratio", ratios),
			report.NewFigure(s.Name, policyName, "rollOutTime"+suffix, "s", times))
	}
	return figures
}

// measureBadWave counts the instances that a wave breaks before it halts; the
// simpler orders do not look at what comes back and break the whole fleet.
func measureBadWave(s site.Site, seeds []int64) (figures []report.Figure) {
	for _, policyName := range []string{"current", "rackAtATime"} {
		var broken []float64
		for _, seed := range seeds {
			w := newWorld(s, seed, faults{badWave: true})
			run(w, policies()[policyName])
			broken = append(broken, float64(w.broken))
		}
		figures = append(figures, report.NewFigure(s.Name, policyName, "haltAfter", "instances", broken))
	}
	return figures
}
