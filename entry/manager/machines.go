package manager

import "context"

// Machines calls the platform's service that manages the instances of the pools.
type Machines interface {
	// List returns all instances.
	List(ctx context.Context) (instances []Instance, err error)
	// Maintain takes an instance out of service for the maintenance of a wave.
	Maintain(ctx context.Context, c InstanceOrder) (answer InstanceOrderResult, err error)
	// Move moves an instance to another pool.
	Move(ctx context.Context, c InstanceOrder) (answer InstanceOrderResult, err error)
}

// Instance is a machine of a pool.
type Instance struct {
	Name string
	Pool string
	// Up reports whether the instance is in service; it is not while it moves or is
	// under maintenance.
	Up bool
	// InMaintenance reports whether the instance is out of service for maintenance.
	InMaintenance bool
	// Endpoint is the identifier of the instance's endpoint.
	Endpoint string
}

// InstanceOrder is an order that concerns an instance.
type InstanceOrder struct {
	Instance string
	Holder   string
	Fence    int64
	// Wave is set for maintenance, Pool for a move.
	Wave int64
	Pool string
}

// InstanceOrderResult is the result of an order that concerns an instance.
type InstanceOrderResult int

// Results of an order that concerns an instance.
const (
	// InstanceOrderUnknown means that the order may have been carried out.
	InstanceOrderUnknown InstanceOrderResult = iota
	InstanceOrderDone
	// InstanceOrderFenced means that a later owner has already ordered something for the
	// instance.
	InstanceOrderFenced
	// InstanceOrderBusy means that the instance is not in service.
	InstanceOrderBusy
	// InstanceOrderRefused means that the order is invalid.
	InstanceOrderRefused
	// InstanceOrderLimited means that the platform accepts no orders at the moment.
	InstanceOrderLimited
)

// String returns the result as it is written to logs.
func (a InstanceOrderResult) String() string {
	return [...]string{"unknown", "done", "fenced", "busy", "refused", "limited"}[a]
}
