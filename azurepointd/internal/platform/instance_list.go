package platform

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/platform"
)

const (
	// listWatchTimeout is how long a watch on the instance list waits. The list of
	// 1,600 instances has 434 KB in the stand-in, and control traffic may use 4
	// KB/s: reading the list after each wait uses 1.4 KB/s, and about 360 changes of
	// the list per day use the rest.
	listWatchTimeout = 5 * time.Minute
	// minListInterval is the minimum time between two reads of the list, because the
	// list is large; an instance must get no new work within 5 s after it is first
	// listed as leaving.
	minListInterval = 2 * time.Second
)

// leavingInstances is the set of leaving instances of the data centre; the zero
// value is empty.
type leavingInstances struct {
	mu    sync.Mutex
	names map[string]struct{}
}

func (l *leavingInstances) contains(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, found := l.names[name]
	return found
}

func (l *leavingInstances) sortedNames() (names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.names))
}

// update replaces the set by the instances that the list shows as leaving. A
// leaving instance that is no longer listed stays in the set until it is listed as
// live or is removed from the fleet, since the platform removes an instance from
// the list after it has left.
func (l *leavingInstances) update(listings []platform.ListedInstance, s *fleet.State) (changed bool) {
	next := make(map[string]struct{})
	listed := make(map[string]struct{}, len(listings))
	for _, i := range listings {
		listed[i.Name] = struct{}{}
		if i.Leaving {
			next[i.Name] = struct{}{}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.names {
		_, known := s.Instances[name]
		if _, shown := listed[name]; !shown && known {
			next[name] = struct{}{}
		}
	}
	changed = !maps.Equal(next, l.names)
	l.names = next
	return changed
}

// followList watches the platform's list of instances in the own data centre.
func (f *Follower) followList(ctx context.Context) {
	var index int64
	for ctx.Err() == nil {
		nextRead := time.Now().Add(minListInterval)
		listings, newIndex, err := f.Instances.WaitInstances(ctx, f.Peers.Self().DataCentre, index, time.Now().Add(listWatchTimeout))
		f.recordListResult(ctx, err)
		if err == nil {
			index = newIndex
			f.updateLeaving(listings)
		}
		sleep(ctx, time.Until(nextRead))
	}
}

func (f *Follower) updateLeaving(listings []platform.ListedInstance) {
	if !f.leaving.update(listings, f.State()) {
		return
	}
	names := f.leaving.sortedNames()
	setGauge("leaving", int64(len(names)))
	event.LeavingInstancesChanged.Log(log.Fields{"instances": names})
}

// recordListResult logs when requests for the list begin or cease to fail.
func (f *Follower) recordListResult(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil:
	case err == nil:
		if f.listUnreachable.Swap(false) {
			event.ListReachable.Log(nil)
		}
	default:
		incrementCounter("listFailed")
		if !f.listUnreachable.Swap(true) {
			event.ListUnreachable.Log(log.Fields{"error": err.Error()})
		}
	}
}
