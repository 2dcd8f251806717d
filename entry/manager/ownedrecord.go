package manager

import (
	"bytes"
	"context"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/fault"
	"github.com/azurepoint/azurepoint/entry/store"
)

// errTermOver means that the owner's key has changed, so that the term has ended.
var errTermOver = errors.New("manager: the owner's key has changed")

// maxOwnedWrites is how many owned records fit in a transaction: each takes a condition
// and a put, and the condition on the owner is added.
const maxOwnedWrites = (store.MaxTransactionOps - 1) / 2

// ownedRecord is a key that only the owner writes, with the revision that the next value
// replaces. A write that is executed late replaces an older revision, so that it cannot
// undo a later one.
type ownedRecord struct {
	key      string
	revision int64
}

// load reads the value of the key.
func (r *ownedRecord) load(ctx context.Context, s store.Store) (value []byte, found bool, err error) {
	defer fault.Annotate(&err, "manager: load record")
	item, found, err := s.Get(ctx, r.key)
	if err != nil {
		return nil, false, err
	}
	r.revision = item.Revision
	return item.Value, found, nil
}

// save stores a value, as saveOwned does.
func (r *ownedRecord) save(ctx context.Context, s store.Store, owner store.Condition, value []byte) (err error) {
	return saveOwned(ctx, s, owner, []ownedWrite{{ownedRecord: r, value: value}})
}

// ownedWrite is a value for an owned record. It has to include what earlier writes tried to
// store: one of them may have been executed without an answer.
type ownedWrite struct {
	*ownedRecord
	value []byte
}

// saveOwned stores up to maxOwnedWrites values in one transaction. The error is errTermOver
// if another owner has taken over.
func saveOwned(ctx context.Context, s store.Store, owner store.Condition, writes []ownedWrite) (err error) {
	defer fault.Annotate(&err, "manager: save records")
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	for len(writes) > 0 {
		t := store.Transaction{Conditions: []store.Condition{owner}}
		for _, w := range writes {
			t.Conditions = append(t.Conditions, store.Condition{Key: w.key, Revision: w.revision})
			t.Puts = append(t.Puts, store.Put{Key: w.key, Value: w.value})
		}
		revision, err := s.Commit(ctx, t)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			for _, w := range writes {
				w.revision = revision
			}
			return nil
		case !errors.As(err, &conflict):
			return err
		case conflict.Current[owner.Key].Revision != owner.Revision:
			return errTermOver
		}
		writes = unstoredWrites(writes, conflict.Current)
	}
	return nil
}

// unstoredWrites returns the writes that an earlier transaction of the same term, which got
// no answer, has not stored. The owner's key is unchanged, so nobody else wrote the keys.
func unstoredWrites(writes []ownedWrite, current map[string]store.Item) (unstored []ownedWrite) {
	for _, w := range writes {
		w.revision = current[w.key].Revision
		if !bytes.Equal(current[w.key].Value, w.value) {
			unstored = append(unstored, w)
		}
	}
	return unstored
}
