package fleet

import "fmt"

func (c *AddInstance) subject() (command, object string) { return "addInstance", c.Name }

func (c *AddInstance) apply(d *draft) (reason string) {
	if reason = c.check(); reason != "" {
		return reason
	}
	if i, known := d.Instances[c.Name]; known {
		return fmt.Sprintf("instance already exists in pool %q", i.Pool)
	}
	if _, known := d.Pools[c.Pool]; !known {
		return unknown("pool", c.Pool)
	}
	if holder, taken := d.holder(c.Address); taken {
		return fmt.Sprintf("address %s belongs to instance %q", c.Address, holder)
	}
	d.putInstance(Instance{
		Name:       c.Name,
		DataCentre: c.DataCentre,
		Rack:       c.Rack,
		Address:    c.Address,
		Slots:      c.Slots,
		Pool:       c.Pool,
		Phase:      Serving,
		Since:      d.Version,
	})
	d.holders[c.Address] = c.Name
	return ""
}

func (c *AddInstance) check() (reason string) {
	if c.Slots < 1 {
		reason = fmt.Sprintf("slots is %d, below 1", c.Slots)
	}
	return firstOf(
		checkName("name", c.Name),
		checkName("data centre", c.DataCentre),
		checkName("rack", c.Rack),
		checkAddress(c.Address),
		reason,
	)
}

// holder returns the instance at an address; two instances at one address would
// be one endpoint in two pools.
func (d *draft) holder(address string) (name string, taken bool) {
	if d.holders == nil {
		d.holders = make(map[string]string, len(d.Instances))
		for _, i := range d.Instances {
			d.holders[i.Address] = i.Name
		}
	}
	name, taken = d.holders[address]
	return name, taken
}

func (c *DropInstance) subject() (command, object string) { return "dropInstance", c.Name }

// apply refuses a serving or releasing instance that has not failed: its pool
// would lose capacity that no budget was spent on.
func (c *DropInstance) apply(d *draft) (reason string) {
	i, known := d.Instances[c.Name]
	if !known {
		return unknown("instance", c.Name)
	}
	if !i.Failed && i.Phase != Draining {
		return fmt.Sprintf("instance is %s, and only a draining or failed one may be dropped", i.Phase)
	}
	d.deleteInstance(c.Name)
	delete(d.holders, i.Address)
	d.leftPool(i.Pool)
	return ""
}

func (c *StartMove) subject() (command, object string) { return "startMove", c.Instance }

func (c *StartMove) apply(d *draft) (reason string) {
	if reason = d.WhyNotMove(c.Instance, c.Pool); reason != "" {
		return reason
	}
	i := d.Instances[c.Instance]
	i.Phase = Releasing
	i.NextPool = c.Pool
	i.Since = d.Version
	d.putInstance(i)
	return ""
}

func (c *FinishMove) subject() (command, object string) { return "finishMove", c.Instance }

// apply refuses a failed instance, which would spend budget of its next pool
// without a check.
func (c *FinishMove) apply(d *draft) (reason string) {
	i, reason := d.inPhase(c.Instance, Releasing)
	if reason != "" {
		return reason
	}
	if i.Failed {
		return fmt.Sprintf("instance is failed and stays in pool %q", i.Pool)
	}
	from := i.Pool
	i.Pool = i.NextPool
	i.Moved = d.Version
	i.NextPool = ""
	i.Phase = Serving
	i.Since = d.Version
	d.putInstance(i)
	d.leftPool(from)
	return ""
}

func (c *CancelMove) subject() (command, object string) { return "cancelMove", c.Instance }

func (c *CancelMove) apply(d *draft) (reason string) {
	i, reason := d.inPhase(c.Instance, Releasing)
	if reason != "" {
		return reason
	}
	i.NextPool = ""
	i.Phase = Serving
	i.Since = d.Version
	d.putInstance(i)
	return ""
}

func (c *MarkFailed) subject() (command, object string) { return "markFailed", c.Instance }

// apply accepts an instance that is marked already, so that one of several
// failures reported together does not hide the others.
func (c *MarkFailed) apply(d *draft) (reason string) {
	return d.setFailed(c.Instance, true)
}

func (c *MarkAlive) subject() (command, object string) { return "markAlive", c.Instance }

func (c *MarkAlive) apply(d *draft) (reason string) {
	return d.setFailed(c.Instance, false)
}

func (d *draft) setFailed(name string, failed bool) (reason string) {
	i, known := d.Instances[name]
	if !known {
		return unknown("instance", name)
	}
	if i.Failed != failed {
		i.Failed = failed
		d.putInstance(i)
	}
	return ""
}

// inPhase returns the instance or why it is not in the phase.
func (d *draft) inPhase(name string, phase Phase) (i Instance, reason string) {
	i, known := d.Instances[name]
	if !known {
		return i, unknown("instance", name)
	}
	if i.Phase != phase {
		return i, fmt.Sprintf("instance is %s, not %s", i.Phase, phase)
	}
	return i, ""
}
