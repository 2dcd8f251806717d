package fleet

import "fmt"

func (c *AddInstance) commandAndObject() (command, object string) { return "addInstance", c.Name }

func (c *AddInstance) applyTo(d *draft) (reason string) {
	if reason = c.check(); reason != "" {
		return reason
	}
	if i, known := d.Instances[c.Name]; known {
		return fmt.Sprintf("instance already exists in pool %q", i.Pool)
	}
	if _, known := d.Pools[c.Pool]; !known {
		return notFound("pool", c.Pool)
	}
	if occupant, taken := d.instanceAt(c.Address); taken {
		return fmt.Sprintf("address %s belongs to instance %q", c.Address, occupant)
	}
	d.putInstance(Instance{
		Name:         c.Name,
		DataCentre:   c.DataCentre,
		Rack:         c.Rack,
		Address:      c.Address,
		Slots:        c.Slots,
		Pool:         c.Pool,
		Phase:        Serving,
		PhaseVersion: d.Version,
	})
	d.instanceByAddress[c.Address] = c.Name
	return ""
}

func (c *AddInstance) check() (reason string) {
	if c.Slots < 1 {
		reason = fmt.Sprintf("slots is %d, below 1", c.Slots)
	}
	return firstNonEmpty(
		checkName("name", c.Name),
		checkName("data centre", c.DataCentre),
		checkName("rack", c.Rack),
		checkAddress(c.Address),
		reason,
	)
}

// instanceAt returns the instance with an address. Two instances with the same
// address would be one endpoint in two pools.
func (d *draft) instanceAt(address string) (name string, taken bool) {
	if d.instanceByAddress == nil {
		d.instanceByAddress = make(map[string]string, len(d.Instances))
		for _, i := range d.Instances {
			d.instanceByAddress[i.Address] = i.Name
		}
	}
	name, taken = d.instanceByAddress[address]
	return name, taken
}

func (c *DropInstance) commandAndObject() (command, object string) { return "dropInstance", c.Name }

// applyTo refuses a serving or releasing instance that has not failed: its pool
// would lose capacity that was never counted against its budget.
func (c *DropInstance) applyTo(d *draft) (reason string) {
	i, known := d.Instances[c.Name]
	if !known {
		return notFound("instance", c.Name)
	}
	if !i.Failed && i.Phase != Draining {
		return fmt.Sprintf("instance is %s, and only a draining or failed one may be dropped", i.Phase)
	}
	d.deleteInstance(c.Name)
	delete(d.instanceByAddress, i.Address)
	d.addWavesToCheck(i.Pool)
	return ""
}

func (c *StartMove) commandAndObject() (command, object string) { return "startMove", c.Instance }

func (c *StartMove) applyTo(d *draft) (reason string) {
	if reason = d.MoveRefusal(c.Instance, c.Pool); reason != "" {
		return reason
	}
	i := d.Instances[c.Instance]
	i.Phase = Releasing
	i.NextPool = c.Pool
	i.PhaseVersion = d.Version
	d.putInstance(i)
	return ""
}

func (c *FinishMove) commandAndObject() (command, object string) { return "finishMove", c.Instance }

// applyTo refuses a failed instance, which would use the budget of its next pool
// without a check.
func (c *FinishMove) applyTo(d *draft) (reason string) {
	i, reason := d.instanceInPhase(c.Instance, Releasing)
	if reason != "" {
		return reason
	}
	if i.Failed {
		return fmt.Sprintf("instance is failed and stays in pool %q", i.Pool)
	}
	from := i.Pool
	i.Pool = i.NextPool
	i.MovedVersion = d.Version
	i.NextPool = ""
	i.Phase = Serving
	i.PhaseVersion = d.Version
	d.putInstance(i)
	d.addWavesToCheck(from)
	return ""
}

func (c *CancelMove) commandAndObject() (command, object string) { return "cancelMove", c.Instance }

func (c *CancelMove) applyTo(d *draft) (reason string) {
	i, reason := d.instanceInPhase(c.Instance, Releasing)
	if reason != "" {
		return reason
	}
	i.NextPool = ""
	i.Phase = Serving
	i.PhaseVersion = d.Version
	d.putInstance(i)
	return ""
}

func (c *MarkFailed) commandAndObject() (command, object string) { return "markFailed", c.Instance }

// applyTo accepts an instance that is already marked as failed. A refusal would
// undo the other failures that are reported in the same change.
func (c *MarkFailed) applyTo(d *draft) (reason string) {
	return d.setFailed(c.Instance, true)
}

func (c *MarkAlive) commandAndObject() (command, object string) { return "markAlive", c.Instance }

func (c *MarkAlive) applyTo(d *draft) (reason string) {
	return d.setFailed(c.Instance, false)
}

func (d *draft) setFailed(name string, failed bool) (reason string) {
	i, known := d.Instances[name]
	if !known {
		return notFound("instance", name)
	}
	if i.Failed != failed {
		i.Failed = failed
		d.putInstance(i)
	}
	return ""
}

// instanceInPhase returns the instance, or the reason why it is not in the phase.
func (d *draft) instanceInPhase(name string, phase Phase) (i Instance, reason string) {
	i, known := d.Instances[name]
	if !known {
		return i, notFound("instance", name)
	}
	if i.Phase != phase {
		return i, fmt.Sprintf("instance is %s, not %s", i.Phase, phase)
	}
	return i, ""
}
