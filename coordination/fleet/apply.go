package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// MaxChangeResults is the number of change results that a state keeps. At the design
// rate of 57,000 changes a day, a retry finds the result of its first attempt
// for 100 minutes.
const MaxChangeResults = 4096

// Apply returns the state after the change, which is applied completely or
// refused. It never modifies s; unchanged parts are shared with it. A refused
// change increments the version and adds its result. A change whose ID is among
// the kept results only increments the version. A malformed change returns the
// error of Check.
func Apply(s State, c Change) (next State, err error) {
	if err = c.Check(); err != nil {
		return s, err
	}
	if _, known := s.ResultOf(c.ID); known {
		next = s
		next.Version++
		return next, nil
	}
	d := draft{State: s, proposedAt: c.At}
	d.Version++
	refusal := d.applyCommands(c.Commands)
	next = d.State
	if refusal != "" {
		next = s
		next.Version++
	}
	next.Results = appendResult(s.Results, ChangeResult{ID: c.ID, Index: next.Version, Refusal: refusal})
	return next, nil
}

// ResultOf returns the result of a change if it is still kept.
func (s State) ResultOf(id string) (f ChangeResult, found bool) {
	i := slices.IndexFunc(s.Results, func(f ChangeResult) bool { return f.ID == id })
	if i < 0 {
		return ChangeResult{}, false
	}
	return s.Results[i], true
}

// HasResultsSince reports whether the state still holds the result of every change from
// this log index up to its version.
func (s State) HasResultsSince(index int64) bool {
	return len(s.Results) < MaxChangeResults || s.Results[0].Index <= index
}

// appendResult copies the slice, because states derived from the same state
// would otherwise write into the same array.
func appendResult(results []ChangeResult, f ChangeResult) []ChangeResult {
	kept := results[max(0, len(results)+1-MaxChangeResults):]
	next := make([]ChangeResult, 0, len(kept)+1)
	next = append(next, kept...)
	return append(next, f)
}

// draft is a state that is being changed; each map is copied before its first
// write.
type draft struct {
	State
	// proposedAt is the time of the change as set by its author.
	proposedAt time.Time

	poolsCopied     bool
	membersCopied   bool
	instancesCopied bool
	wavesCopied     bool

	// instanceByAddress is built when the first instance is added.
	instanceByAddress map[string]string
	// wavesToCheck lists the waves that may have no instance left.
	wavesToCheck []string
}

// applyCommands applies the commands in order and stops at the first refusal.
func (d *draft) applyCommands(commands []Command) (refusal string) {
	for _, c := range commands {
		op := c.operations()[0]
		if reason := op.applyTo(d); reason != "" {
			command, object := op.commandAndObject()
			return fmt.Sprintf("%s %q: %s", command, object, reason)
		}
	}
	d.endCompletedWaves()
	return ""
}

func (d *draft) putPool(p Pool) {
	if !d.poolsCopied {
		d.Pools = cloneMap(d.Pools)
		d.poolsCopied = true
	}
	d.Pools[p.Name] = p
}

func (d *draft) putMember(m Member) {
	if !d.membersCopied {
		d.Members = cloneMap(d.Members)
		d.membersCopied = true
	}
	d.Members[m.Name] = m
}

func (d *draft) putInstance(i Instance) {
	d.copyInstances()
	d.Instances[i.Name] = i
}

func (d *draft) deleteInstance(name string) {
	d.copyInstances()
	delete(d.Instances, name)
}

func (d *draft) copyInstances() {
	if !d.instancesCopied {
		d.Instances = cloneMap(d.Instances)
		d.instancesCopied = true
	}
}

func (d *draft) putWave(w Wave) {
	if !d.wavesCopied {
		d.Waves = cloneMap(d.Waves)
		d.wavesCopied = true
	}
	d.Waves[w.Name] = w
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}
