package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// maxNamedInstances is the number of instances that a refusal names; the others
// are only counted.
const maxNamedInstances = 5

// Available reports whether the instance may get new work.
func (i Instance) Available() bool {
	return i.Phase == Serving && !i.Failed
}

// status describes in a few words why the instance is unavailable.
func (i Instance) status() string {
	if i.Failed && i.Phase == Serving {
		return "failed"
	}
	if i.Failed {
		return string(i.Phase) + " and failed"
	}
	return string(i.Phase)
}

// Unavailable returns the number of instances of the pool that are draining,
// releasing or failed; a releasing instance counts in the pool that it leaves.
func (s State) Unavailable(pool string) (n int) {
	for _, i := range s.Instances {
		if i.Pool == pool && !i.Available() {
			n++
		}
	}
	return n
}

// UnavailableInstances returns the instances that Unavailable counts, sorted by
// name.
func (s State) UnavailableInstances(pool string) (instances []Instance) {
	for _, i := range s.Instances {
		if i.Pool == pool && !i.Available() {
			instances = append(instances, i)
		}
	}
	slices.SortFunc(instances, byName)
	return instances
}

// RemainingInstances returns the instances in the pools of the wave that have not finished
// its maintenance, sorted by name.
func (s State) RemainingInstances(wave string) (instances []Instance) {
	w := s.Waves[wave]
	for _, i := range s.Instances {
		if i.CompletedWave != wave && slices.Contains(w.Pools, i.Pool) {
			instances = append(instances, i)
		}
	}
	slices.SortFunc(instances, byName)
	return instances
}

// DrainRefusal returns why the instance may not be drained for the wave now, or
// an empty text if it may.
func (s State) DrainRefusal(instance, wave string) (reason string) {
	i, known := s.Instances[instance]
	if !known {
		return notFound("instance", instance)
	}
	w, known := s.Waves[wave]
	if !known {
		return notFound("wave", wave)
	}
	if reason = w.grantRefusal(); reason != "" {
		return reason
	}
	if !slices.Contains(w.Pools, i.Pool) {
		return fmt.Sprintf("pool %q of the instance is not in wave %q", i.Pool, wave)
	}
	if i.CompletedWave == wave {
		return fmt.Sprintf("instance has already finished wave %q", wave)
	}
	return firstNonEmpty(i.busyReason(), s.budgetRefusal(i.Pool))
}

// MoveRefusal returns why the instance may not start to move to the pool now, or
// an empty text if it may.
func (s State) MoveRefusal(instance, pool string) (reason string) {
	i, known := s.Instances[instance]
	if !known {
		return notFound("instance", instance)
	}
	if _, known = s.Pools[pool]; !known {
		return notFound("pool", pool)
	}
	if i.Pool == pool {
		return fmt.Sprintf("instance is already in pool %q", pool)
	}
	return firstNonEmpty(i.busyReason(), s.budgetRefusal(i.Pool))
}

// budgetRefusal returns why no other instance of the pool may become unavailable,
// or an empty text if the budget allows one.
func (s State) budgetRefusal(pool string) (reason string) {
	budget := s.Pools[pool].Budget
	if s.Unavailable(pool) < budget {
		return ""
	}
	unavailable := s.UnavailableInstances(pool)
	if len(unavailable) == 0 {
		return fmt.Sprintf("pool %q has budget %d and no unavailable instance", pool, budget)
	}
	noun := "instances"
	if len(unavailable) == 1 {
		noun = "instance"
	}
	return fmt.Sprintf("pool %q has budget %d and %d unavailable %s (%s)", pool, budget, len(unavailable), noun, formatInstances(unavailable))
}

// formatInstances lists the first instances with their status and counts the
// others.
func formatInstances(instances []Instance) string {
	parts := make([]string, 0, maxNamedInstances+1)
	for _, i := range instances[:min(maxNamedInstances, len(instances))] {
		parts = append(parts, i.Name+" "+i.status())
	}
	if rest := len(instances) - maxNamedInstances; rest > 0 {
		parts = append(parts, fmt.Sprintf("%d more", rest))
	}
	return strings.Join(parts, ", ")
}

// busyReason returns why neither a drain nor a move of the instance may start, or
// an empty text if both may.
func (i Instance) busyReason() (reason string) {
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

// grantRefusal returns why the wave gets no drain grants, or an empty text if it
// does.
func (w Wave) grantRefusal() (reason string) {
	switch {
	case w.State == WaveRunning:
		return ""
	case w.Reason != "":
		return fmt.Sprintf("wave %q is %s (%s)", w.Name, w.State, w.Reason)
	}
	return fmt.Sprintf("wave %q is %s", w.Name, w.State)
}

func notFound(kind, name string) (reason string) {
	return fmt.Sprintf("%s %.80q does not exist", kind, name)
}

func byName(a, b Instance) int {
	return cmp.Compare(a.Name, b.Name)
}
