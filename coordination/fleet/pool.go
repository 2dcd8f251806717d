package fleet

import "fmt"

func (c *SetPool) subject() (command, object string) { return "setPool", c.Name }

// apply accepts a budget below what is in use; it only stops further grants.
func (c *SetPool) apply(d *draft) (reason string) {
	p, known := d.Pools[c.Name]
	p.Name = c.Name
	if c.Budget != nil {
		p.Budget = *c.Budget
	}
	if c.Spare != nil {
		p.Spare = *c.Spare
	}
	reason = firstOf(
		checkName("name", c.Name),
		c.When.check(known),
		checkNotNegative("budget", p.Budget),
		d.whyNotSpare(p),
	)
	if reason == "" {
		d.putPool(p)
	}
	return reason
}

// whyNotSpare keeps at most one spare pool, because the overflow of all members
// goes to a single one.
func (d *draft) whyNotSpare(p Pool) (reason string) {
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

func (c *SetMember) subject() (command, object string) { return "setMember", c.Name }

func (c *SetMember) apply(d *draft) (reason string) {
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
	reason = firstOf(
		checkName("name", c.Name),
		c.When.check(known),
		checkNotNegative("cap", m.Cap),
		checkNotNegative("share", m.Share),
		checkNotNegative("minimum", m.Minimum),
		m.whyNotMinimum(),
	)
	if reason == "" {
		d.putMember(m)
	}
	return reason
}

// whyNotMinimum holds the minimum of a member within its cap. The sum over the
// members is not limited: the slots of the fleet change with every failure, and
// the shares are scaled to what there is.
func (m Member) whyNotMinimum() (reason string) {
	if m.Minimum > m.Cap {
		return fmt.Sprintf("minimum %d is above cap %d", m.Minimum, m.Cap)
	}
	return ""
}
