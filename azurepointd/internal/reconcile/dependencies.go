package reconcile

import (
	"context"
	"time"

	"github.com/azurepoint/azurepoint/api/endpointapi"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/maintenance"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

// Peers provides the live entries and the owner of each pool.
type Peers interface {
	Self() membership.Entry
	// Live returns the live entries of the own data centre, including this one.
	Live() []membership.Entry
	Remote(dataCentre string) []membership.Entry
	Owner(key string) membership.Entry
}

// Fleet provides the configuration in force at this entry and proposes changes to it.
type Fleet interface {
	// State returns the state in force, which is never modified, or nil if there is
	// none yet.
	State() *fleet.State
	// Changed returns a channel that is closed at the next version.
	Changed() <-chan struct{}
	// Propose returns the result of a change; after an error the result is unknown.
	Propose(ctx context.Context, c fleet.Change) (fleet.ChangeResult, error)
	// Leaving reports whether the platform plans to remove the instance.
	Leaving(instance string) bool
}

// Grants provides the grants of this entry's dispatcher.
type Grants interface {
	// InFlight returns how many grants for the instance have not ended.
	InFlight(instance string) int
	// LastGrantEnd returns when the longest of these grants ends, or zero.
	LastGrantEnd(instance string) time.Time
}

// Reports provides what the other entries have reported about the grants that they
// hold.
type Reports interface {
	// None reports whether every live entry of the data centre has reported since the
	// given time, at this version or a later one, that it holds no grant for the
	// instance.
	None(instance string, version int64, since time.Time) bool
}

// Loads provides the load of the pools in the own data centre.
type Loads interface {
	// Load returns the load that the dispatcher of a pool last reported.
	Load(pool string) (l maintenance.PoolObservation, known bool)
}

// Health provides the ejection state of instances.
type Health interface {
	// Failing reports whether the instance is ejected because its tasks fail.
	Failing(instance string) bool
}

// Endpoints calls endpoints by IP address and port.
type Endpoints interface {
	Status(ctx context.Context, address string) (*endpointapi.Status, error)
	Drain(ctx context.Context, address string) (*endpointapi.Status, error)
	CancelDrain(ctx context.Context, address string) (*endpointapi.Status, error)
	Reboot(ctx context.Context, address string) (*endpointapi.Status, error)
}
