package fleet

import (
	"fmt"
	"slices"
	"time"
)

func (c *DeclareWave) commandAndObject() (command, object string) { return "declareWave", c.Name }

func (c *DeclareWave) applyTo(d *draft) (reason string) {
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
		if reason = d.checkWavePool(p); reason != "" {
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

// checkWavePool refuses a pool that is already in an open wave. An instance
// records only the last wave that it finished, so two waves over one pool would
// drain it alternately.
func (d *draft) checkWavePool(pool string) (reason string) {
	if _, known := d.Pools[pool]; !known {
		return notFound("pool", pool)
	}
	for _, w := range d.Waves {
		if w.State != WaveEnded && slices.Contains(w.Pools, pool) {
			return fmt.Sprintf("pool %q is in wave %q, which is %s", pool, w.Name, w.State)
		}
	}
	return ""
}

func (c *SetWave) commandAndObject() (command, object string) { return "setWave", c.Name }

// applyTo accepts the state that the wave already has, because two entries may
// propose to halt it for the same reason.
func (c *SetWave) applyTo(d *draft) (reason string) {
	w, known := d.Waves[c.Name]
	if !known {
		return notFound("wave", c.Name)
	}
	if !slices.Contains([]WaveState{WaveRunning, WavePaused, WaveHalted, WaveEnded}, c.State) {
		return fmt.Sprintf("wave state %.80q is not running, paused, halted or ended", c.State)
	}
	if len(c.Reason) > maxReasonBytes {
		return fmt.Sprintf("reason has %d bytes, above %d", len(c.Reason), maxReasonBytes)
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

func (c *GrantDrain) commandAndObject() (command, object string) { return "grantDrain", c.Instance }

func (c *GrantDrain) applyTo(d *draft) (reason string) {
	if reason = d.DrainRefusal(c.Instance, c.Wave); reason != "" {
		return reason
	}
	if until := d.Waves[c.Wave].Until; !until.IsZero() && d.proposedAt.After(until) {
		return fmt.Sprintf("wave %q was to end by %s, and the change is of %s",
			c.Wave, until.Format(time.RFC3339), d.proposedAt.Format(time.RFC3339))
	}
	i := d.Instances[c.Instance]
	i.Phase = Draining
	i.Wave = c.Wave
	i.PhaseVersion = d.Version
	d.putInstance(i)
	return ""
}

func (c *FinishDrain) commandAndObject() (command, object string) { return "finishDrain", c.Instance }

// applyTo also clears a failure, because the instance was observed serving.
func (c *FinishDrain) applyTo(d *draft) (reason string) {
	i, reason := d.instanceInPhase(c.Instance, Draining)
	if reason != "" {
		return reason
	}
	if i.RebootingFrom > 0 && c.Incarnation <= i.RebootingFrom {
		return fmt.Sprintf("instance was observed in incarnation %d, and reboots from %d", c.Incarnation, i.RebootingFrom)
	}
	i.Phase = Serving
	i.Failed = false
	i.Rebooting, i.RebootingFrom = false, 0
	i.CompletedWave = i.Wave
	i.Wave = ""
	i.PhaseVersion = d.Version
	d.putInstance(i)
	d.addWavesToCheck(i.Pool)
	return ""
}

func (c *StartReboot) commandAndObject() (command, object string) { return "startReboot", c.Instance }

// applyTo accepts an instance that is already rebooting, because an entry that
// takes over the drain records the reboot again.
func (c *StartReboot) applyTo(d *draft) (reason string) {
	i, reason := d.instanceInPhase(c.Instance, Draining)
	if reason != "" || i.Rebooting {
		return reason
	}
	i.Rebooting, i.RebootingFrom = true, c.Incarnation
	d.putInstance(i)
	return ""
}

func (c *CancelDrain) commandAndObject() (command, object string) { return "cancelDrain", c.Instance }

func (c *CancelDrain) applyTo(d *draft) (reason string) {
	i, reason := d.instanceInPhase(c.Instance, Draining)
	if reason != "" {
		return reason
	}
	if i.Rebooting {
		return "instance has begun to reboot and counts against the budget until it is back"
	}
	i.Phase = Serving
	i.Wave = ""
	i.PhaseVersion = d.Version
	d.putInstance(i)
	return ""
}

// addWavesToCheck records the open waves over a pool that has one instance fewer
// to maintain.
func (d *draft) addWavesToCheck(pool string) {
	for _, w := range d.Waves {
		if w.State != WaveEnded && slices.Contains(w.Pools, pool) {
			d.wavesToCheck = append(d.wavesToCheck, w.Name)
		}
	}
}

// endCompletedWaves ends the recorded waves that have no instance left. A wave
// over empty pools stays open until an instance finishes its maintenance or leaves.
func (d *draft) endCompletedWaves() {
	slices.Sort(d.wavesToCheck)
	for _, name := range slices.Compact(d.wavesToCheck) {
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
		if i.CompletedWave != w.Name && slices.Contains(w.Pools, i.Pool) {
			return true
		}
	}
	return false
}
