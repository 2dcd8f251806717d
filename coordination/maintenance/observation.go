package maintenance

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// Step is how far the drain of an instance has come, as seen at its endpoint.
type Step string

// Steps of a drain; a drain whose step is unknown is left alone.
const (
	StepUnknown   Step = ""
	StepWaiting   Step = "waiting"   // granted, the endpoint still takes tasks
	StepDrained   Step = "drained"   // the endpoint refuses new tasks
	StepRebooting Step = "rebooting" // the reboot was called and cannot be taken back
)

// Observation is what an entry sees beyond the configuration; the zero value
// plans for the whole fleet without any load.
type Observation struct {
	// DataCentre is where grants may be proposed; empty means everywhere.
	DataCentre string
	// Owned are the pools whose grants this entry proposes; nil means all.
	Owned []string
	// Absent are the data centres that cannot grant now, because no entry of
	// theirs is heard or all of them lag behind; their share goes to the others.
	Absent []string
	// Pools are the loads of pools in DataCentre, by name.
	Pools map[string]PoolLoad
	// Instances are the loads of instances in DataCentre, by name.
	Instances map[string]InstanceLoad
	// Waves is what Follow returned, by name of the wave.
	Waves map[string]Progress
}

// PoolLoad is the load of a pool in one data centre.
type PoolLoad struct {
	Instances int
	FreeSlots int
	// Queued is how many slots the waiting requests ask for.
	Queued int
}

// InstanceLoad is what an entry sees of one instance.
type InstanceLoad struct {
	FreeSlots int
	// InFlight is how many tasks run or are granted.
	InFlight int
	// IdleAt is when the last of these tasks is expected to end.
	IdleAt time.Time
	// Step is set for a draining instance.
	Step Step
	// BackBy is when a rebooted instance has to serve again; zero before the reboot.
	BackBy time.Time
	// Failing is set while the instance answers but fails what it starts.
	Failing bool
	// Leaving is set while the platform plans to take the instance away.
	Leaving bool
}

// Progress is what an entry remembers of a wave between versions.
type Progress struct {
	// State is the wave's state at the version seen last.
	State fleet.WaveState
	// Returned is how many instances had come back well at that version.
	Returned int
	// StepSince is when State or Returned was first seen to have its value.
	StepSince time.Time
	// Base is how many instances had come back well when an operator last
	// resumed the wave; steps grow again from one instance.
	Base int
	// Excused are the instances that were bad when the wave was resumed; they
	// do not halt it again.
	Excused []string
}

// Decision is what to propose next.
type Decision struct {
	Grants []Grant
	// HandBacks are drains to give back unless their reboot was called.
	HandBacks []HandBack
	// Waves are the waves to halt or to end.
	Waves []fleet.SetWave
	// Notes say for each running wave why no more is granted, for operators.
	Notes []Note
}

// Grant is a drain to propose.
type Grant struct {
	Instance string
	Pool     string
	Rack     string
	Wave     string
}

// HandBack is a granted drain to give back.
type HandBack struct {
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
