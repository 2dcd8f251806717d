package dispatch

import (
	"context"

	"github.com/azurepoint/azurepoint/api/endpointapi"
	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

// Peers looks up and dials the other live entries.
type Peers interface {
	Self() membership.Entry
	// Live returns the live entries of this data centre, including this entry.
	Live() []membership.Entry
	Remote(dataCentre string) []membership.Entry
	DataCentres() []string
	// Owner returns the entry of this data centre that is assigned a duty.
	Owner(duty string) membership.Entry
	// Dial returns a client of an entry; incarnation 0 matches any.
	Dial(name string, incarnation int64) (peerrpc.Peer, error)
}

// Fleet provides the configuration in force at this entry.
type Fleet interface {
	// State returns a snapshot that is never modified.
	State() *fleet.State
	// Changed returns a channel that is closed when the next version is in
	// force.
	Changed() <-chan struct{}
	// Leaving reports whether the platform lists the instance as leaving.
	Leaving(instance string) bool
}

// Endpoints reads the status of endpoints.
type Endpoints interface {
	// Status returns the status that the endpoint at an address reports.
	Status(ctx context.Context, address string) (*endpointapi.Status, error)
}
