package operator

import (
	"cmp"
	"slices"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/operatorapi"
	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// movable lists for every instance whether it may move to the pool and, if not,
// the rule that forbids it. Without a pool it asks for the spare pool.
func movable(s *fleet.State, to string) (t operatorapi.Table, err error) {
	if err = requirePool(s, to); err != nil {
		return t, err
	}
	t = newTable("movable", "instance", "pool", "to", "may", "reason")
	for pool, part := range byPool(s) {
		target := cmp.Or(to, otherPool(s, pool))
		if target == "" || to == pool {
			continue
		}
		for name := range part.Instances {
			reason := part.WhyNotMove(name, target)
			add(&t, name, pool, target, may(reason), reason)
		}
	}
	sortRows(&t)
	return t, nil
}

// otherPool returns the spare pool, or the first other one for an instance that
// is in it.
func otherPool(s *fleet.State, pool string) (target string) {
	for _, name := range sorted(s.Pools) {
		if name == pool {
			continue
		}
		if s.Pools[name].Spare {
			return name
		}
		target = cmp.Or(target, name)
	}
	return target
}

// drainable lists the instances that a wave has yet to maintain, whether each
// may drain now and, if not, the rule that forbids it. Without a wave it goes
// through those that have not ended.
func drainable(s *fleet.State, wave string) (t operatorapi.Table, err error) {
	if _, found := s.Waves[wave]; !found && wave != "" {
		return t, errors.Errorf("wave %q does not exist", wave)
	}
	t = newTable("drainable", "instance", "pool", "wave", "may", "reason")
	parts := byPool(s)
	for name, w := range s.Waves {
		if name != wave && (wave != "" || w.State == fleet.WaveEnded) {
			continue
		}
		for _, pool := range w.Pools {
			drainableIn(&t, parts[pool], name)
		}
	}
	sortRows(&t)
	return t, nil
}

func drainableIn(t *operatorapi.Table, part fleet.State, wave string) {
	for _, i := range part.Remaining(wave) {
		reason := part.WhyNotDrain(i.Name, wave)
		add(t, i.Name, i.Pool, wave, may(reason), reason)
	}
}

// byPool returns the state once for each pool that has instances, with those
// only. The rules look at no others, and counting the whole fleet for each of
// 24,000 instances would be 576 million steps.
func byPool(s *fleet.State) (parts map[string]fleet.State) {
	parts = make(map[string]fleet.State, len(s.Pools))
	for name, i := range s.Instances {
		part, found := parts[i.Pool]
		if !found {
			part = *s
			part.Instances = make(map[string]fleet.Instance)
			parts[i.Pool] = part
		}
		part.Instances[name] = i
	}
	return parts
}

func may(reason string) string {
	if reason == "" {
		return "yes"
	}
	return "no"
}

func sortRows(t *operatorapi.Table) {
	slices.SortFunc(t.Rows, func(a, b operatorapi.Row) int {
		return slices.Compare(a.Cells, b.Cells)
	})
}
