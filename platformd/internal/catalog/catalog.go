package catalog

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// Instance is a registered service on one node.
type Instance struct {
	ID         string
	Name       string
	DataCentre string
	Address    string
	Port       int
	// Leaving is set while maintenance is enabled.
	Leaving bool
}

// change is a change that the list does not show yet.
type change struct {
	due     time.Time
	now     Instance
	removed bool
}

// Catalog is the list; the zero value is empty and without lag.
type Catalog struct {
	// Lag is how long after a change the list shows it.
	Lag time.Duration

	mu      sync.Mutex
	actual  map[string]Instance
	shown   map[string]Instance
	pending []change
	// indexes has the number of changes shown for each data centre.
	indexes map[string]int64
	changed chan struct{}
}

// Register adds or replaces an instance.
func (c *Catalog) Register(i Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.put(i)
}

// SetLeaving records that the platform plans to take the instance away.
func (c *Catalog) SetLeaving(id string, leaving bool) (found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, found := c.actual[id]
	if found {
		i.Leaving = leaving
		c.put(i)
	}
	return found
}

// Deregister removes the instance.
func (c *Catalog) Deregister(id string) (found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, found := c.actual[id]
	if found {
		delete(c.actual, id)
		c.show(change{now: i, removed: true})
	}
	return found
}

// List returns what is shown of a service in a data centre, by ID, and the
// index of the list.
func (c *Catalog) List(service, dataCentre string) (instances []Instance, index int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.shown {
		if i.Name == service && i.DataCentre == dataCentre {
			instances = append(instances, i)
		}
	}
	slices.SortFunc(instances, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances, c.indexes[dataCentre] + 1
}

// Wait returns once the index of the data centre's list is above after, when the
// deadline passes, or when the context ends.
func (c *Catalog) Wait(ctx context.Context, dataCentre string, after int64, until time.Time) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for {
		c.mu.Lock()
		stale := c.indexes[dataCentre]+1 > after
		if c.changed == nil {
			c.changed = make(chan struct{})
		}
		changed := c.changed
		c.mu.Unlock()
		if stale {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Catalog) put(i Instance) {
	if c.actual == nil {
		c.actual = make(map[string]Instance)
	}
	c.actual[i.ID] = i
	c.show(change{now: i})
}

// show applies the change to the list once its time has come; the queue keeps
// the order of changes that are due together.
func (c *Catalog) show(o change) {
	o.due = time.Now().Add(c.Lag)
	c.pending = append(c.pending, o)
	if c.Lag <= 0 {
		c.apply()
		return
	}
	time.AfterFunc(c.Lag, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.apply()
	})
}

func (c *Catalog) apply() {
	now := time.Now()
	for len(c.pending) > 0 && !c.pending[0].due.After(now) {
		c.applyOne(c.pending[0])
		c.pending = c.pending[1:]
	}
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

func (c *Catalog) applyOne(o change) {
	if c.shown == nil {
		c.shown = make(map[string]Instance)
		c.indexes = make(map[string]int64)
	}
	before := c.shown[o.now.ID]
	c.shown[o.now.ID] = o.now
	if o.removed {
		delete(c.shown, o.now.ID)
	}
	c.indexes[o.now.DataCentre]++
	if before.ID != "" && before.DataCentre != o.now.DataCentre {
		c.indexes[before.DataCentre]++
	}
}
