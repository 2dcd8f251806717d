package dispatch

import (
	"context"

	"github.com/azurepoint/azurepoint/api/endpointapi"
	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

// Peers is the view of the other entries.
type Peers interface {
	Self() membership.Entry
	// Live returns the live entries of the own data centre, self included.
	Live() []membership.Entry
	Remote(dataCentre string) []membership.Entry
	DataCentres() []string
	// Owner returns the entry of the own data centre that has a duty.
	Owner(duty string) membership.Entry
	// Dial returns a client of an entry; incarnation 0 means any.
	Dial(name string, incarnation int64) (peerrpc.Peer, error)
}

// Fleet is the configuration in force at this entry.
type Fleet interface {
	// State is never modified after it is returned.
	State() *fleet.State
	// Changed is closed at the next version.
	Changed() <-chan struct{}
	// Leaving tells whether the platform's list says so.
	Leaving(instance string) bool
}

// Endpoints reads the status of endpoints.
type Endpoints interface {
	// Status returns what the endpoint at an address says of itself.
	Status(ctx context.Context, address string) (*endpointapi.Status, error)
}
