package command

import (
	"fmt"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// Command is a statement that changes the configuration.
type Command interface {
	fmt.Stringer
	// Steps returns the command as steps of a change.
	Steps() (steps []fleet.Command)
}

// CreatePool creates a pool.
type CreatePool struct {
	Name   Name   `parser:"'create' 'pool' @@"`
	Budget Number `parser:"'budget' @@"`
	Spare  bool   `parser:"@'spare'?"`
}

// SetPool changes the budget of a pool.
type SetPool struct {
	Name   Name   `parser:"'set' 'pool' @@"`
	Budget Number `parser:"'budget' @@"`
}

// CreateMember creates a member; a nil field gets its default.
type CreateMember struct {
	Name    Name    `parser:"'create' 'member' @@"`
	Cap     Number  `parser:"'cap' @@"`
	Share   *Number `parser:"('share' @@)?"`
	Minimum *Number `parser:"('minimum' @@)?"`
}

// SetMember changes a member; at least one field is set, and a nil field stays
// as it is.
type SetMember struct {
	Name    Name    `parser:"'set' 'member' @@ (?= 'cap' | 'share' | 'minimum')"`
	Cap     *Number `parser:"('cap' @@)?"`
	Share   *Number `parser:"('share' @@)?"`
	Minimum *Number `parser:"('minimum' @@)?"`
}

// AddInstance puts a new instance into a pool.
type AddInstance struct {
	Name       Name    `parser:"'add' 'instance' @@"`
	Address    Address `parser:"'address' @@"`
	DataCentre Name    `parser:"'dataCentre' @@"`
	Rack       Name    `parser:"'rack' @@"`
	Slots      Number  `parser:"'slots' @@"`
	Pool       Name    `parser:"'pool' @@"`
}

// DropInstance removes an instance.
type DropInstance struct {
	Instance Name `parser:"'drop' 'instance' @@"`
}

// Move starts to move instances to another pool.
type Move struct {
	Instances Names `parser:"'move' @@"`
	Pool      Name  `parser:"'to' @@"`
}

// CancelMove returns a releasing instance to its pool.
type CancelMove struct {
	Instance Name `parser:"'cancel' 'move' @@"`
}

// CancelDrain cancels a drain whose reboot has not begun.
type CancelDrain struct {
	Instance Name `parser:"'cancel' 'drain' @@"`
}

// DeclareWave begins planned maintenance of every instance of the pools.
type DeclareWave struct {
	Name  Name  `parser:"'declare' 'wave' @@"`
	Pools Names `parser:"'for' @@"`
	Until *Time `parser:"('until' @@)?"`
}

// WaveAction is what an operator does to a declared wave.
type WaveAction string

// Actions on a wave.
const (
	Pause  WaveAction = "pause"
	Resume WaveAction = "resume"
	End    WaveAction = "end"
)

// ChangeWave pauses, resumes or ends a wave.
type ChangeWave struct {
	Action WaveAction `parser:"@('pause' | 'resume' | 'end') 'wave'"`
	Wave   Name       `parser:"@@"`
}

// Steps returns the command as steps of a change.
func (c CreatePool) Steps() (steps []fleet.Command) {
	return []fleet.Command{{SetPool: &fleet.SetPool{
		Name: string(c.Name), Precondition: fleet.MustNotExist, Budget: intPointer(&c.Budget), Spare: &c.Spare,
	}}}
}

// Steps returns the command as steps of a change.
func (c SetPool) Steps() (steps []fleet.Command) {
	return []fleet.Command{{SetPool: &fleet.SetPool{Name: string(c.Name), Precondition: fleet.MustExist, Budget: intPointer(&c.Budget)}}}
}

// Steps returns the command as steps of a change.
func (c CreateMember) Steps() (steps []fleet.Command) {
	return []fleet.Command{{SetMember: &fleet.SetMember{
		Name: string(c.Name), Precondition: fleet.MustNotExist,
		Cap: intPointer(&c.Cap), Share: intPointer(c.Share), Minimum: intPointer(c.Minimum),
	}}}
}

// Steps returns the command as steps of a change.
func (c SetMember) Steps() (steps []fleet.Command) {
	return []fleet.Command{{SetMember: &fleet.SetMember{
		Name: string(c.Name), Precondition: fleet.MustExist,
		Cap: intPointer(c.Cap), Share: intPointer(c.Share), Minimum: intPointer(c.Minimum),
	}}}
}

// Steps returns the command as steps of a change.
func (c AddInstance) Steps() (steps []fleet.Command) {
	return []fleet.Command{{AddInstance: &fleet.AddInstance{
		Name:       string(c.Name),
		DataCentre: string(c.DataCentre),
		Rack:       string(c.Rack),
		Address:    string(c.Address),
		Slots:      int(c.Slots),
		Pool:       string(c.Pool),
	}}}
}

// Steps returns the command as steps of a change.
func (c DropInstance) Steps() (steps []fleet.Command) {
	return []fleet.Command{{DropInstance: &fleet.DropInstance{Name: string(c.Instance)}}}
}

// Steps returns the command as steps of a change.
func (c Move) Steps() (steps []fleet.Command) {
	for _, i := range c.Instances.Values {
		steps = append(steps, fleet.Command{StartMove: &fleet.StartMove{Instance: string(i), Pool: string(c.Pool)}})
	}
	return steps
}

// Steps returns the command as steps of a change.
func (c CancelMove) Steps() (steps []fleet.Command) {
	return []fleet.Command{{CancelMove: &fleet.CancelMove{Instance: string(c.Instance)}}}
}

// Steps returns the command as steps of a change.
func (c CancelDrain) Steps() (steps []fleet.Command) {
	return []fleet.Command{{CancelDrain: &fleet.CancelDrain{Instance: string(c.Instance)}}}
}

// Steps returns the command as steps of a change.
func (c DeclareWave) Steps() (steps []fleet.Command) {
	wave := &fleet.DeclareWave{Name: string(c.Name)}
	for _, p := range c.Pools.Values {
		wave.Pools = append(wave.Pools, string(p))
	}
	if c.Until != nil {
		wave.Until = time.Time(*c.Until)
	}
	return []fleet.Command{{DeclareWave: wave}}
}

// Steps returns the command as steps of a change.
func (c ChangeWave) Steps() (steps []fleet.Command) {
	states := map[WaveAction]fleet.WaveState{
		Pause:  fleet.WavePaused,
		Resume: fleet.WaveRunning,
		End:    fleet.WaveEnded,
	}
	return []fleet.Command{{SetWave: &fleet.SetWave{Name: string(c.Wave), State: states[c.Action]}}}
}

func intPointer(n *Number) *int {
	if n == nil {
		return nil
	}
	value := int(*n)
	return &value
}

// String returns the statement in the language.
func (c CreatePool) String() string {
	text := fmt.Sprintf("create pool %s budget %d", c.Name, c.Budget)
	if c.Spare {
		text += " spare"
	}
	return text
}

// String returns the statement in the language.
func (c SetPool) String() string {
	return fmt.Sprintf("set pool %s budget %d", c.Name, c.Budget)
}

// String returns the statement in the language.
func (c CreateMember) String() string {
	return fmt.Sprintf("create member %s", c.Name) + formatLimits(&c.Cap, c.Share, c.Minimum)
}

// String returns the statement in the language.
func (c SetMember) String() string {
	return fmt.Sprintf("set member %s", c.Name) + formatLimits(c.Cap, c.Share, c.Minimum)
}

func formatLimits(limit, share, minimum *Number) (text string) {
	for _, f := range []struct {
		word  string
		value *Number
	}{{"cap", limit}, {"share", share}, {"minimum", minimum}} {
		if f.value != nil {
			text += fmt.Sprintf(" %s %d", f.word, *f.value)
		}
	}
	return text
}

// String returns the statement in the language.
func (c AddInstance) String() string {
	return fmt.Sprintf("add instance %s address %s dataCentre %s rack %s slots %d pool %s",
		c.Name, c.Address, c.DataCentre, c.Rack, c.Slots, c.Pool)
}

// String returns the statement in the language.
func (c DropInstance) String() string {
	return fmt.Sprintf("drop instance %s", c.Instance)
}

// String returns the statement in the language.
func (c Move) String() string {
	return fmt.Sprintf("move %s to %s", c.Instances, c.Pool)
}

// String returns the statement in the language.
func (c CancelMove) String() string {
	return fmt.Sprintf("cancel move %s", c.Instance)
}

// String returns the statement in the language.
func (c CancelDrain) String() string {
	return fmt.Sprintf("cancel drain %s", c.Instance)
}

// String returns the statement in the language.
func (c DeclareWave) String() string {
	text := fmt.Sprintf("declare wave %s for %s", c.Name, c.Pools)
	if c.Until != nil {
		text += " until " + c.Until.String()
	}
	return text
}

// String returns the statement in the language.
func (c ChangeWave) String() string {
	return fmt.Sprintf("%s wave %s", c.Action, c.Wave)
}
