package fleet

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/go-faster/errors"
)

const (
	// maxNameBytes is the longest name of a pool, member, instance, rack, data
	// centre or wave, and the longest change ID and author, in bytes.
	maxNameBytes = 64
	// maxReasonBytes is the longest reason of a wave's state, in bytes.
	maxReasonBytes = 256
)

// ErrMalformed means that a change does not have the form that entries write to
// the log.
var ErrMalformed = errors.New("fleet: malformed change")

// Check returns ErrMalformed if the ID or the author is invalid, or if there is no
// command or one that has not exactly one field set.
func (c Change) Check() (err error) {
	if !isIdentifier(c.ID) || c.ID == "" {
		return errors.Wrapf(ErrMalformed, "ID %.80q is not 1 to %d printable ASCII characters", c.ID, maxNameBytes)
	}
	if !isIdentifier(c.Author) {
		return errors.Wrapf(ErrMalformed, "author %.80q is not at most %d printable ASCII characters", c.Author, maxNameBytes)
	}
	if len(c.Commands) == 0 {
		return errors.Wrapf(ErrMalformed, "change %q has no command", c.ID)
	}
	for i, o := range c.Commands {
		if n := len(o.operations()); n != 1 {
			return errors.Wrapf(ErrMalformed, "command %d of change %q has %d fields set, not 1", i+1, c.ID, n)
		}
	}
	return nil
}

func isIdentifier(text string) bool {
	unprintable := func(r rune) bool { return r <= ' ' || r > '~' }
	return len(text) <= maxNameBytes && !strings.ContainsFunc(text, unprintable)
}

// operation is the part of a Command that is applied to a draft.
type operation interface {
	// commandAndObject returns the name of the command and of the object that it
	// changes.
	commandAndObject() (command, object string)
	// applyTo changes the draft, or returns why the command is refused.
	applyTo(d *draft) (reason string)
}

// operations returns the fields that are set; a valid command has exactly one.
func (c Command) operations() (set []operation) {
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
	operation
}](set []operation, command P) []operation {
	if command == nil {
		return set
	}
	return append(set, command)
}

// checkName returns why the name is invalid; what is the kind of name.
func checkName(what, name string) (reason string) {
	invalid := func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '.' && r != '-'
	}
	if name == "" || len(name) > maxNameBytes || strings.ContainsFunc(name, invalid) {
		return fmt.Sprintf("%s %.80q is not 1 to %d characters of [a-z0-9.-]", what, name, maxNameBytes)
	}
	return ""
}

func checkNotNegative(what string, value int) (reason string) {
	if value < 0 {
		return fmt.Sprintf("%s is %d, below 0", what, value)
	}
	return ""
}

// check returns why the precondition is not met or is invalid itself.
func (p Precondition) check(exists bool) (reason string) {
	switch {
	case p == MustNotExist && exists:
		return "already exists"
	case p == MustExist && !exists:
		return "does not exist"
	case p != NoPrecondition && p != MustNotExist && p != MustExist:
		return fmt.Sprintf("requirement %.80q is not absent or present", string(p))
	}
	return ""
}

// checkAddress requires an IP number and a port, because processes connect
// without name resolution.
func checkAddress(address string) (reason string) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 {
		return fmt.Sprintf("address %.80q is not an IP number and port", address)
	}
	return ""
}

// firstNonEmpty returns the first reason that is not empty, or an empty text.
func firstNonEmpty(reasons ...string) (reason string) {
	for _, r := range reasons {
		if r != "" {
			return r
		}
	}
	return ""
}
