package fleet

import "time"

// Phase is where an instance stands between serving and maintenance.
type Phase string

// Phases of an instance; only a serving instance gets new work.
const (
	Serving   Phase = "serving"
	Draining  Phase = "draining"
	Releasing Phase = "releasing"
)

// WaveState is where a declared maintenance wave stands.
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
	// Budget is how many instances may be unavailable at once.
	Budget int `json:"budget"`
	// Spare marks the pool whose instances take the overflow of all members.
	Spare bool `json:"spare,omitempty"`
}

// Member is a service that shares the fleet under a cap.
type Member struct {
	Name string `json:"name"`
	// Cap is the most slots that the member may use at once in the whole fleet.
	Cap int `json:"cap"`
	// Share is the member's weight where slots are scarce; zero counts as one.
	Share int `json:"share,omitempty"`
	// Minimum is how many slots the member always gets when it asks for them.
	Minimum int `json:"minimum,omitempty"`
}

// Instance is a worker of the fleet.
type Instance struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	Rack       string `json:"rack"`
	// Address is the IP number and port of the endpoint on the instance.
	Address string `json:"address"`
	// Slots is how many tasks of size one the instance runs at once.
	Slots int    `json:"slots"`
	Pool  string `json:"pool"`
	Phase Phase  `json:"phase"`
	// Failed is set while the instance is seen to be down; it counts against
	// the pool's budget as a drain does.
	Failed bool `json:"failed,omitempty"`
	// NextPool is where a releasing instance goes.
	NextPool string `json:"nextPool,omitempty"`
	// Wave is the maintenance wave that a draining instance belongs to.
	Wave string `json:"wave,omitempty"`
	// Rebooting is set once the reboot of a draining instance has begun.
	Rebooting bool `json:"rebooting,omitempty"`
	// Maintained is the last wave that the instance came back from.
	Maintained string `json:"maintained,omitempty"`
	// Moved is the version of the end of the last move; zero means none.
	Moved int64 `json:"moved,omitempty"`
	// Since is the version of the last change of Pool or Phase.
	Since int64 `json:"since"`
}

// Wave is a planned maintenance of the instances of some pools.
type Wave struct {
	Name  string    `json:"name"`
	Pools []string  `json:"pools"`
	State WaveState `json:"state"`
	// Until is when the wave ends even if instances remain; zero means never.
	Until time.Time `json:"until,omitzero"`
	// Reason says why the wave halted.
	Reason string `json:"reason,omitempty"`
}

// Fate is the result of a change that was read from the log.
type Fate struct {
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
	// Fates are the results of the last changes, oldest first.
	Fates []Fate `json:"fates"`
}
