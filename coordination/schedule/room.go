package schedule

import (
	"slices"

	"github.com/azurepoint/azurepoint/coordination/organisation"
)

// room holds endpoints that accept new tasks. During a plan it only becomes less.
type room struct {
	endpoints []*endpoint
	// maxFree holds, for each resource, the most that is free on any one endpoint. A
	// task that exceeds it is skipped without a search. It is recomputed if stale is set.
	maxFree Capacity
	stale   bool
	// refused holds sizes for which no endpoint has room.
	refused []Capacity
	// fullOfRuns and fullOfSmallRuns are set if no endpoint holds more runs, or more of small tasks.
	fullOfRuns, fullOfSmallRuns bool
}

// canFit reports whether an endpoint has enough free capacity for a task of a size.
func (r *room) canFit(size Capacity) bool {
	if r.stale {
		r.maxFree, r.stale = Capacity{}, false
		for _, e := range r.endpoints {
			free := e.free()
			r.maxFree = Capacity{
				CPU: max(r.maxFree.CPU, free.CPU), MemoryMB: max(r.maxFree.MemoryMB, free.MemoryMB), GPU: max(r.maxFree.GPU, free.GPU),
			}
		}
	}
	if !r.maxFree.CanFit(size) || slices.ContainsFunc(r.refused, size.CanFit) {
		return false
	}
	// The parts of maxFree may be those of different endpoints.
	fits := slices.ContainsFunc(r.endpoints, func(e *endpoint) bool { return e.free().CanFit(size) })
	if !fits {
		r.refused = append(r.refused, size)
	}
	return fits
}

// updateAfterPlacement marks maxFree as stale if it may have been that of an endpoint on which
// a task was placed and which had the given free capacity.
func (r *room) updateAfterPlacement(before Capacity) {
	if before.CPU == r.maxFree.CPU || before.MemoryMB == r.maxFree.MemoryMB || before.GPU == r.maxFree.GPU && before.GPU > 0 {
		r.stale = true
	}
}

// candidates holds the endpoints of a pool that accept new tasks.
type candidates struct {
	room
	// byDataCentre holds those of each data centre that was needed.
	byDataCentre map[string]*room
	// unread holds the endpoints of the pool that may run tasks of an earlier owner.
	unread []*endpoint
	// suspects holds the jobs with tasks that are suspected of a crash.
	suspects map[*jobState]bool
	// waiting holds tasks that found no room in the data centre of their job, and pledged the
	// room in others for which jobs were widened.
	waiting []waitingTask
	pledged map[*endpoint]gangUsage
	// stepsPerJob is how many steps of a job are visited.
	stepsPerJob int
	// division is how the pool is divided among organisations. withheld is set once a start
	// was held back because its organisation has its share.
	division organisation.Division
	withheld bool
}

// in returns the endpoints of a data centre, or all if the name is empty.
func (c *candidates) in(dataCentre string) *room {
	if dataCentre == "" {
		return &c.room
	}
	r := c.byDataCentre[dataCentre]
	if r != nil {
		return r
	}
	r = &room{stale: true}
	for _, e := range c.endpoints {
		if e.DataCentre == dataCentre {
			r.endpoints = append(r.endpoints, e)
		}
	}
	if c.byDataCentre == nil {
		c.byDataCentre = make(map[string]*room)
	}
	c.byDataCentre[dataCentre] = r
	return r
}

// updateAfterPlacement updates the rooms after a task was placed on an endpoint that had the
// given free capacity.
func (c *candidates) updateAfterPlacement(e *endpoint, before Capacity) {
	c.room.updateAfterPlacement(before)
	if r := c.byDataCentre[e.DataCentre]; r != nil {
		r.updateAfterPlacement(before)
	}
}

// invalidate marks the room of all endpoints as changed.
func (c *candidates) invalidate() {
	c.stale = true
	for _, r := range c.byDataCentre {
		r.stale = true
	}
}
