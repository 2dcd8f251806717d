package caller

import (
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
	// Dial returns an error if the entry is not live in that incarnation.
	Dial(name string, incarnation int64) (peer peerrpc.Peer, err error)
}

// Fleet is the configuration in force at this entry.
type Fleet interface {
	// State returns a state that is never modified.
	State() *fleet.State
}
