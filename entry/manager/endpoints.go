package manager

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/schedule"
)

// Errors of calls to endpoints.
var (
	// ErrFenced means that the endpoint has seen a higher fencing token and rejects
	// this owner.
	ErrFenced = errors.New("manager: endpoint has a higher fencing token")
	// ErrNoAnswer means that no answer was received; the endpoint may still carry out
	// the call.
	ErrNoAnswer = errors.New("manager: no answer from the endpoint")
	// ErrDisconnected is ErrNoAnswer for a connection that the endpoint ended or refused.
	ErrDisconnected = errors.Wrap(ErrNoAnswer, "disconnected")
	// ErrOtherEndpoint means that another endpoint answers at the address.
	ErrOtherEndpoint = errors.New("manager: another endpoint answers at the address")
)

// Target is the identifier of an endpoint and its address.
type Target struct {
	ID, Address string
}

// StartCall is an order to start a task.
type StartCall struct {
	Task       string
	Run        int
	Spec       string
	Checkpoint string
	Ticket     string
	Fence      int64
	// Until is when the order expires, in milliseconds of the endpoint's clock.
	Until int64
	// Incarnation is the process by whose clock the order expires; no other process may get the
	// order. It is 0 if the process is not known.
	Incarnation int64
}

// RunCall is an order that concerns an existing run.
type RunCall struct {
	Task    string
	Run     int
	Fence   int64
	Percent int
}

// PollCall polls an endpoint and may renew the lease of its runs.
type PollCall struct {
	Fence int64
	// Until is the end of the lease in milliseconds of the endpoint's clock; 0 does
	// not renew it.
	Until int64
	// Acknowledge is the highest number of a run end that the endpoint may drop from
	// its reports.
	Acknowledge int64
	// Wait is how long the endpoint may delay its answer until a run ends.
	Wait time.Duration
	// Incarnation is the process whose ends are acknowledged and by whose clock the lease ends. Any other
	// process gets a poll that does neither and does not wait. It is 0 if the process is not known.
	Incarnation int64
}

// PollReply is the answer of an endpoint to a poll.
type PollReply struct {
	schedule.Report
	// Clock is the endpoint's clock in milliseconds.
	Clock int64
}

// Endpoints sends calls to endpoints.
type Endpoints interface {
	Start(ctx context.Context, t Target, c StartCall) (answer schedule.OrderResult, err error)
	Stop(ctx context.Context, t Target, c RunCall) (answer schedule.OrderResult, err error)
	Pace(ctx context.Context, t Target, c RunCall) (answer schedule.OrderResult, err error)
	Poll(ctx context.Context, t Target, c PollCall) (look PollReply, err error)
}

// ListChange is a change of the list of endpoints.
type ListChange struct {
	// Listed are new or changed endpoints, and Unlisted the identifiers of those that are
	// no longer listed.
	Listed   []schedule.Endpoint
	Unlisted []string
}

// Directory is the platform's list of endpoints.
type Directory interface {
	// Follow calls reset with all listed endpoints, when it has read the whole list, and
	// change with each change after that, until the context ends.
	Follow(ctx context.Context, reset func(listed []schedule.Endpoint), change func(ListChange)) <-chan error
}
