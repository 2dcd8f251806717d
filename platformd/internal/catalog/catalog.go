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
	// Leaving is set while maintenance mode is enabled.
	Leaving bool
}

// pendingChange is a change that is not yet visible in the list.
type pendingChange struct {
	due      time.Time
	instance Instance
	removed  bool
}

// Catalog is the instance list; the zero value is empty and has no lag.
type Catalog struct {
	// Lag is the delay until a change becomes visible in the list.
	Lag time.Duration

	mu         sync.Mutex
	registered map[string]Instance
	visible    map[string]Instance
	pending    []pendingChange
	// indexes holds the number of visible changes for each data centre.
	indexes     map[string]int64
	indexRaised chan struct{}
}

// Register adds or replaces an instance.
func (c *Catalog) Register(i Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setInstance(i)
}

// SetLeaving records whether the platform plans to take the instance away.
func (c *Catalog) SetLeaving(id string, leaving bool) (found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, found := c.registered[id]
	if found {
		i.Leaving = leaving
		c.setInstance(i)
	}
	return found
}

// Deregister removes an instance and reports whether it was registered. List shows
// the removal after Lag.
func (c *Catalog) Deregister(id string) (found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, found := c.registered[id]
	if found {
		delete(c.registered, id)
		c.schedule(pendingChange{instance: i, removed: true})
	}
	return found
}

// List returns the visible instances of a service in a data centre, sorted by ID,
// and the index of the list.
func (c *Catalog) List(service, dataCentre string) (instances []Instance, index int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.visible {
		if i.Name == service && i.DataCentre == dataCentre {
			instances = append(instances, i)
		}
	}
	slices.SortFunc(instances, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances, c.indexes[dataCentre] + 1
}

// Wait returns once the index of the data centre's list is above after, when the
// deadline passes, or when the context ends.
func (c *Catalog) Wait(ctx context.Context, dataCentre string, after int64, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for {
		c.mu.Lock()
		indexAbove := c.indexes[dataCentre]+1 > after
		if c.indexRaised == nil {
			c.indexRaised = make(chan struct{})
		}
		indexRaised := c.indexRaised
		c.mu.Unlock()
		if indexAbove {
			return
		}
		select {
		case <-indexRaised:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Catalog) setInstance(i Instance) {
	if c.registered == nil {
		c.registered = make(map[string]Instance)
	}
	c.registered[i.ID] = i
	c.schedule(pendingChange{instance: i})
}

// schedule makes the change visible in the list after the lag; pending keeps the
// order of changes that are due at the same time.
func (c *Catalog) schedule(change pendingChange) {
	change.due = time.Now().Add(c.Lag)
	c.pending = append(c.pending, change)
	if c.Lag <= 0 {
		c.applyDue()
		return
	}
	time.AfterFunc(c.Lag, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.applyDue()
	})
}

func (c *Catalog) applyDue() {
	now := time.Now()
	for len(c.pending) > 0 && !c.pending[0].due.After(now) {
		c.applyChange(c.pending[0])
		c.pending = c.pending[1:]
	}
	if c.indexRaised != nil {
		close(c.indexRaised)
		c.indexRaised = nil
	}
}

func (c *Catalog) applyChange(change pendingChange) {
	if c.visible == nil {
		c.visible = make(map[string]Instance)
		c.indexes = make(map[string]int64)
	}
	previous := c.visible[change.instance.ID]
	c.visible[change.instance.ID] = change.instance
	if change.removed {
		delete(c.visible, change.instance.ID)
	}
	c.indexes[change.instance.DataCentre]++
	if previous.ID != "" && previous.DataCentre != change.instance.DataCentre {
		c.indexes[previous.DataCentre]++
	}
}
