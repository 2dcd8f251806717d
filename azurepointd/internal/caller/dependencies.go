package caller

import (
	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

// Peers gives access to the entries of the fleet that this entry knows.
type Peers interface {
	Self() membership.Entry
	// Live returns the live entries of this data centre, including this entry.
	Live() []membership.Entry
	// Remote returns the live entries of another data centre.
	Remote(dataCentre string) []membership.Entry
	// Dial returns a client of an entry, or an error if the entry is not live in
	// that incarnation.
	Dial(name string, incarnation int64) (peer peerrpc.Peer, err error)
}

// Fleet provides the configuration that this entry currently uses.
type Fleet interface {
	// State returns an immutable configuration; a change yields a new pointer.
	State() *fleet.State
}
