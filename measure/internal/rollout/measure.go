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

// faultScenarios are the faults that a wave is simulated with; the suffix is appended
// to the names of the figures.
var faultScenarios = []struct {
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
			for _, v := range faultScenarios {
				figures = append(figures, measurePolicy(s, policyName, v.suffix, v.faults, seeds)...)
			}
		}
		figures = append(figures, measureBadWave(s, seeds)...)
	}
	return figures
}

// measurePolicy returns the figures of one policy. The times are those of the waves
// that ended; halted is the percentage of the other waves, which the planner
// halted or which did not end in maxRunTime.
func measurePolicy(s site.Site, policyName, suffix string, f faults, seeds []int64) (figures []report.Figure) {
	var ratios, times, overBudget []float64
	halted := 0
	for _, seed := range seeds {
		sim := newSimulation(s, seed, f)
		took := runWave(sim, policies()[policyName])
		overBudget = append(overBudget, float64(sim.maxOverBudget))
		if sim.state.Waves[wave].State != fleet.WaveEnded {
			halted++
			continue
		}
		times = append(times, took.Seconds())
		ratios = append(ratios, took.Seconds()/sim.lowerBound().Seconds())
	}
	haltedPercent := 100 * float64(halted) / float64(len(seeds))
	figures = append(figures,
		report.NewFigure(s.Name, policyName, "budgetOverspent"+suffix, "instances", overBudget),
		report.NewFigure(s.Name, policyName, "halted"+suffix, "percent", []float64{haltedPercent}))
	if len(times) > 0 {
		figures = append(figures,
			report.NewFigure(s.Name, policyName, "rollOutRatio"+suffix, "ratio", ratios),
			report.NewFigure(s.Name, policyName, "rollOutTime"+suffix, "s", times))
	}
	return figures
}

// measureBadWave counts the instances that a wave breaks before it halts. The
// simpler policies do not check whether instances work after the reboot and break
// the whole fleet.
func measureBadWave(s site.Site, seeds []int64) (figures []report.Figure) {
	for _, policyName := range []string{"current", "rackAtATime"} {
		var broken []float64
		for _, seed := range seeds {
			sim := newSimulation(s, seed, faults{badWave: true})
			runWave(sim, policies()[policyName])
			broken = append(broken, float64(sim.broken))
		}
		figures = append(figures, report.NewFigure(s.Name, policyName, "haltAfter", "instances", broken))
	}
	return figures
}
