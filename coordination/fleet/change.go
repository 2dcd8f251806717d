package fleet

import "time"

// Change is a group of commands that are applied together or not at all.
type Change struct {
	// ID identifies the change; a change with a repeated ID is not applied again
	// and has the result of the first.
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

// Precondition says whether the object that a command sets must exist already.
type Precondition string

// Preconditions on an object. If two operators create the same name at once, the
// change that comes second in the log is refused.
const (
	NoPrecondition Precondition = ""
	MustNotExist   Precondition = "absent"
	MustExist      Precondition = "present"
)

// SetPool creates a pool or changes its budget; nil fields stay as they are.
type SetPool struct {
	Name string `json:"name"`
	// Precondition says whether the pool must be new or must exist.
	Precondition Precondition `json:"when,omitempty"`
	Budget       *int         `json:"budget,omitempty"`
	Spare        *bool        `json:"spare,omitempty"`
}

// SetMember creates a member or changes its cap, share or minimum; nil fields stay
// as they are.
type SetMember struct {
	Name string `json:"name"`
	// Precondition says whether the member must be new or must exist.
	Precondition Precondition `json:"when,omitempty"`
	Cap          *int         `json:"cap,omitempty"`
	Share        *int         `json:"share,omitempty"`
	Minimum      *int         `json:"minimum,omitempty"`
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

// DropInstance removes an instance that is draining or failed.
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

// GrantDrain starts to drain an instance, which uses one unit of the pool's budget.
type GrantDrain struct {
	Instance string `json:"instance"`
	Wave     string `json:"wave"`
}

// FinishDrain frees the budget once the instance is observed serving again.
type FinishDrain struct {
	Instance string `json:"instance"`
	// Incarnation is the one in which the endpoint was observed serving. It has to be
	// above the one that the reboot was recorded with, if any.
	Incarnation int64 `json:"incarnation,omitempty"`
}

// StartReboot records that a drained instance is about to reboot. From then on
// the drain cannot be cancelled, because the instance would count as available
// while it is down.
type StartReboot struct {
	Instance string `json:"instance"`
	// Incarnation is the one that is about to end; zero means unknown.
	Incarnation int64 `json:"incarnation,omitempty"`
}

// CancelDrain cancels a drain whose reboot has not begun and frees its budget.
type CancelDrain struct {
	Instance string `json:"instance"`
}

// MarkFailed records that an instance was observed to be down.
type MarkFailed struct {
	Instance string `json:"instance"`
}

// MarkAlive records that a failed instance was observed serving again.
type MarkAlive struct {
	Instance string `json:"instance"`
}
