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
	// listWait is how long a watch on the instance list waits. The list of 1,600
	// instances has 434 KB in the stand-in, and control may take 4 KB/s: the wait
	// takes 1.4 KB/s of it, about 360 changes of the list a day the rest.
	listWait = 5 * time.Minute
	// listSpacing is the least time between two reads of the list, which is
	// large; an instance gets no new work within 5 s of the first sign.
	listSpacing = 2 * time.Second
)

// listing holds the leaving instances of the data centre; the zero value has
// none.
type listing struct {
	mu    sync.Mutex
	names map[string]struct{}
}

func (l *listing) has(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, found := l.names[name]
	return found
}

// all returns the names in order.
func (l *listing) all() (names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.names))
}

// update takes the current list. An instance that was leaving when the list last
// showed it stays so until the list shows it as live, or until it is no longer
// in the fleet: the platform removes an instance after it has left.
func (l *listing) update(listings []platform.Listing, s *fleet.State) (changed bool) {
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

// followList watches the platform's list of the own data centre.
func (f *Follower) followList(ctx context.Context) {
	var index int64
	for ctx.Err() == nil {
		next := time.Now().Add(listSpacing)
		listings, read, err := f.Instances.WaitListings(ctx, f.Peers.Self().DataCentre, index, time.Now().Add(listWait))
		f.noteList(ctx, err)
		if err == nil {
			index = read
			f.takeList(listings)
		}
		pause(ctx, time.Until(next))
	}
}

func (f *Follower) takeList(listings []platform.Listing) {
	if !f.list.update(listings, f.State()) {
		return
	}
	names := f.list.all()
	gauge("leaving", int64(len(names)))
	event.InstancesLeaving.Log(log.Fields{"instances": names})
}

// noteList logs when the list begins or ceases to answer.
func (f *Follower) noteList(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil:
	case err == nil:
		if f.unlisted.Swap(false) {
			event.ListReachable.Log(nil)
		}
	default:
		count("listFailed")
		if !f.unlisted.Swap(true) {
			event.ListUnreachable.Log(log.Fields{"error": err.Error()})
		}
	}
}
