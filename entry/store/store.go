package store

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a Store.
var (
	// ErrRejected means that the store rejected the call and changed nothing.
	ErrRejected = errors.New("store: call rejected")
	// ErrInvalid means that the store changed nothing and refuses the call whenever it is repeated, as one
	// with a value above its limit.
	ErrInvalid = errors.New("store: call refused for good")
	// ErrNoAnswer means that no answer was received: a write may have been applied, or
	// may still be applied while its conditions hold.
	ErrNoAnswer = errors.New("store: no answer")
	// ErrLeaseEnded means that the lease has expired or was revoked.
	ErrLeaseEnded = errors.New("store: lease has ended")
	// ErrCompacted means that the store no longer has the requested changes.
	ErrCompacted = errors.New("store: change history no longer available")
)

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's index of the last write; 0 means that the key does not
	// exist.
	Revision int64
	Lease    int64
}

// Change is a write or a removal of a key.
type Change struct {
	Item
	Removed bool
}

// Condition is the revision that a key must have for a transaction to be applied.
type Condition struct {
	Key      string
	Revision int64
}

// Put is a key to write, with its value and its lease, if any.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Transaction is applied as a whole or not at all.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Removes    []string
}

// DefaultMaxValueBytes is the length of a value that a store accepts if its limit is not known.
const DefaultMaxValueBytes = 1 << 20

// MaxTransactionOps bounds the sum of conditions, puts and removes in a transaction.
const MaxTransactionOps = 32

// ConflictError means that a condition of a transaction did not hold.
type ConflictError struct {
	// Current has the present items of all condition keys; a key that does not exist
	// has revision 0.
	Current map[string]Item
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return "store: condition failed, a key has changed"
}

// Store is a linearizable key-value service.
type Store interface {
	// Get returns the item of a key.
	Get(ctx context.Context, key string) (item Item, found bool, err error)
	// Range returns all items below a prefix and the revision to watch from.
	Range(ctx context.Context, prefix string) (items []Item, revision int64, err error)
	// Watch returns the changes below a prefix after a revision, or none when the
	// wait time is over, and the revision to continue from. The answer has all changes that
	// were acknowledged before the call was sent.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []Change, revision int64, err error)
	// Commit applies a transaction and returns its revision.
	Commit(ctx context.Context, t Transaction) (revision int64, err error)
	// Grant creates a lease with a lifetime.
	Grant(ctx context.Context, lifetime time.Duration) (lease int64, err error)
	// Renew extends a lease by its lifetime.
	Renew(ctx context.Context, lease int64) (err error)
	// Revoke ends a lease, which removes its keys.
	Revoke(ctx context.Context, lease int64) (err error)
}
