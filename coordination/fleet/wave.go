package fleet

import (
	"fmt"
	"slices"
	"time"
)

func (c *DeclareWave) subject() (command, object string) { return "declareWave", c.Name }

func (c *DeclareWave) apply(d *draft) (reason string) {
	if reason = checkName("name", c.Name); reason != "" {
		return reason
	}
	if w, known := d.Waves[c.Name]; known {
		return fmt.Sprintf("wave already exists and is %s", w.State)
	}
	if len(c.Pools) == 0 {
		return "wave has 0 pools"
	}
	for at, p := range c.Pools {
		if slices.Contains(c.Pools[:at], p) {
			return fmt.Sprintf("pool %q is named 2 times", p)
		}
		if reason = d.whyNotWave(p); reason != "" {
			return reason
		}
	}
	d.putWave(Wave{
		Name:  c.Name,
		Pools: slices.Clone(c.Pools),
		State: WaveRunning,
		Until: c.Until,
	})
	return ""
}

// whyNotWave keeps a pool in one open wave at a time: an instance remembers only
// the last wave that it came back from, so two waves would drain it in turn.
func (d *draft) whyNotWave(pool string) (reason string) {
	if _, known := d.Pools[pool]; !known {
		return unknown("pool", pool)
	}
	for _, w := range d.Waves {
		if w.State != WaveEnded && slices.Contains(w.Pools, pool) {
			return fmt.Sprintf("pool %q is in wave %q, which is %s", pool, w.Name, w.State)
		}
	}
	return ""
}

func (c *SetWave) subject() (command, object string) { return "setWave", c.Name }

// apply accepts the state that the wave has already, as two entries may see the
// same reason to halt it.
func (c *SetWave) apply(d *draft) (reason string) {
	w, known := d.Waves[c.Name]
	if !known {
		return unknown("wave", c.Name)
	}
	if !slices.Contains([]WaveState{WaveRunning, WavePaused, WaveHalted, WaveEnded}, c.State) {
		return fmt.Sprintf("wave state %.80q is not running, paused, halted or ended", c.State)
	}
	if len(c.Reason) > maxReason {
		return fmt.Sprintf("reason has %d bytes, above %d", len(c.Reason), maxReason)
	}
	if w.State == WaveEnded && c.State != WaveEnded {
		return fmt.Sprintf("wave is ended and cannot be %s", c.State)
	}
	if w.State == WaveHalted && c.State == WavePaused {
		return "wave is halted and cannot be paused, only running or ended"
	}
	w.State = c.State
	w.Reason = c.Reason
	d.putWave(w)
	return ""
}

func (c *GrantDrain) subject() (command, object string) { return "grantDrain", c.Instance }

func (c *GrantDrain) apply(d *draft) (reason string) {
	if reason = d.WhyNotDrain(c.Instance, c.Wave); reason != "" {
		return reason
	}
	if until := d.Waves[c.Wave].Until; !until.IsZero() && d.at.After(until) {
		return fmt.Sprintf("wave %q was to end by %s, and the change is of %s",
			c.Wave, until.Format(time.RFC3339), d.at.Format(time.RFC3339))
	}
	i := d.Instances[c.Instance]
	i.Phase = Draining
	i.Wave = c.Wave
	i.Since = d.Version
	d.putInstance(i)
	return ""
}

func (c *FinishDrain) subject() (command, object string) { return "finishDrain", c.Instance }

// apply clears a failure as well, because the instance was seen serving.
func (c *FinishDrain) apply(d *draft) (reason string) {
	i, reason := d.inPhase(c.Instance, Draining)
	if reason != "" {
		return reason
	}
	i.Phase = Serving
	i.Failed = false
	i.Rebooting = false
	i.Maintained = i.Wave
	i.Wave = ""
	i.Since = d.Version
	d.putInstance(i)
	d.leftPool(i.Pool)
	return ""
}

func (c *StartReboot) subject() (command, object string) { return "startReboot", c.Instance }

// apply accepts an instance that is rebooting already, because an entry that
// takes the drain over records it again.
func (c *StartReboot) apply(d *draft) (reason string) {
	i, reason := d.inPhase(c.Instance, Draining)
	if reason != "" || i.Rebooting {
		return reason
	}
	i.Rebooting = true
	d.putInstance(i)
	return ""
}

func (c *CancelDrain) subject() (command, object string) { return "cancelDrain", c.Instance }

func (c *CancelDrain) apply(d *draft) (reason string) {
	i, reason := d.inPhase(c.Instance, Draining)
	if reason != "" {
		return reason
	}
	if i.Rebooting {
		return "instance has begun to reboot and counts against the budget until it is back"
	}
	i.Phase = Serving
	i.Wave = ""
	i.Since = d.Version
	d.putInstance(i)
	return ""
}

// leftPool notes the open waves of a pool that has one instance less to do.
func (d *draft) leftPool(pool string) {
	for _, w := range d.Waves {
		if w.State != WaveEnded && slices.Contains(w.Pools, pool) {
			d.leavers = append(d.leavers, w.Name)
		}
	}
}

// endWaves ends the noted waves that have no instance left. A wave over empty
// pools stays open until an instance has come back or left.
func (d *draft) endWaves() {
	slices.Sort(d.leavers)
	for _, name := range slices.Compact(d.leavers) {
		w := d.Waves[name]
		if w.State == WaveEnded || d.hasRemaining(w) {
			continue
		}
		w.State = WaveEnded
		w.Reason = ""
		d.putWave(w)
	}
}

func (d *draft) hasRemaining(w Wave) bool {
	for _, i := range d.Instances {
		if i.Maintained != w.Name && slices.Contains(w.Pools, i.Pool) {
			return true
		}
	}
	return false
}
