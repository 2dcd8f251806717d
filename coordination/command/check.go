package command

import (
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// CheckNames returns an error when a command creates a pool or member that the
// state already has, or sets one that it does not have. The steps of a change
// make no such difference, and a misspelt name would create a pool.
func (t Text) CheckNames(s *fleet.State) (err error) {
	pools := make(map[Name]bool)
	members := make(map[Name]bool)
	for name := range s.Pools {
		pools[Name(name)] = true
	}
	for name := range s.Members {
		members[Name(name)] = true
	}
	for _, c := range t.Commands {
		switch c := c.(type) {
		case CreatePool:
			err = create(pools, "pool", c.Name)
		case SetPool:
			err = set(pools, "pool", c.Name)
		case CreateMember:
			err = create(members, "member", c.Name)
		case SetMember:
			err = set(members, "member", c.Name)
		}
		if err != nil {
			return errors.Wrapf(err, "command: %s", c)
		}
	}
	return nil
}

func create(known map[Name]bool, kind string, n Name) (err error) {
	if known[n] {
		return errors.Errorf("%s %q already exists", kind, n)
	}
	known[n] = true
	return nil
}

func set(known map[Name]bool, kind string, n Name) (err error) {
	if !known[n] {
		return errors.Errorf("%s %q does not exist", kind, n)
	}
	return nil
}
