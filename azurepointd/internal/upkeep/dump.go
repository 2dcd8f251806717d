package upkeep

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

func drainsBegun() metrics.Counter { return counter("drainsBegun") }
func reboots() metrics.Counter     { return counter("reboots") }
func refusals() metrics.Counter    { return counter("proposalsRefused") }
func unknowns() metrics.Counter    { return counter("proposalsUnknown") }

// moveMillis is a histogram and not a timer, whose meter would start a
// goroutine that has no owner.
func moveMillis() metrics.Histogram {
	return metrics.GetOrRegisterHistogram("upkeep.moveMillis", nil, metrics.NewUniformSample(movesSampled))
}

const movesSampled = 256

func gauge(name string, value int) {
	metrics.GetOrRegisterGauge("upkeep."+name, nil).Update(int64(value))
}

// measure updates the gauges.
func (u *Upkeep) measure() {
	owned, draining, releasing, failed := 0, 0, 0, 0
	for _, s := range u.sights {
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
	gauge("owned", owned)
	gauge("draining", draining)
	gauge("releasing", releasing)
	gauge("failed", failed)
	gauge("spareWanted", u.spares.decision.Wanted)
	gauge("spareHeld", u.spares.decision.Held)
}

// Dump writes what the upkeep knows and intends as readable text.
func (u *Upkeep) Dump(w io.Writer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.state == nil {
		_, _ = fmt.Fprintln(w, "upkeep: no configuration yet")
		return
	}
	now := time.Now()
	d := dumper{w}
	d.linef("upkeep: version %d, ready %t, current %t, cut off %t", u.state.Version, u.ready(now), u.current(), u.cutOff)
	for _, name := range slices.Sorted(maps.Keys(u.pools)) {
		d.linef("pool %s: owned since %s", name, when(u.pools[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(u.progress)) {
		p := u.progress[name]
		d.linef("wave %s: %s, %d came back, excused %v", name, p.State, p.Returned, p.Excused)
	}
	for _, n := range u.decision.Notes {
		d.linef("wave %s: pool %s: %s", n.Wave, n.Pool, n.Text)
	}
	for _, r := range u.spares.decision.Reasons {
		d.linef("spare: pool %s: %s", r.Pool, r.Text)
	}
	d.linef("spare: one more instance serves %.0f slot-seconds an hour, move takes %s", u.spares.worth.Buys(), u.spares.moveTakes)
	for _, name := range slices.Sorted(maps.Keys(u.sights)) {
		d.sight(u.sights[name])
	}
}

type dumper struct {
	w io.Writer
}

func (d dumper) linef(format string, args ...any) {
	_, _ = fmt.Fprintf(d.w, format+"\n", args...)
}

func (d dumper) sight(s *sight) {
	if !s.owned {
		return
	}
	state, running := "unknown", 0
	if s.status != nil {
		state, running = string(s.status.State), len(s.status.Running)
	}
	i := s.instance
	d.linef("instance %s: pool %s, phase %s, failed %t, endpoint %s with %d tasks, answered %s, back by %s, giving back %q, problem %q",
		i.Name, i.Pool, i.Phase, i.Failed, state, running, when(s.answeredAt), when(s.backBy), s.handBack, s.problem)
}

func when(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return t.UTC().Format(time.RFC3339)
}
