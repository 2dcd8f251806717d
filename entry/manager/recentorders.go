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

// recentKey holds the names of the instances that were ordered recently.
const recentKey = "azurepoint/orders"

// recentOrders records which instances were ordered recently. The platform requires
// some time between orders of different holders for the same instance, so the names
// are stored before the orders are sent.
type recentOrders struct {
	owner store.Condition
	// handoverTime is how long after an order another holder has to wait before it
	// may send one.
	handoverTime time.Duration

	// saving is held during a write, so that writes follow each other; it guards record.
	saving sync.Mutex
	record ownedRecord

	// mu guards the fields below. It is not held during a write, because the manager's
	// lock is held while it is taken.
	mu sync.Mutex
	// inherited are the instances that the previous owner ordered; they are blocked
	// until handoverAt.
	inherited  map[string]bool
	handoverAt time.Time
	ordered    map[string]time.Time
}

// load reads the instances that the previous owner ordered. Its last order may have
// been sent just now, so the handover time starts here.
func (r *recentOrders) load(ctx context.Context, s store.Store) (err error) {
	value, found, err := r.record.load(ctx, s)
	if err != nil {
		return err
	}
	var names []string
	if found {
		if err = json.Unmarshal(value, &names); err != nil {
			event.RecordInvalid.Log(log.Fields{"key": recentKey, "error": err.Error()})
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handoverAt = time.Now().Add(r.handoverTime)
	r.inherited = make(map[string]bool)
	for _, n := range names {
		r.inherited[n] = true
	}
	return nil
}

// blocked reports whether an order of the previous owner for the instance may be too
// recent for another one.
func (r *recentOrders) blocked(instance string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inherited[instance] && time.Now().Before(r.handoverAt)
}

// renew counts an order for an instance from now on, and reports whether its name is stored. It is
// called before the order is sent, because the orders of a batch follow each other.
func (r *recentOrders) renew(instance string) (stored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if at, known := r.ordered[instance]; !known || now.Sub(at) > r.handoverTime {
		return false
	}
	r.ordered[instance] = now
	return true
}

// storeNames stores the names of instances before orders are sent for them, and reports
// whether that succeeded.
func (r *recentOrders) storeNames(ctx context.Context, s store.Store, instances []string) (stored bool) {
	r.saving.Lock()
	defer r.saving.Unlock()
	value, err := json.Marshal(r.addNames(instances))
	if err != nil {
		return false
	}
	if err = r.record.save(ctx, s, r.owner, value); err != nil {
		event.RecordFailed.Log(log.Fields{"key": recentKey, "error": err.Error()})
	}
	return err == nil
}

// addNames adds instances that are to be ordered now, and returns all names to store.
func (r *recentOrders) addNames(instances []string) (names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(r.ordered, func(_ string, at time.Time) bool { return now.Sub(at) > r.handoverTime })
	for _, i := range instances {
		r.ordered[i] = now
	}
	names = slices.Sorted(maps.Keys(r.ordered))
	if now.Before(r.handoverAt) {
		names = append(names, slices.Sorted(maps.Keys(r.inherited))...)
	}
	return names
}
