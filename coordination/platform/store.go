package platform

import (
	"context"
	"errors"
	"time"
)

// ErrUnavailable means that the service returned no usable response. A write may or
// may not have taken effect.
var ErrUnavailable = errors.New("platform: service unavailable")

// MustNotExist is the expected revision with which CompareAndSwap creates a key.
const MustNotExist int64 = 0

// MaxValueBytes is the maximum size of a value that the service accepts.
const MaxValueBytes = 1 << 20

// Item is a key of the service with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the service's index at the last write of the key.
	Revision int64
}

// Store is the part of the key-value service that stores entries.
type Store interface {
	// Get returns the entry of a key; found is false if the key does not exist.
	Get(ctx context.Context, key string) (entry Item, found bool, err error)
	// List returns the entries whose keys begin with prefix, in key order, and the
	// index of the service to pass to Wait.
	List(ctx context.Context, prefix string) (entries []Item, index int64, err error)
	// CompareAndSwap writes the value if the key has the expected revision. After
	// ErrUnavailable the write may or may not have taken effect.
	CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (swapped bool, err error)
	// Delete removes the key if it has the expected revision.
	Delete(ctx context.Context, key string, expected int64) (deleted bool, err error)
	// Wait returns the entries below prefix once the service's index for the prefix
	// is above after, or the unchanged entries when the deadline passes. It counts
	// as one call to the service.
	Wait(ctx context.Context, prefix string, after int64, until time.Time) (entries []Item, index int64, err error)
}

// Leases is the part of the key-value service that binds keys to leases.
type Leases interface {
	// Register writes a key that the service removes when the lease ends.
	Register(ctx context.Context, key string, value []byte, lifetime time.Duration) (lease Lease, err error)
}

// Lease binds one key to a lease of the service.
type Lease interface {
	// Renew extends the lease by its lifetime and returns the new deadline.
	Renew(ctx context.Context) (until time.Time, err error)
	// End ends the lease, which removes the key.
	End(ctx context.Context) (err error)
}

// ListedInstance is an instance in the platform's list, which lags behind the real state.
type ListedInstance struct {
	Name    string
	Address string
	// Leaving is set once the platform plans to remove the instance.
	Leaving bool
}

// InstanceLister provides the platform's lagging list of instances.
type InstanceLister interface {
	// ListInstances returns the live and leaving instances of a data centre.
	ListInstances(ctx context.Context, dataCentre string) (listings []ListedInstance, err error)
}

// InstanceWatcher extends InstanceLister with a call that waits for the next change.
type InstanceWatcher interface {
	InstanceLister
	// WaitInstances returns the listings once the index of the list is above after,
	// or the unchanged listings when the deadline passes. It counts as one call to
	// the service.
	WaitInstances(ctx context.Context, dataCentre string, after int64, until time.Time) (listings []ListedInstance, index int64, err error)
}
