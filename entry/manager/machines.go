package manager

import "context"

// Machines are the platform's calls about the instances of the pools.
type Machines interface {
	// List returns all instances.
	List(ctx context.Context) (instances []Instance, err error)
	// Upkeep takes an instance away for the maintenance of a wave.
	Upkeep(ctx context.Context, c MachineCall) (answer MachineAnswer, err error)
	// Move gives an instance to another pool.
	Move(ctx context.Context, c MachineCall) (answer MachineAnswer, err error)
}

// Instance is a machine of a pool.
type Instance struct {
	Name string
	Pool string
	// Up tells that the instance serves; it is not up while it moves or has its
	// maintenance.
	Up bool
	// Endpoint is the identifier of the instance's endpoint.
	Endpoint string
}

// MachineCall is an order about an instance.
type MachineCall struct {
	Instance string
	Holder   string
	Fence    int64
	// Wave belongs to an upkeep, Pool to a move.
	Wave int64
	Pool string
}

// MachineAnswer is what an order about an instance led to.
type MachineAnswer int

// Answers to orders about an instance.
const (
	// MachineUnknown means that the order may have been carried out.
	MachineUnknown MachineAnswer = iota
	MachineDone
	// MachineFenced means that a later owner has given an order for the instance.
	MachineFenced
	// MachineBusy means that the instance is not up.
	MachineBusy
	// MachineRefused means that the order is not possible.
	MachineRefused
	// MachineLimited means that the platform takes no orders now.
	MachineLimited
)

// String returns the answer as it is shown in logs.
func (a MachineAnswer) String() string {
	return [...]string{"unknown", "done", "fenced", "busy", "refused", "limited"}[a]
}
