package fleet

import "fmt"

func (c *SetPool) commandAndObject() (command, object string) { return "setPool", c.Name }

// applyTo accepts a budget below the current number of unavailable instances; it
// only prevents further grants.
func (c *SetPool) applyTo(d *draft) (reason string) {
	p, known := d.Pools[c.Name]
	p.Name = c.Name
	if c.Budget != nil {
		p.Budget = *c.Budget
	}
	if c.Spare != nil {
		p.Spare = *c.Spare
	}
	reason = firstNonEmpty(
		checkName("name", c.Name),
		c.Precondition.check(known),
		checkNotNegative("budget", p.Budget),
		d.checkOnlySpare(p),
	)
	if reason == "" {
		d.putPool(p)
	}
	return reason
}

// checkOnlySpare refuses a second spare pool, because the overflow of all members
// goes to a single one.
func (d *draft) checkOnlySpare(p Pool) (reason string) {
	if !p.Spare {
		return ""
	}
	for name, o := range d.Pools {
		if o.Spare && name != p.Name {
			return fmt.Sprintf("pool %q is already the spare pool, and there can be 1", name)
		}
	}
	return ""
}

func (c *SetMember) commandAndObject() (command, object string) { return "setMember", c.Name }

func (c *SetMember) applyTo(d *draft) (reason string) {
	m, known := d.Members[c.Name]
	m.Name = c.Name
	if c.Cap != nil {
		m.Cap = *c.Cap
	}
	if c.Share != nil {
		m.Share = *c.Share
	}
	if c.Minimum != nil {
		m.Minimum = *c.Minimum
	}
	reason = firstNonEmpty(
		checkName("name", c.Name),
		c.Precondition.check(known),
		checkNotNegative("cap", m.Cap),
		checkNotNegative("share", m.Share),
		checkNotNegative("minimum", m.Minimum),
		m.checkMinimum(),
	)
	if reason == "" {
		d.putMember(m)
	}
	return reason
}

// checkMinimum refuses a minimum above the cap of the member. The sum over all
// members is not limited, because the number of slots in the fleet changes with
// every failure and the shares are scaled to the available slots.
func (m Member) checkMinimum() (reason string) {
	if m.Minimum > m.Cap {
		return fmt.Sprintf("minimum %d is above cap %d", m.Minimum, m.Cap)
	}
	return ""
}
