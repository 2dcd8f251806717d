package reconcile

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

func counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter("upkeep."+name, nil)
}

func drainsBegun() metrics.Counter      { return counter("drainsBegun") }
func rebootsCalled() metrics.Counter    { return counter("reboots") }
func proposalsRefused() metrics.Counter { return counter("proposalsRefused") }
func proposalsUnknown() metrics.Counter { return counter("proposalsUnknown") }

// moveMillis is a histogram rather than a timer, because the meter of a timer would
// start a goroutine that is never stopped.
func moveMillis() metrics.Histogram {
	return metrics.GetOrRegisterHistogram("upkeep.moveMillis", nil, metrics.NewUniformSample(moveSampleSize))
}

const moveSampleSize = 256

func setGauge(name string, value int) {
	metrics.GetOrRegisterGauge("upkeep."+name, nil).Update(int64(value))
}

func (u *Controller) updateGauges() {
	owned, draining, releasing, failed := 0, 0, 0, 0
	for _, s := range u.instances {
		if !s.owned {
			continue
		}
		owned++
		switch {
		case s.instance.Failed:
			failed++
		case s.instance.Phase == fleet.Draining:
			draining++
		case s.instance.Phase == fleet.Releasing:
			releasing++
		}
	}
	setGauge("owned", owned)
	setGauge("draining", draining)
	setGauge("releasing", releasing)
	setGauge("failed", failed)
	setGauge("spareWanted", u.spares.decision.Wanted)
	setGauge("spareHeld", u.spares.decision.Held)
}

// Dump writes the observed state and the current plans as readable text.
func (u *Controller) Dump(w io.Writer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fleetState == nil {
		_, _ = fmt.Fprintln(w, "upkeep: no configuration yet")
		return
	}
	now := time.Now()
	t := textWriter{w}
	t.linef("upkeep: version %d, ready %t, current %t, cut off %t", u.fleetState.Version, u.isReady(now), u.viewIsCurrent(), u.cutOff)
	for _, name := range slices.Sorted(maps.Keys(u.ownedSince)) {
		t.linef("pool %s: owned since %s", name, formatTime(u.ownedSince[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(u.waveProgress)) {
		p := u.waveProgress[name]
		t.linef("wave %s: %s, %d returned, excused %v", name, p.State, p.HealthyReturns, p.IgnoredInstances)
	}
	for _, n := range u.waveDecision.Notes {
		t.linef("wave %s: pool %s: %s", n.Wave, n.Pool, n.Text)
	}
	for _, r := range u.spares.decision.Reasons {
		t.linef("spare: pool %s: %s", r.Pool, r.Text)
	}
	t.linef("spare: one more instance serves %.0f slot-seconds an hour, mean move time %s", u.spares.instanceValue.Gain(), u.spares.meanMoveTime)
	for _, name := range slices.Sorted(maps.Keys(u.instances)) {
		t.writeInstance(u.instances[name])
	}
}

type textWriter struct {
	w io.Writer
}

func (t textWriter) linef(format string, args ...any) {
	_, _ = fmt.Fprintf(t.w, format+"\n", args...)
}

func (t textWriter) writeInstance(s *instanceStatus) {
	if !s.owned {
		return
	}
	endpointState, running := "unknown", 0
	if s.endpointStatus != nil {
		endpointState, running = string(s.endpointStatus.State), len(s.endpointStatus.Running)
	}
	i := s.instance
	t.linef("instance %s: pool %s, phase %s, failed %t, endpoint %s with %d tasks, answered %s, reboot deadline %s, cancel reason %q, last error %q",
		i.Name, i.Pool, i.Phase, i.Failed, endpointState, running, formatTime(s.receivedAt), formatTime(s.rebootDeadline), s.cancelReason, s.lastError)
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return t.UTC().Format(time.RFC3339)
}
