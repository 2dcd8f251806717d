package manager

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/duration"
	"github.com/azurepoint/azurepoint/entry/store"
)

// learnedState returns the state of an estimator that has seen runs of 300 ms of some queues.
func learnedState(queues int) duration.State {
	var e duration.Estimator
	for i := range queues {
		for range 20 {
			e.Observe(duration.Key{Queue: fmt.Sprint("queue-", i)}, time.Second, 300*time.Millisecond, time.Now())
		}
	}
	return e.State(maxStoredQueues)
}

// Guards against an owner that learns again what the previous one had learned, and against records
// of a size that the store refuses.
func TestNextOwnerLoadsDurations(t *testing.T) {
	s, owner := claimedStore(t)
	first := &Manager{Store: s, Term: Term{Owner: owner}}
	if err := first.scheduler.LoadDurations(learnedState(300), time.Now()); err != nil {
		t.Fatal(err)
	}
	record := &ownedRecord{key: durationsKey}
	if err := first.loadDurations(t.Context(), record); err != nil {
		t.Fatal(err)
	}
	if _, err := first.storeDurations(t.Context(), record, -1); err != nil {
		t.Fatal(err)
	}
	if size := len(s.items[durationsKey].Value); size > 500*maxStoredQueues {
		t.Errorf("a record of %d bytes for %d queues", size, maxStoredQueues)
	}
	next := &Manager{Store: s, Term: Term{Owner: owner}}
	if err := next.loadDurations(t.Context(), &ownedRecord{key: durationsKey}); err != nil {
		t.Fatal(err)
	}
	want, _ := first.scheduler.DurationState(maxStoredQueues)
	got, _ := next.scheduler.DurationState(maxStoredQueues)
	if len(got.Queues) != maxStoredQueues || got.Queues[0].Runs != want.Queues[0].Runs {
		t.Errorf("%d queues after a change of owner, want %d", len(got.Queues), maxStoredQueues)
	}
}

// Guards against a term that ends, or starts without an estimate, because of a record that
// cannot be read, and against such a record staying for the next owner.
func TestUnreadableDurationsAreReplaced(t *testing.T) {
	for _, value := range []string{"", "{", `{"queues":[{"queue":"q"}]}`, `{"queues":[{"queue":"q","runs":1,"means":[1,2,3,4,1e300],"ratios":[]}]}`} {
		s, owner := claimedStore(t)
		if _, err := s.apply(store.Transaction{Puts: []store.Put{{Key: durationsKey, Value: []byte(value)}}}); err != nil {
			t.Fatal(err)
		}
		m := &Manager{Store: s, Term: Term{Owner: owner}}
		record := &ownedRecord{key: durationsKey}
		if err := m.loadDurations(t.Context(), record); err != nil {
			t.Fatalf("%q: %v", value, err)
		}
		if err := m.scheduler.LoadDurations(learnedState(1), time.Now()); err != nil {
			t.Fatal(err)
		}
		if _, err := m.storeDurations(t.Context(), record, -1); err != nil {
			t.Fatal(err)
		}
		if string(s.items[durationsKey].Value) == value {
			t.Errorf("%q is still stored", value)
		}
	}
}

// Guards against writes without a change, and against writes of an owner whose term is over.
func TestDurationsAreStoredOnChangeByOwner(t *testing.T) {
	s, owner := claimedStore(t)
	m := &Manager{Store: s, Term: Term{Owner: owner}}
	record := &ownedRecord{key: durationsKey}
	version, err := m.storeDurations(t.Context(), record, -1)
	if err != nil {
		t.Fatal(err)
	}
	revision := s.revision
	if _, err = m.storeDurations(t.Context(), record, version); err != nil || s.revision != revision {
		t.Errorf("error %v, or an unchanged record was stored again", err)
	}
	if _, err = s.apply(store.Transaction{Puts: []store.Put{{Key: OwnerKey, Value: []byte("b")}}}); err != nil {
		t.Fatal(err)
	}
	if _, err = m.storeDurations(t.Context(), record, -1); !errors.Is(err, errTermOver) {
		t.Errorf("error %v, want %v", err, errTermOver)
	}
}
