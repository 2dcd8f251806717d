package operator

import (
	"cmp"
	"slices"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/operatorapi"
	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// movableTable lists for every instance whether it may move to the requested pool
// and, if not, the rule that forbids it. Without a requested pool, the target is
// defaultMoveTarget.
func movableTable(s *fleet.State, requestedPool string) (t operatorapi.Table, err error) {
	if err = requirePool(s, requestedPool); err != nil {
		return t, err
	}
	t = newTable("movable", "instance", "pool", "to", "may", "reason")
	for pool, part := range splitByPool(s) {
		target := cmp.Or(requestedPool, defaultMoveTarget(s, pool))
		if target == "" || requestedPool == pool {
			continue
		}
		for name := range part.Instances {
			reason := part.MoveRefusal(name, target)
			addRow(&t, name, pool, target, permitted(reason), reason)
		}
	}
	sortRows(&t)
	return t, nil
}

// defaultMoveTarget returns the first spare pool other than the given one, or the
// first other pool if there is no spare pool.
func defaultMoveTarget(s *fleet.State, pool string) (target string) {
	for _, name := range sortedKeys(s.Pools) {
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

// drainableTable lists the instances that a wave still has to maintain, whether
// each may drain now and, if not, the rule that forbids it. Without a wave it
// covers all waves that have not ended.
func drainableTable(s *fleet.State, wave string) (t operatorapi.Table, err error) {
	if _, found := s.Waves[wave]; !found && wave != "" {
		return t, errors.Errorf("wave %q does not exist", wave)
	}
	t = newTable("drainable", "instance", "pool", "wave", "may", "reason")
	parts := splitByPool(s)
	for name, w := range s.Waves {
		if name != wave && (wave != "" || w.State == fleet.WaveEnded) {
			continue
		}
		for _, pool := range w.Pools {
			addDrainableRows(&t, parts[pool], name)
		}
	}
	sortRows(&t)
	return t, nil
}

func addDrainableRows(t *operatorapi.Table, part fleet.State, wave string) {
	for _, i := range part.RemainingInstances(wave) {
		reason := part.DrainRefusal(i.Name, wave)
		addRow(t, i.Name, i.Pool, wave, permitted(reason), reason)
	}
}

// splitByPool returns for each pool that has instances a copy of the state with
// only the instances of that pool. The rules read no other instances, and counting
// the whole fleet once for each of 24,000 instances would take 576 million steps.
func splitByPool(s *fleet.State) (parts map[string]fleet.State) {
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

// permitted returns the cell for an action that is forbidden for the given reason,
// or allowed if the reason is empty.
func permitted(reason string) string {
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
