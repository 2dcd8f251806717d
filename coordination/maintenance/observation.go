package maintenance

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// Step is the progress of the drain of an instance, as observed at its endpoint.
type Step string

// Steps of a drain; a drain whose step is unknown is never given back.
const (
	StepUnknown   Step = ""
	StepWaiting   Step = "waiting"   // granted, the endpoint still takes tasks
	StepDrained   Step = "drained"   // the endpoint refuses new tasks
	StepRebooting Step = "rebooting" // the reboot was requested and cannot be cancelled
)

// Observation is the observed state at an entry. The zero value stands for the
// whole fleet without any load.
type Observation struct {
	// DataCentre is where grants may be proposed; empty means everywhere.
	DataCentre string
	// OwnedPools are the pools whose grants this entry proposes; nil means all.
	OwnedPools []string
	// UnavailableDataCentres are the data centres that cannot grant now, because none of their
	// entries is reachable or all of them lag behind; their part of the grants goes
	// to the others.
	UnavailableDataCentres []string
	// Pools are the loads of pools in DataCentre, by name.
	Pools map[string]PoolObservation
	// Instances are the loads of instances in DataCentre, by name.
	Instances map[string]InstanceObservation
	// Waves is the last result of UpdateProgress, by name of the wave.
	Waves map[string]Progress
}

// PoolObservation is the load of a pool in one data centre.
type PoolObservation struct {
	Instances int
	FreeSlots int
	// Queued is the number of slots that the queued requests need.
	Queued int
}

// InstanceObservation is the observed state of one instance.
type InstanceObservation struct {
	FreeSlots int
	// InFlight is the number of tasks that are running or granted.
	InFlight int
	// IdleAt is when the last of these tasks is expected to end.
	IdleAt time.Time
	// Step is set for a draining instance.
	Step Step
	// RebootDeadline is the deadline for a rebooted instance to serve again; zero before
	// the reboot.
	RebootDeadline time.Time
	// Failing is set while the instance responds but fails the tasks it starts.
	Failing bool
	// Leaving is set while the platform plans to remove the instance.
	Leaving bool
}

// Progress is the state of a wave that an entry keeps between versions.
type Progress struct {
	// State is the state of the wave at the last version.
	State fleet.WaveState
	// HealthyReturns is the number of instances that were back and healthy at that
	// version.
	HealthyReturns int
	// StepSince is when State or HealthyReturns last changed.
	StepSince time.Time
	// HealthyAtResume is the number of instances that were back and healthy when
	// an operator last resumed the halted wave; from there, steps grow from one
	// instance again.
	HealthyAtResume int
	// IgnoredInstances are the instances that were unhealthy when the wave was resumed or
	// first observed; they do not halt it.
	IgnoredInstances []string
}

// Decision is what to propose next.
type Decision struct {
	Grants []Grant
	// Cancellations are the drains to cancel unless their reboot was requested.
	Cancellations []DrainCancellation
	// Waves are the waves to halt or to end.
	Waves []fleet.SetWave
	// Notes tell operators for each running wave why no more drains are granted.
	Notes []Note
}

// Grant is a drain to propose.
type Grant struct {
	Instance string
	Pool     string
	Rack     string
	Wave     string
}

// DrainCancellation is a granted drain to cancel.
type DrainCancellation struct {
	Instance string
	Pool     string
	Reason   string
}

// Note explains the state of a wave in one pool, or in all if Pool is empty.
type Note struct {
	Wave string
	Pool string
	Text string
}
