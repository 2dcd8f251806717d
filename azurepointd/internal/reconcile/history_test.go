package reconcile

import (
	"fmt"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/maintenance"
)

// maxNewWorkDelay is how long after its grant a draining endpoint may still get new
// work (P6).
const maxNewWorkDelay = 5 * time.Second

// violations checks the recorded history and returns what is wrong, by property.
func (sim *simulation) violations() (found map[string][]string) {
	found = make(map[string][]string)
	add := func(property, format string, args ...any) {
		found[property] = append(found[property], fmt.Sprintf(format, args...))
	}
	sim.checkGrants(add)
	rebooting := make(map[string]time.Time)
	servingSince := make(map[string]time.Time) // when last told to serve, or back from a reboot
	for _, r := range sim.history {
		at := r.at.Sub(sim.log.times[0])
		s := sim.log.at(r.at)
		i := s.Instances[r.instance]
		switch r.kind {
		case "reboot":
			if i.Phase != fleet.Draining {
				add("P1", "%s rebooted at %s in phase %s", r.instance, at, i.Phase)
			}
			if r.running > 0 {
				add("P7", "%s rebooted at %s with %d tasks", r.instance, at, r.running)
			}
			rebooting[r.instance] = r.at
		case "served":
			servingSince[r.instance] = r.at
		case "back":
			servingSince[r.instance] = r.at
			if began := sim.log.at(rebooting[r.instance]).Instances[r.instance]; began.PhaseVersion != i.PhaseVersion {
				add("P1", "%s rebooted until %s, but version %d ended its drain", r.instance, at, i.PhaseVersion)
			}
		case "cut":
			add("P7", "%s was sent a task at %s while it rebooted", r.instance, at)
		case "start":
			if i.Pool != r.pool {
				add("P2", "%s started a task of pool %s at %s, but is in %s", r.instance, r.pool, at, i.Pool)
			}
			granted := sim.log.times[i.PhaseVersion-1]
			draining := i.Phase == fleet.Draining && servingSince[r.instance].Before(granted)
			if draining && r.at.Sub(granted) > maxNewWorkDelay && sim.canFence(i.DataCentre, granted) {
				add("P6", "%s started a task at %s, %s after its grant", r.instance, at, r.at.Sub(granted))
			}
		}
	}
	sim.checkMoves(add)
	return found
}

// canFence reports whether an entry of the data centre had no fault within
// maxNewWorkDelay of a grant. Without one, nothing can tell the endpoint in time.
func (sim *simulation) canFence(dataCentre string, granted time.Time) bool {
	for _, e := range sim.entries {
		if e.self.DataCentre == dataCentre && e.faultFreeDuring(granted, granted.Add(maxNewWorkDelay)) {
			return true
		}
	}
	return false
}

// checkGrants compares each version with the previous one: a planned step must not
// raise the number of unavailable instances of a pool above its budget.
func (sim *simulation) checkGrants(add func(property, format string, args ...any)) {
	for k := 1; k < len(sim.log.states); k++ {
		s, before := sim.log.states[k], sim.log.states[k-1]
		for name, i := range s.Instances {
			old := before.Instances[name]
			planned := i.Phase != fleet.Serving && old.Phase == fleet.Serving
			if planned && !maintenance.Unavailable(old) && unavailable(s, i.Pool) > s.Pools[i.Pool].Budget {
				add("P1", "version %d makes %s unavailable: %d of budget %d in pool %s", s.Version, name, unavailable(s, i.Pool), s.Pools[i.Pool].Budget, i.Pool)
			}
		}
	}
}

// checkMoves looks for tasks of the previous pool that still run when an instance
// arrives in its next pool.
func (sim *simulation) checkMoves(add func(property, format string, args ...any)) {
	for k := 1; k < len(sim.log.states); k++ {
		for name, i := range sim.log.states[k].Instances {
			if old := sim.log.states[k-1].Instances[name]; old.Pool == i.Pool {
				continue
			}
			running := 0
			for _, r := range sim.history {
				if r.instance != name || r.at.After(sim.log.times[k]) {
					continue
				}
				switch r.kind {
				case "start":
					running++
				case "end":
					running--
				}
			}
			if running > 0 {
				add("P2", "version %d moves %s with %d tasks", k+1, name, running)
			}
		}
	}
}

// reboots counts the reboots in the history.
func (sim *simulation) reboots() (n int) {
	sim.historyMu.Lock()
	defer sim.historyMu.Unlock()
	for _, r := range sim.history {
		if r.kind == "reboot" {
			n++
		}
	}
	return n
}
