package fleet

import "time"

// Phase is whether an instance serves, drains for maintenance or leaves its pool.
type Phase string

// Phases of an instance; only a serving instance gets new work.
const (
	Serving   Phase = "serving"
	Draining  Phase = "draining"
	Releasing Phase = "releasing"
)

// WaveState is the state of a declared maintenance wave.
type WaveState string

// States of a wave; only a running wave gets new drain grants.
const (
	WaveRunning WaveState = "running"
	WavePaused  WaveState = "paused"
	WaveHalted  WaveState = "halted"
	WaveEnded   WaveState = "ended"
)

// Pool is a group of instances that serve the same kind of work.
type Pool struct {
	Name string `json:"name"`
	// Budget is the number of instances that may be unavailable at once.
	Budget int `json:"budget"`
	// Spare marks the spare pool, which runs the overflow of all members.
	Spare bool `json:"spare,omitempty"`
}

// Member is a service that shares the fleet under a cap.
type Member struct {
	Name string `json:"name"`
	// Cap is the maximum number of slots that the member may use at once in the
	// whole fleet.
	Cap int `json:"cap"`
	// Share is the weight of the member when slots are scarce; zero counts as one.
	Share int `json:"share,omitempty"`
	// Minimum is the number of slots that the member always gets on request.
	Minimum int `json:"minimum,omitempty"`
}

// Instance is a worker of the fleet.
type Instance struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	Rack       string `json:"rack"`
	// Address is the IP number and port of the endpoint on the instance.
	Address string `json:"address"`
	// Slots is the number of tasks of size one that the instance runs at once.
	Slots int    `json:"slots"`
	Pool  string `json:"pool"`
	Phase Phase  `json:"phase"`
	// Failed is set while the instance is observed to be down; it counts against
	// the budget of the pool as a drain does.
	Failed bool `json:"failed,omitempty"`
	// NextPool is the pool that a releasing instance moves to.
	NextPool string `json:"nextPool,omitempty"`
	// Wave is the maintenance wave that a draining instance belongs to.
	Wave string `json:"wave,omitempty"`
	// Rebooting is set once the reboot of a draining instance has begun.
	Rebooting bool `json:"rebooting,omitempty"`
	// RebootingFrom is the incarnation of the endpoint that its reboot ends, so that an
	// entry which has not observed the reboot can tell whether it is over. Zero means
	// unknown.
	RebootingFrom int64 `json:"rebootingFrom,omitempty"`
	// CompletedWave is the last wave whose maintenance the instance has finished.
	CompletedWave string `json:"maintained,omitempty"`
	// MovedVersion is the version at which the last move finished; zero means none.
	MovedVersion int64 `json:"moved,omitempty"`
	// PhaseVersion is the version of the last change of Pool or Phase.
	PhaseVersion int64 `json:"since"`
}

// Wave is planned maintenance of the instances of some pools.
type Wave struct {
	Name  string    `json:"name"`
	Pools []string  `json:"pools"`
	State WaveState `json:"state"`
	// Until is the time at which the wave ends even if instances remain; zero
	// means no limit.
	Until time.Time `json:"until,omitzero"`
	// Reason says why the wave has its state, such as why it was halted.
	Reason string `json:"reason,omitempty"`
}

// ChangeResult is the result of a change that was read from the log.
type ChangeResult struct {
	ID    string `json:"id"`
	Index int64  `json:"index"`
	// Refusal says why the change was refused; empty means applied.
	Refusal string `json:"refusal,omitempty"`
}

// State is the configuration after all changes up to Version.
type State struct {
	Version   int64               `json:"version"`
	Pools     map[string]Pool     `json:"pools"`
	Members   map[string]Member   `json:"members"`
	Instances map[string]Instance `json:"instances"`
	Waves     map[string]Wave     `json:"waves"`
	// Results holds the results of the last MaxChangeResults changes, oldest first.
	Results []ChangeResult `json:"fates"`
}
