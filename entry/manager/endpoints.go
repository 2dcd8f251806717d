package manager

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/schedule"
)

// Errors of calls to endpoints.
var (
	// ErrFenced means that the endpoint obeys an owner with a higher fence.
	ErrFenced = errors.New("manager: endpoint obeys a later owner")
	// ErrNoAnswer means that the endpoint may carry out the call, now or later.
	ErrNoAnswer = errors.New("manager: no answer from the endpoint")
	// ErrOtherEndpoint means that another endpoint answers at the address.
	ErrOtherEndpoint = errors.New("manager: another endpoint has the address")
)

// Target names an endpoint and where it is reached.
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
}

// RunCall is an order about a run.
type RunCall struct {
	Task    string
	Run     int
	Fence   int64
	Percent int
}

// HoldCall looks at an endpoint and extends the lease of what runs there.
type HoldCall struct {
	Fence int64
	// Until is the lease's end in milliseconds of the endpoint's clock; 0 does not
	// extend it.
	Until int64
	// Acknowledge is the highest end that the endpoint may forget.
	Acknowledge int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// Look is what an endpoint answered to a hold.
type Look struct {
	schedule.Report
	// Clock is the endpoint's clock in milliseconds.
	Clock int64
}

// Endpoints are the calls to endpoints.
type Endpoints interface {
	Start(ctx context.Context, t Target, c StartCall) (answer schedule.Answer, err error)
	Stop(ctx context.Context, t Target, c RunCall) (answer schedule.Answer, err error)
	Pace(ctx context.Context, t Target, c RunCall) (answer schedule.Answer, err error)
	Hold(ctx context.Context, t Target, c HoldCall) (look Look, err error)
}

// Directory is the platform's list of endpoints.
type Directory interface {
	// Follow calls update with all listed endpoints after each change, until the
	// context ends.
	Follow(ctx context.Context, update func(listed []schedule.Endpoint)) <-chan error
}
