package fleet

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/go-faster/errors"
)

const (
	// maxName is the longest name of a pool, member, instance, rack, data
	// centre or wave, and the longest change ID and author, in bytes.
	maxName = 64
	// maxReason is the longest reason of a wave's state, in bytes.
	maxReason = 256
)

// ErrMalformed means that a change is not one that any entry writes to the log.
var ErrMalformed = errors.New("fleet: malformed change")

// Check returns ErrMalformed if the change has no usable ID or author, has no
// command, or has a command without exactly one field.
func (c Change) Check() (err error) {
	if !isToken(c.ID) || c.ID == "" {
		return errors.Wrapf(ErrMalformed, "ID %.80q is not 1 to %d printable ASCII characters", c.ID, maxName)
	}
	if !isToken(c.Author) {
		return errors.Wrapf(ErrMalformed, "author %.80q is not at most %d printable ASCII characters", c.Author, maxName)
	}
	if len(c.Commands) == 0 {
		return errors.Wrapf(ErrMalformed, "change %q has no command", c.ID)
	}
	for i, o := range c.Commands {
		if n := len(o.steps()); n != 1 {
			return errors.Wrapf(ErrMalformed, "command %d of change %q has %d fields set, not 1", i+1, c.ID, n)
		}
	}
	return nil
}

func isToken(text string) bool {
	unprintable := func(r rune) bool { return r <= ' ' || r > '~' }
	return len(text) <= maxName && !strings.ContainsFunc(text, unprintable)
}

// step is a command that can be applied to a draft.
type step interface {
	// subject returns the command's name and the name of what it changes.
	subject() (command, object string)
	// apply changes the draft or returns why the command is refused.
	apply(d *draft) (reason string)
}

// steps returns the fields that are set; a well-formed command has one.
func (c Command) steps() (set []step) {
	set = appendSet(set, c.SetPool)
	set = appendSet(set, c.SetMember)
	set = appendSet(set, c.AddInstance)
	set = appendSet(set, c.DropInstance)
	set = appendSet(set, c.StartMove)
	set = appendSet(set, c.FinishMove)
	set = appendSet(set, c.CancelMove)
	set = appendSet(set, c.DeclareWave)
	set = appendSet(set, c.SetWave)
	set = appendSet(set, c.GrantDrain)
	set = appendSet(set, c.FinishDrain)
	set = appendSet(set, c.CancelDrain)
	set = appendSet(set, c.StartReboot)
	set = appendSet(set, c.MarkFailed)
	return appendSet(set, c.MarkAlive)
}

func appendSet[T any, P interface {
	*T
	step
}](set []step, command P) []step {
	if command == nil {
		return set
	}
	return append(set, command)
}

// checkName returns why the text cannot be a name; what says whose name it is.
func checkName(what, name string) (reason string) {
	foreign := func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '.' && r != '-'
	}
	if name == "" || len(name) > maxName || strings.ContainsFunc(name, foreign) {
		return fmt.Sprintf("%s %.80q is not 1 to %d characters of [a-z0-9.-]", what, name, maxName)
	}
	return ""
}

func checkNotNegative(what string, value int) (reason string) {
	if value < 0 {
		return fmt.Sprintf("%s is %d, below 0", what, value)
	}
	return ""
}

// check returns why an object that is known or not does not meet the requirement.
func (e Existence) check(known bool) (reason string) {
	switch {
	case e == MustBeAbsent && known:
		return "already exists"
	case e == MustBePresent && !known:
		return "does not exist"
	case e != AnyExistence && e != MustBeAbsent && e != MustBePresent:
		return fmt.Sprintf("requirement %.80q is not absent or present", string(e))
	}
	return ""
}

// checkAddress requires an IP number and a port, because processes connect
// without looking names up.
func checkAddress(address string) (reason string) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 {
		return fmt.Sprintf("address %.80q is not an IP number and port", address)
	}
	return ""
}

// firstOf returns the first reason that is not empty.
func firstOf(reasons ...string) (reason string) {
	for _, r := range reasons {
		if r != "" {
			return r
		}
	}
	return ""
}
