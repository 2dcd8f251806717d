package maintenance

import (
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// Follow returns what to remember of each wave after a version was seen; the
// observation holds what was remembered before.
func Follow(s *fleet.State, o Observation, now time.Time) (waves map[string]Progress) {
	waves = make(map[string]Progress, len(s.Waves))
	for name, w := range s.Waves {
		if w.State == fleet.WaveEnded {
			continue
		}
		waves[name] = follow(s, o, w, now)
	}
	return waves
}

func follow(s *fleet.State, o Observation, w fleet.Wave, now time.Time) (p Progress) {
	p, known := o.Waves[w.Name]
	bad := allBad(s, o, w, now)
	good := returned(s, o, w)
	// An entry that meets a running wave for the first time leaves the judgment
	// of earlier failures to the entries that saw them.
	resumed := known && p.State == fleet.WaveHalted && w.State == fleet.WaveRunning
	switch {
	case resumed:
		p.Base = good
		p.Excused = bad
	case !known:
		p.Excused = bad
	default:
		p.Excused = stillBad(p.Excused, bad)
	}
	if !known || p.State != w.State || p.Returned != good {
		p.StepSince = now
	}
	p.State = w.State
	p.Returned = good
	return p
}

// allBad returns every instance of the wave that is bad now, excused or not.
func allBad(s *fleet.State, o Observation, w fleet.Wave, now time.Time) (names []string) {
	for name, i := range s.Instances {
		l := o.Instances[name]
		drained := i.Phase == fleet.Draining && i.Wave == w.Name && overdue(i, l, now) != ""
		failed := i.Maintained == w.Name && failing(i, l) != ""
		if drained || failed {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// returned counts the instances that came back from the wave and are well.
func returned(s *fleet.State, o Observation, w fleet.Wave) (n int) {
	for name, i := range s.Instances {
		if i.Maintained == w.Name && failing(i, o.Instances[name]) == "" {
			n++
		}
	}
	return n
}

func stillBad(excused, bad []string) (kept []string) {
	for _, name := range excused {
		if slices.Contains(bad, name) {
			kept = append(kept, name)
		}
	}
	return kept
}
