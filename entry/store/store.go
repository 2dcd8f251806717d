package store

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a store.
var (
	// ErrNotDone means that the store has done nothing.
	ErrNotDone = errors.New("store: refused the call")
	// ErrUnknown means that no answer came: a write may be carried out, or may
	// still be carried out while its conditions hold.
	ErrUnknown = errors.New("store: no answer")
	// ErrNoLease means that the lease has ended.
	ErrNoLease = errors.New("store: lease has ended")
	// ErrForgotten means that the store no longer has the changes asked for.
	ErrForgotten = errors.New("store: history is gone")
)

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's index of the last write; 0 stands for no such key.
	Revision int64
	Lease    int64
}

// Change is a write, or a removal of a key.
type Change struct {
	Item
	Removed bool
}

// Condition is the revision that a key must have.
type Condition struct {
	Key      string
	Revision int64
}

// Put is a value to be written.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Transaction is carried out as a whole or not at all.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Removes    []string
}

// MaxEntries bounds the conditions, puts and removes of a transaction together.
const MaxEntries = 32

// ConflictError means that a condition did not hold.
type ConflictError struct {
	// Current has the items of all conditions as they are; an absent key has
	// revision 0.
	Current map[string]Item
}

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return "store: a key has changed"
}

// Store is a linearizable key-value service.
type Store interface {
	// Get returns the item of a key.
	Get(ctx context.Context, key string) (item Item, found bool, err error)
	// Range returns all items below a prefix and a revision to watch from.
	Range(ctx context.Context, prefix string) (items []Item, revision int64, err error)
	// Watch returns the changes below a prefix after a revision, or none when the
	// wait is over, and the revision to go on from.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []Change, revision int64, err error)
	// Commit carries out a transaction and returns its revision.
	Commit(ctx context.Context, t Transaction) (revision int64, err error)
	// Grant creates a lease.
	Grant(ctx context.Context, lifetime time.Duration) (lease int64, err error)
	// Renew extends a lease.
	Renew(ctx context.Context, lease int64) (err error)
	// Revoke ends a lease.
	Revoke(ctx context.Context, lease int64) (err error)
}
