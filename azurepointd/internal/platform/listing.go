package platform

import (
	"hash/fnv"
	"slices"
	"sync"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/platform"
)

// listing holds the leaving instances of the data centre; the zero value has
// none.
type listing struct {
	mu     sync.Mutex
	names  []string
	news   chan struct{}
	digest uint64
}

func (l *listing) has(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, found := slices.BinarySearch(l.names, name)
	return found
}

// current returns the sorted names and their hash.
func (l *listing) current() (names []string, digest uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.names, l.digest
}

// changed returns a channel that is closed when the names change.
func (l *listing) changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.news == nil {
		l.news = make(chan struct{})
	}
	return l.news
}

// set replaces the names, which it sorts.
func (l *listing) set(names []string) {
	slices.Sort(names)
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Equal(names, l.names) {
		return
	}
	l.names = names
	l.digest = digestOf(names)
	if l.news != nil {
		close(l.news)
		l.news = nil
	}
	event.InstancesLeaving.Log(log.Fields{"instances": names})
}

func digestOf(names []string) (digest uint64) {
	if len(names) == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, n := range names {
		_, _ = h.Write([]byte(n + "\x00"))
	}
	return h.Sum64()
}

func leavingOf(listings []platform.Listing) (names []string) {
	for _, l := range listings {
		if l.Leaving {
			names = append(names, l.Name)
		}
	}
	return names
}
