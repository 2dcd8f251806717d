package standin

import (
	"strconv"
	"time"
)

// offeredCapacity is how many runs an endpoint takes from a time on.
type offeredCapacity struct {
	runs  int
	since time.Time
}

// capacityNotice is how long starts may still rely on a capacity that has shrunk. It covers
// the loss of some watch calls.
const capacityNotice = 8 * time.Second

// SetCapacity sets how many runs an endpoint takes from now on. Starts above it count as
// violations.
func (e *Endpoints) SetCapacity(id string, runs int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.capacities == nil {
		e.capacities = make(map[string][]offeredCapacity)
	}
	e.capacities[id] = append(e.capacities[id], offeredCapacity{runs: runs, since: time.Now()})
}

// checkCapacity records a violation if a start brought an endpoint above every capacity that
// it offered within capacityNotice.
func (e *Endpoints) checkCapacity(id string, runs int) {
	offered := e.capacities[id]
	for i, c := range offered {
		recent := i == len(offered)-1 || time.Since(offered[i+1].since) < capacityNotice
		if recent && runs <= c.runs {
			return
		}
	}
	if len(offered) > 0 {
		e.violations = append(e.violations, "a start brought "+id+" to "+strconv.Itoa(runs)+" runs, above its capacity")
	}
}

// checkGroup records a violation if the start of a task brought its group above its capacity.
func (e *Endpoints) checkGroup(task string) {
	if e.GroupOf == nil {
		return
	}
	group, runs := e.GroupOf(task), 0
	for id := range e.endpoints {
		for other := range e.endpoint(id).runs {
			if e.GroupOf(other) == group {
				runs++
			}
		}
	}
	e.checkCapacity(group, runs)
}
