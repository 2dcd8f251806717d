package manager

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/store"
)

// recentKey names the instances for which orders were given lately.
const recentKey = "azurepoint/orders"

// recentOrders remembers for which instances orders were given lately. An order of
// another holder for the same instance has to wait, so that the names are stored
// before the orders are given.
type recentOrders struct {
	owner store.Condition
	// free is how long after an order another holder may give one.
	free time.Duration

	mu sync.Mutex
	// inherited are the instances of the earlier owner, which are free at freeAt.
	inherited map[string]bool
	freeAt    time.Time
	ordered   map[string]time.Time
}

// load reads what the earlier owner ordered; its last order may be of this moment.
func (r *recentOrders) load(ctx context.Context, s store.Store) (err error) {
	item, found, err := s.Get(ctx, recentKey)
	if err != nil {
		return err
	}
	var names []string
	if found {
		if err = json.Unmarshal(item.Value, &names); err != nil {
			event.RecordInvalid.Log(log.Fields{"key": recentKey, "error": err.Error()})
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.freeAt = time.Now().Add(r.free)
	r.inherited = make(map[string]bool)
	for _, n := range names {
		r.inherited[n] = true
	}
	return nil
}

// blocked tells whether the earlier owner may have given an order for the instance
// just now.
func (r *recentOrders) blocked(instance string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inherited[instance] && time.Now().Before(r.freeAt)
}

// announce stores the names of instances before orders are given for them, and
// tells whether the orders may be given.
func (r *recentOrders) announce(ctx context.Context, s store.Store, instances []string) (stored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(r.ordered, func(_ string, at time.Time) bool { return now.Sub(at) > r.free })
	for _, i := range instances {
		r.ordered[i] = now
	}
	names := slices.Sorted(maps.Keys(r.ordered))
	if now.Before(r.freeAt) {
		names = append(names, slices.Sorted(maps.Keys(r.inherited))...)
	}
	value, err := json.Marshal(names)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	// Only this owner writes the key, so that its own condition is enough.
	_, err = s.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{r.owner}, Puts: []store.Put{{Key: recentKey, Value: value}},
	})
	if err != nil {
		event.RecordFailed.Log(log.Fields{"key": recentKey, "error": err.Error()})
	}
	return err == nil
}
