package upkeep

import (
	"fmt"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/maintenance"
)

// stopWork is when a leaving endpoint has to be without new work (P6).
const stopWork = 5 * time.Second

// violations checks the recorded history and returns what is wrong, by property.
func (w *world) violations() (found map[string][]string) {
	found = make(map[string][]string)
	add := func(property, format string, args ...any) {
		found[property] = append(found[property], fmt.Sprintf(format, args...))
	}
	w.checkGrants(add)
	rebooting := make(map[string]time.Time)
	served := make(map[string]time.Time) // when told to serve again, or back
	for _, r := range w.history {
		at := r.at.Sub(w.log.times[0])
		s := w.log.at(r.at)
		i := s.Instances[r.instance]
		switch r.what {
		case "reboot":
			if i.Phase != fleet.Draining {
				add("P1", "%s rebooted at %s in phase %s", r.instance, at, i.Phase)
			}
			if r.running > 0 {
				add("P7", "%s rebooted at %s with %d tasks", r.instance, at, r.running)
			}
			rebooting[r.instance] = r.at
		case "served":
			served[r.instance] = r.at
		case "back":
			served[r.instance] = r.at
			if began := w.log.at(rebooting[r.instance]).Instances[r.instance]; began.Since != i.Since {
				add("P1", "%s rebooted until %s, but version %d ended its drain", r.instance, at, i.Since)
			}
		case "cut":
			add("P7", "%s was sent a task at %s while it rebooted", r.instance, at)
		case "start":
			if i.Pool != r.pool {
				add("P2", "%s started a task of pool %s at %s, but is in %s", r.instance, r.pool, at, i.Pool)
			}
			granted := w.log.times[i.Since-1]
			leaving := i.Phase == fleet.Draining && served[r.instance].Before(granted)
			if leaving && r.at.Sub(granted) > stopWork && w.fencible(i.DataCentre, granted) {
				add("P6", "%s started a task at %s, %s after its grant", r.instance, at, r.at.Sub(granted))
			}
		}
	}
	w.checkMoves(add)
	return found
}

// fencible tells whether an entry of the data centre had no fault in the
// seconds after a grant; without one, nothing can tell the endpoint in time.
func (w *world) fencible(dataCentre string, granted time.Time) bool {
	for _, e := range w.entries {
		if e.self.DataCentre == dataCentre && e.wellDuring(granted, granted.Add(stopWork)) {
			return true
		}
	}
	return false
}

// checkGrants compares each version with the one before: a planned step must
// not raise the unavailable instances of a pool above its budget.
func (w *world) checkGrants(add func(property, format string, args ...any)) {
	for k := 1; k < len(w.log.states); k++ {
		s, before := w.log.states[k], w.log.states[k-1]
		for name, i := range s.Instances {
			old := before.Instances[name]
			planned := i.Phase != fleet.Serving && old.Phase == fleet.Serving
			if planned && !maintenance.Unavailable(old) && spent(s, i.Pool) > s.Pools[i.Pool].Budget {
				add("P1", "version %d takes %s: %d of budget %d in pool %s", s.Version, name, spent(s, i.Pool), s.Pools[i.Pool].Budget, i.Pool)
			}
		}
	}
}

// checkMoves looks for tasks of the previous pool that run on when an instance
// comes to its next pool.
func (w *world) checkMoves(add func(property, format string, args ...any)) {
	for k := 1; k < len(w.log.states); k++ {
		for name, i := range w.log.states[k].Instances {
			if old := w.log.states[k-1].Instances[name]; old.Pool == i.Pool {
				continue
			}
			running := 0
			for _, r := range w.history {
				if r.instance != name || r.at.After(w.log.times[k]) {
					continue
				}
				switch r.what {
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
func (w *world) reboots() (n int) {
	w.historyMu.Lock()
	defer w.historyMu.Unlock()
	for _, r := range w.history {
		if r.what == "reboot" {
			n++
		}
	}
	return n
}
