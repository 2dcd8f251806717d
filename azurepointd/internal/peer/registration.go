package peer

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/platform"
)

const (
	// entriesPrefix is where entries register in the key-value service.
	entriesPrefix = "azurepoint/entries/"
	// registrationLifetime is how long a registration outlives its entry. It
	// only helps new entries to find one that lives, so it may be long; at 120
	// entries the renewals are 12 writes a second.
	registrationLifetime = 30 * time.Second
	renewEvery           = 10 * time.Second
)

// Registry is the part of the key-value service in which entries find each
// other while they know none.
type Registry interface {
	platform.Leases
	// List returns the entries below a prefix.
	List(ctx context.Context, prefix string) (entries []platform.Entry, index int64, err error)
}

// Registration keeps this entry's address in the key-value service.
type Registration struct {
	Registry Registry
	Name     string
	Address  string
}

// Run registers the entry and renews the lease until the context ends; the
// channel then gets nil. Outages are waited out, since peers do without.
func (r *Registration) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(renewEvery)
		defer ticker.Stop()
		var lease platform.Lease
		for {
			lease = r.keep(ctx, lease)
			select {
			case <-ctx.Done():
				r.end(lease) //nolint:contextcheck // the run's context has ended
				ended <- nil
				return
			case <-ticker.C:
			}
		}
	}()
	return ended
}

// keep renews the lease, or registers anew if it has ended.
func (r *Registration) keep(ctx context.Context, lease platform.Lease) platform.Lease {
	ctx, cancel := context.WithTimeout(ctx, renewEvery)
	defer cancel()
	if lease != nil {
		_, err := lease.Renew(ctx)
		if err == nil || errors.Is(err, platform.ErrUnavailable) {
			return lease
		}
	}
	lease, err := r.Registry.Register(ctx, entriesPrefix+r.Name, []byte(r.Address), registrationLifetime)
	if err != nil {
		return nil
	}
	return lease
}

func (r *Registration) end(lease platform.Lease) {
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
