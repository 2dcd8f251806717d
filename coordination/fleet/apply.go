package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// KeptFates is how many of the last fates a state keeps; at the 57,000 changes
// a day of the design a retry finds its first result for 100 minutes.
const KeptFates = 4096

// Apply returns the state after the change, which is applied whole or refused;
// s is never modified, and parts that stay equal are shared with it. A refused
// change raises the version and adds its fate; a change with a known ID only
// raises the version. The error is for a malformed change, as from Check.
func Apply(s State, c Change) (next State, err error) {
	if err = c.Check(); err != nil {
		return s, err
	}
	if _, known := s.FateOf(c.ID); known {
		next = s
		next.Version++
		return next, nil
	}
	d := draft{State: s, at: c.At}
	d.Version++
	refusal := d.run(c.Commands)
	next = d.State
	if refusal != "" {
		next = s
		next.Version++
	}
	next.Fates = appendFate(s.Fates, Fate{ID: c.ID, Index: next.Version, Refusal: refusal})
	return next, nil
}

// FateOf returns the fate of a change while it is among the kept ones.
func (s State) FateOf(id string) (f Fate, found bool) {
	i := slices.IndexFunc(s.Fates, func(f Fate) bool { return f.ID == id })
	if i < 0 {
		return Fate{}, false
	}
	return s.Fates[i], true
}

// Recalls tells whether the state has the fate of every change whose record has
// this index or a later one, up to its version.
func (s State) Recalls(index int64) bool {
	return len(s.Fates) < KeptFates || s.Fates[0].Index <= index
}

// appendFate copies, because states that follow the same one would otherwise
// write into the same array.
func appendFate(fates []Fate, f Fate) []Fate {
	kept := fates[max(0, len(fates)+1-KeptFates):]
	next := make([]Fate, 0, len(kept)+1)
	next = append(next, kept...)
	return append(next, f)
}

// draft is a state under change; each map is copied before its first write.
type draft struct {
	State
	// at is when the author made the change.
	at time.Time

	ownPools     bool
	ownMembers   bool
	ownInstances bool
	ownWaves     bool

	// holders has the instance at each address, once an instance is added.
	holders map[string]string
	// leavers are the waves that may have no instance left.
	leavers []string
}

// run applies the commands in order until one is refused.
func (d *draft) run(commands []Command) (refusal string) {
	for _, c := range commands {
		st := c.steps()[0]
		if reason := st.apply(d); reason != "" {
			command, object := st.subject()
			return fmt.Sprintf("%s %q: %s", command, object, reason)
		}
	}
	d.endWaves()
	return ""
}

func (d *draft) putPool(p Pool) {
	if !d.ownPools {
		d.Pools = copyOf(d.Pools)
		d.ownPools = true
	}
	d.Pools[p.Name] = p
}

func (d *draft) putMember(m Member) {
	if !d.ownMembers {
		d.Members = copyOf(d.Members)
		d.ownMembers = true
	}
	d.Members[m.Name] = m
}

func (d *draft) putInstance(i Instance) {
	d.takeInstances()
	d.Instances[i.Name] = i
}

func (d *draft) deleteInstance(name string) {
	d.takeInstances()
	delete(d.Instances, name)
}

func (d *draft) takeInstances() {
	if !d.ownInstances {
		d.Instances = copyOf(d.Instances)
		d.ownInstances = true
	}
}

func (d *draft) putWave(w Wave) {
	if !d.ownWaves {
		d.Waves = copyOf(d.Waves)
		d.ownWaves = true
	}
	d.Waves[w.Name] = w
}

func copyOf[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}
