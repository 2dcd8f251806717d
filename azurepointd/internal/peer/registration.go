package peer

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/platform"
)

const (
	// entriesPrefix is the prefix of the registrations in the key-value service.
	entriesPrefix = "azurepoint/entries/"
	// registrationTTL is how long a registration outlives its entry. Registrations
	// only help new entries to find a live one, so it may be long; with 120 entries
	// the renewals cause 12 writes per second.
	registrationTTL = 30 * time.Second
	renewInterval   = 10 * time.Second
)

// Registry is the part of the key-value service through which an entry discovers
// others while its view is empty.
type Registry interface {
	platform.Leases
	// List returns the entries with a prefix.
	List(ctx context.Context, prefix string) (entries []platform.Item, index int64, err error)
}

// Registration keeps this entry's address registered in the key-value service.
type Registration struct {
	Registry Registry
	Name     string
	Address  string
}

// Run registers the entry and renews the lease until the context ends; the channel
// then receives nil. During an outage it keeps retrying, since known peers do not
// depend on the registration.
func (r *Registration) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(renewInterval)
		defer ticker.Stop()
		var lease platform.Lease
		for {
			lease = r.renewOrRegister(ctx, lease)
			select {
			case <-ctx.Done():
				r.endLease(lease) //nolint:contextcheck // the run's context has ended
				ended <- nil
				return
			case <-ticker.C:
			}
		}
	}()
	return ended
}

// renewOrRegister renews the lease, or registers again if the lease has ended.
func (r *Registration) renewOrRegister(ctx context.Context, lease platform.Lease) platform.Lease {
	ctx, cancel := context.WithTimeout(ctx, renewInterval)
	defer cancel()
	if lease != nil {
		_, err := lease.Renew(ctx)
		if err == nil || errors.Is(err, platform.ErrUnavailable) {
			return lease
		}
	}
	lease, err := r.Registry.Register(ctx, entriesPrefix+r.Name, []byte(r.Address), registrationTTL)
	if err != nil {
		return nil
	}
	return lease
}

func (r *Registration) endLease(lease platform.Lease) {
	if lease == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = lease.End(ctx)
}

// Discover returns the addresses of all registered entries.
func (r *Registration) Discover(ctx context.Context) (addresses []string, err error) {
	entries, _, err := r.Registry.List(ctx, entriesPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "peer: list registered entries")
	}
	for _, e := range entries {
		addresses = append(addresses, string(e.Value))
	}
	return addresses, nil
}
