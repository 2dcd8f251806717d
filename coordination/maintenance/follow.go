package maintenance

import (
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// UpdateProgress returns the progress of each wave that has not ended at the version of s;
// the observation holds the previous progress.
func UpdateProgress(s *fleet.State, o Observation, now time.Time) (waves map[string]Progress) {
	waves = make(map[string]Progress, len(s.Waves))
	for name, w := range s.Waves {
		if w.State == fleet.WaveEnded {
			continue
		}
		waves[name] = updateWaveProgress(s, o, w, now)
	}
	return waves
}

func updateWaveProgress(s *fleet.State, o Observation, w fleet.Wave, now time.Time) (p Progress) {
	p, known := o.Waves[w.Name]
	unhealthy := unhealthyInstances(s, o, w, now)
	healthy := countHealthyReturns(s, o, w)
	// An entry without progress for the wave ignores earlier failures; they are
	// evaluated by the entries that observed them.
	resumed := known && p.State == fleet.WaveHalted && w.State == fleet.WaveRunning
	switch {
	case resumed:
		p.HealthyAtResume = healthy
		p.IgnoredInstances = unhealthy
	case !known:
		p.IgnoredInstances = unhealthy
	default:
		p.IgnoredInstances = stillUnhealthy(p.IgnoredInstances, unhealthy)
	}
	if !known || p.State != w.State || p.HealthyReturns != healthy {
		p.StepSince = now
	}
	p.State = w.State
	p.HealthyReturns = healthy
	return p
}

// unhealthyInstances returns the names of all unhealthy instances of the wave,
// including the excused ones.
func unhealthyInstances(s *fleet.State, o Observation, w fleet.Wave, now time.Time) (names []string) {
	for name, i := range s.Instances {
		l := o.Instances[name]
		drainFailed := i.Phase == fleet.Draining && i.Wave == w.Name && drainProblem(i, l, now) != ""
		returnFailed := i.CompletedWave == w.Name && returnProblem(i, l) != ""
		if drainFailed || returnFailed {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// countHealthyReturns counts the instances that finished the wave and are healthy.
func countHealthyReturns(s *fleet.State, o Observation, w fleet.Wave) (n int) {
	for name, i := range s.Instances {
		if i.CompletedWave == w.Name && returnProblem(i, o.Instances[name]) == "" {
			n++
		}
	}
	return n
}

func stillUnhealthy(excused, unhealthy []string) (kept []string) {
	for _, name := range excused {
		if slices.Contains(unhealthy, name) {
			kept = append(kept, name)
		}
	}
	return kept
}
