package manager

import (
	"context"
	"strings"

	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/store"
)

// fakeStore holds keys in memory; the test executes its calls one after the other.
type fakeStore struct {
	store.Store
	revision int64
	items    map[string]store.Item
	// loseAnswer executes the next transaction without an answer; delay keeps it in
	// delayed instead, for the test to execute.
	loseAnswer, delay bool
	delayed           []store.Transaction
	// onCommit, if set, is called during each transaction.
	onCommit func()
}

// Get returns the item of a key.
func (s *fakeStore) Get(_ context.Context, key string) (item store.Item, found bool, err error) {
	item, found = s.items[key]
	return item, found, nil
}

// Range returns all items below a prefix.
func (s *fakeStore) Range(_ context.Context, prefix string) (items []store.Item, revision int64, err error) {
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, i)
		}
	}
	return items, s.revision, nil
}

// Commit applies a transaction, unless its answer is lost or it is delayed.
func (s *fakeStore) Commit(_ context.Context, t store.Transaction) (revision int64, err error) {
	if s.onCommit != nil {
		s.onCommit()
	}
	if s.delay {
		s.delay = false
		s.delayed = append(s.delayed, t)
		return 0, store.ErrNoAnswer
	}
	revision, err = s.apply(t)
	if s.loseAnswer {
		s.loseAnswer = false
		return 0, store.ErrNoAnswer
	}
	return revision, err
}

func (s *fakeStore) apply(t store.Transaction) (revision int64, err error) {
	conflict := &store.ConflictError{Current: make(map[string]store.Item)}
	holds := true
	for _, c := range t.Conditions {
		conflict.Current[c.Key] = s.items[c.Key]
		holds = holds && s.items[c.Key].Revision == c.Revision
	}
	if !holds {
		return 0, conflict
	}
	s.revision++
	if s.items == nil {
		s.items = make(map[string]store.Item)
	}
	for _, p := range t.Puts {
		s.items[p.Key] = store.Item{Key: p.Key, Value: p.Value, Revision: s.revision}
	}
	for _, key := range t.Removes {
		delete(s.items, key)
	}
	return s.revision, nil
}

// fakeEndpoints counts the starts that it receives.
type fakeEndpoints struct {
	Endpoints
	starts int
}

// Start counts the order and answers that it was carried out.
func (e *fakeEndpoints) Start(context.Context, Target, StartCall) (answer schedule.OrderResult, err error) {
	e.starts++
	return schedule.Accepted, nil
}
