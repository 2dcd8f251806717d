package request

import (
	"context"
	"time"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/azurepointd/internal/endpoint"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

// Peers looks up and dials the other live entries.
type Peers interface {
	Self() membership.Entry
	// Owner returns the entry of this data centre that is assigned a duty.
	Owner(duty string) membership.Entry
	// Dial returns an error if the entry is not live in that incarnation.
	Dial(name string, incarnation int64) (peer peerrpc.Peer, err error)
}

// Fleet provides the configuration in force at this entry.
type Fleet interface {
	// State returns a snapshot that is never modified.
	State() *fleet.State
}

// Endpoints runs and settles tasks; *endpoint.Client implements it.
type Endpoints interface {
	TaskID(ctx context.Context, address, base string) (id string, err error)
	Run(ctx context.Context, address string, t endpoint.Task) (r endpoint.Result)
	Settle(ctx context.Context, address, id string, leaseUntil time.Time) (r endpoint.Result)
	Stop(ctx context.Context, address, id string, leaseUntil time.Time) (r endpoint.Result)
}
