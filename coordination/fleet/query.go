package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// namedInText is how many instances a refusal names before it counts the rest.
const namedInText = 5

// Available tells whether the instance may get new work.
func (i Instance) Available() bool {
	return i.Phase == Serving && !i.Failed
}

// status says in one or two words why the instance is unavailable.
func (i Instance) status() string {
	if i.Failed && i.Phase == Serving {
		return "failed"
	}
	if i.Failed {
		return string(i.Phase) + " and failed"
	}
	return string(i.Phase)
}

// Unavailable returns how many instances of the pool are draining, releasing or
// failed; a releasing instance counts in the pool that it leaves.
func (s State) Unavailable(pool string) (n int) {
	for _, i := range s.Instances {
		if i.Pool == pool && !i.Available() {
			n++
		}
	}
	return n
}

// UnavailableInstances returns the instances that Unavailable counts, by name.
func (s State) UnavailableInstances(pool string) (instances []Instance) {
	for _, i := range s.Instances {
		if i.Pool == pool && !i.Available() {
			instances = append(instances, i)
		}
	}
	slices.SortFunc(instances, byName)
	return instances
}

// Remaining returns the instances of the wave's pools that have not come back
// from it, by name.
func (s State) Remaining(wave string) (instances []Instance) {
	w := s.Waves[wave]
	for _, i := range s.Instances {
		if i.Maintained != wave && slices.Contains(w.Pools, i.Pool) {
			instances = append(instances, i)
		}
	}
	slices.SortFunc(instances, byName)
	return instances
}

// WhyNotDrain returns why the instance may not be drained for the wave now, or
// an empty text if it may.
func (s State) WhyNotDrain(instance, wave string) (reason string) {
	i, known := s.Instances[instance]
	if !known {
		return unknown("instance", instance)
	}
	w, known := s.Waves[wave]
	if !known {
		return unknown("wave", wave)
	}
	if reason = w.whyNoGrant(); reason != "" {
		return reason
	}
	if !slices.Contains(w.Pools, i.Pool) {
		return fmt.Sprintf("pool %q of the instance is not in wave %q", i.Pool, wave)
	}
	if i.Maintained == wave {
		return fmt.Sprintf("instance has already finished wave %q", wave)
	}
	return firstOf(i.whyBusy(), s.whyNoBudget(i.Pool))
}

// WhyNotMove returns why the instance may not begin a move to the pool now, or
// an empty text if it may.
func (s State) WhyNotMove(instance, pool string) (reason string) {
	i, known := s.Instances[instance]
	if !known {
		return unknown("instance", instance)
	}
	if _, known = s.Pools[pool]; !known {
		return unknown("pool", pool)
	}
	if i.Pool == pool {
		return fmt.Sprintf("instance is already in pool %q", pool)
	}
	return firstOf(i.whyBusy(), s.whyNoBudget(i.Pool))
}

// whyNoBudget returns why no further instance of the pool may become
// unavailable.
func (s State) whyNoBudget(pool string) (reason string) {
	budget := s.Pools[pool].Budget
	if s.Unavailable(pool) < budget {
		return ""
	}
	held := s.UnavailableInstances(pool)
	if len(held) == 0 {
		return fmt.Sprintf("pool %q has budget %d and no unavailable instance", pool, budget)
	}
	noun := "instances"
	if len(held) == 1 {
		noun = "instance"
	}
	return fmt.Sprintf("pool %q has budget %d and %d unavailable %s (%s)", pool, budget, len(held), noun, describe(held))
}

// describe names the first instances and counts the others.
func describe(instances []Instance) string {
	parts := make([]string, 0, namedInText+1)
	for _, i := range instances[:min(namedInText, len(instances))] {
		parts = append(parts, i.Name+" "+i.status())
	}
	if rest := len(instances) - namedInText; rest > 0 {
		parts = append(parts, fmt.Sprintf("%d more", rest))
	}
	return strings.Join(parts, ", ")
}

// whyBusy returns why neither a drain nor a move of the instance may begin.
func (i Instance) whyBusy() (reason string) {
	switch {
	case i.Phase == Draining:
		return fmt.Sprintf("instance is draining for wave %q", i.Wave)
	case i.Phase == Releasing:
		return fmt.Sprintf("instance is moving from pool %q to pool %q", i.Pool, i.NextPool)
	case i.Failed:
		return "instance is failed"
	}
	return ""
}

// whyNoGrant returns why the wave gets no drain grants.
func (w Wave) whyNoGrant() (reason string) {
	switch {
	case w.State == WaveRunning:
		return ""
	case w.Reason != "":
		return fmt.Sprintf("wave %q is %s (%s)", w.Name, w.State, w.Reason)
	}
	return fmt.Sprintf("wave %q is %s", w.Name, w.State)
}

func unknown(kind, name string) (reason string) {
	return fmt.Sprintf("%s %.80q does not exist", kind, name)
}

func byName(a, b Instance) int {
	return cmp.Compare(a.Name, b.Name)
}
