package upkeep

import (
	"context"
	"time"

	"github.com/azurepoint/azurepoint/api/endpointapi"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/maintenance"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

// Peers is the view of the other entries.
type Peers interface {
	Self() membership.Entry
	// Live returns the live entries of the own data centre, with this one.
	Live() []membership.Entry
	Remote(dataCentre string) []membership.Entry
	Owner(duty string) membership.Entry
}

// Fleet is the configuration in force at this entry.
type Fleet interface {
	// State returns a state that is never modified.
	State() *fleet.State
	// Changed returns a channel that is closed at the next version.
	Changed() <-chan struct{}
	// Propose returns the fate of a change; after an error it is unknown.
	Propose(ctx context.Context, c fleet.Change) (fleet.Fate, error)
	// Leaving tells whether the platform plans to take the instance away.
	Leaving(instance string) bool
}

// Grants is what the dispatcher of this entry knows of its grants.
type Grants interface {
	// InFlight returns how many grants for the instance have not ended.
	InFlight(instance string) int
	// OldestGrantEnds returns when the longest of these grants ends, or zero.
	OldestGrantEnds(instance string) time.Time
}

// Reports is what the other entries said of the grants that they hold.
type Reports interface {
	// None tells whether every live entry of the data centre has reported since
	// that time, at this version or a later one, that it holds no grant for the
	// instance.
	None(instance string, version int64, since time.Time) bool
}

// Loads is the load of pools in the own data centre.
type Loads interface {
	// Load returns a pool's load as its dispatcher said last.
	Load(pool string) (l maintenance.PoolLoad, known bool)
}

// Health is the evidence against endpoints.
type Health interface {
	// Failing tells whether the instance is ejected for failing its tasks.
	Failing(instance string) bool
}

// Endpoints are the calls to endpoints by IP address and port.
type Endpoints interface {
	Status(ctx context.Context, address string) (*endpointapi.Status, error)
	Drain(ctx context.Context, address string) (*endpointapi.Status, error)
	CancelDrain(ctx context.Context, address string) (*endpointapi.Status, error)
	Reboot(ctx context.Context, address string) (*endpointapi.Status, error)
}
