package platform

import (
	"context"
	"errors"
	"time"
)

// ErrUnavailable means that the service gave no usable answer; a write may or
// may not have taken effect.
var ErrUnavailable = errors.New("platform: service unavailable")

// MustNotExist as the expected revision makes CompareAndSwap create the key.
const MustNotExist int64 = 0

// MaxValueBytes is the largest value that the service takes, in bytes.
const MaxValueBytes = 1 << 20

// Entry is one key of the service.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the service's index of the key's last write.
	Revision int64
}

// Store is the part of the key-value service that the entries use.
type Store interface {
	// Get returns the entry; found is false when the key does not exist.
	Get(ctx context.Context, key string) (entry Entry, found bool, err error)
	// List returns the entries whose keys begin with prefix, in key order, and
	// the service's index for Wait.
	List(ctx context.Context, prefix string) (entries []Entry, index int64, err error)
	// CompareAndSwap writes the value if the key's revision is the expected
	// one; ErrUnavailable leaves it open whether the write took effect.
	CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (swapped bool, err error)
	// Delete removes the key if its revision is the expected one.
	Delete(ctx context.Context, key string, expected int64) (deleted bool, err error)
	// Wait returns the entries below prefix once the service's index for it is
	// above after, or the unchanged entries when the deadline passes; it counts
	// as one call on the service.
	Wait(ctx context.Context, prefix string, after int64, until time.Time) (entries []Entry, index int64, err error)
}

// Leases is the part of the key-value service that keeps keys alive.
type Leases interface {
	// Register writes a key that the service removes when the lease ends.
	Register(ctx context.Context, key string, value []byte, lifetime time.Duration) (lease Lease, err error)
}

// Lease keeps one registered key alive.
type Lease interface {
	// Renew extends the lease by its lifetime and returns its new deadline.
	Renew(ctx context.Context) (until time.Time, err error)
	// End removes the key.
	End(ctx context.Context) (err error)
}

// Listing is an instance in the platform's lagging list.
type Listing struct {
	Name    string
	Address string
	// Leaving is set once the platform plans to take the instance away.
	Leaving bool
}

// Instances is the platform's lagging list of instances.
type Instances interface {
	// Listings returns the live and leaving instances of a data centre.
	Listings(ctx context.Context, dataCentre string) (listings []Listing, err error)
}

// InstanceWatch is the list with a way to wait for its next change.
type InstanceWatch interface {
	Instances
	// WaitListings returns the listings once the list's index is above after, or
	// the unchanged listings when the deadline passes; it counts as one call on
	// the service.
	WaitListings(ctx context.Context, dataCentre string, after int64, until time.Time) (listings []Listing, index int64, err error)
}
