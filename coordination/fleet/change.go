package fleet

import "time"

// Change is a group of commands that is applied whole or not at all.
type Change struct {
	// ID identifies the change; a repeated ID has the fate of the first.
	ID       string    `json:"id"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Commands []Command `json:"commands"`
}

// Command is one step of a change; exactly one field is set.
type Command struct {
	SetPool      *SetPool      `json:"setPool,omitempty"`
	SetMember    *SetMember    `json:"setMember,omitempty"`
	AddInstance  *AddInstance  `json:"addInstance,omitempty"`
	DropInstance *DropInstance `json:"dropInstance,omitempty"`
	StartMove    *StartMove    `json:"startMove,omitempty"`
	FinishMove   *FinishMove   `json:"finishMove,omitempty"`
	CancelMove   *CancelMove   `json:"cancelMove,omitempty"`
	DeclareWave  *DeclareWave  `json:"declareWave,omitempty"`
	SetWave      *SetWave      `json:"setWave,omitempty"`
	GrantDrain   *GrantDrain   `json:"grantDrain,omitempty"`
	FinishDrain  *FinishDrain  `json:"finishDrain,omitempty"`
	CancelDrain  *CancelDrain  `json:"cancelDrain,omitempty"`
	StartReboot  *StartReboot  `json:"startReboot,omitempty"`
	MarkFailed   *MarkFailed   `json:"markFailed,omitempty"`
	MarkAlive    *MarkAlive    `json:"markAlive,omitempty"`
}

// Existence is what a command requires of the object that it sets.
type Existence string

// Requirements on the object; two operators who create the same name race at the
// log, where the second is refused.
const (
	AnyExistence  Existence = ""
	MustBeAbsent  Existence = "absent"
	MustBePresent Existence = "present"
)

// SetPool creates a pool or changes its budget; nil fields stay as they are.
type SetPool struct {
	Name string `json:"name"`
	// When is whether the pool must be new or known.
	When   Existence `json:"when,omitempty"`
	Budget *int      `json:"budget,omitempty"`
	Spare  *bool     `json:"spare,omitempty"`
}

// SetMember creates a member or changes its cap; nil fields stay as they are.
type SetMember struct {
	Name string `json:"name"`
	// When is whether the member must be new or known.
	When    Existence `json:"when,omitempty"`
	Cap     *int      `json:"cap,omitempty"`
	Share   *int      `json:"share,omitempty"`
	Minimum *int      `json:"minimum,omitempty"`
}

// AddInstance puts a new instance into a pool.
type AddInstance struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	Rack       string `json:"rack"`
	Address    string `json:"address"`
	Slots      int    `json:"slots"`
	Pool       string `json:"pool"`
}

// DropInstance removes an instance that is drained or failed.
type DropInstance struct {
	Name string `json:"name"`
}

// StartMove begins to release an instance from its pool.
type StartMove struct {
	Instance string `json:"instance"`
	Pool     string `json:"pool"`
}

// FinishMove puts a released instance into its next pool.
type FinishMove struct {
	Instance string `json:"instance"`
}

// CancelMove returns a releasing instance to its pool.
type CancelMove struct {
	Instance string `json:"instance"`
}

// DeclareWave begins planned maintenance of every instance of the pools.
type DeclareWave struct {
	Name  string    `json:"name"`
	Pools []string  `json:"pools"`
	Until time.Time `json:"until,omitzero"`
}

// SetWave pauses, resumes, halts or ends a wave.
type SetWave struct {
	Name   string    `json:"name"`
	State  WaveState `json:"state"`
	Reason string    `json:"reason,omitempty"`
}

// GrantDrain spends one of the pool's budget to drain an instance.
type GrantDrain struct {
	Instance string `json:"instance"`
	Wave     string `json:"wave"`
}

// FinishDrain gives the budget back once the instance is seen serving again.
type FinishDrain struct {
	Instance string `json:"instance"`
}

// StartReboot records that a drained instance is about to reboot; the grant can
// no longer be given back, because the instance would count as available while
// it is down.
type StartReboot struct {
	Instance string `json:"instance"`
}

// CancelDrain gives back a grant whose reboot has not begun.
type CancelDrain struct {
	Instance string `json:"instance"`
}

// MarkFailed records that an instance is seen to be down.
type MarkFailed struct {
	Instance string `json:"instance"`
}

// MarkAlive records that a failed instance is seen serving again.
type MarkAlive struct {
	Instance string `json:"instance"`
}
