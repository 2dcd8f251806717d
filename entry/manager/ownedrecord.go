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

// save stores a value, which has to include what earlier calls tried to store: one of
// them may have been executed without an answer. The error is errTermOver if another owner
// has taken over.
func (r *ownedRecord) save(ctx context.Context, s store.Store, owner store.Condition, value []byte) (err error) {
	defer fault.Annotate(&err, "manager: save record")
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	for {
		revision, err := s.Commit(ctx, store.Transaction{
			Conditions: []store.Condition{owner, {Key: r.key, Revision: r.revision}},
			Puts:       []store.Put{{Key: r.key, Value: value}},
		})
		var conflict *store.ConflictError
		switch {
		case err == nil:
			r.revision = revision
			return nil
		case !errors.As(err, &conflict):
			return err
		case conflict.Current[owner.Key].Revision != owner.Revision:
			return errTermOver
		}
		// The owner's key is unchanged, so this is an earlier value of the same term.
		current := conflict.Current[r.key]
		r.revision = current.Revision
		if bytes.Equal(current.Value, value) {
			return nil
		}
	}
}
