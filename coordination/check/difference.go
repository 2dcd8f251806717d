package check

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// Compare describes in operators' words what changes when a configuration takes the place of
// another one. It names no keys, which are secret.
func Compare(before, after *Configuration) (changes []string) {
	if after.Version <= before.Version {
		changes = append(changes, fmt.Sprintf("version %d is not above %d, which is in force: nothing changes until it is", after.Version, before.Version))
	}
	changes = append(changes, compareLists(before.Queues, after.Queues, func(q Queue) string { return q.Name }, "queue",
		"its requests are answered with 404; accepted jobs go on", "", compareQueues)...)
	changes = append(changes, compareLists(before.Pools, after.Pools, func(p Pool) string { return p.Name }, "pool",
		"its jobs wait until it is back", "", comparePools)...)
	if before.Callers != after.Callers {
		changes = append(changes, fmt.Sprintf("limits of callers: %s, before %s; connections with the earlier ones end once they have no request", after.Callers, before.Callers))
	}
	return append(changes, compareLists(before.Organisations, after.Organisations, func(o Organisation) string { return o.Terms.Name }, "organisation",
		"its callers are refused; accepted jobs go on without a limit", "", compareOrganisations)...)
}

// compareLists returns the changes between two lists of entries with names.
func compareLists[T any](before, after []T, name func(T) string, kind, ifRemoved, ifAdded string, compare func(a, b T) []string) (changes []string) {
	find := func(list []T, e T) int {
		return slices.IndexFunc(list, func(o T) bool { return name(o) == name(e) })
	}
	line := func(what string, e T, effect string) {
		text := fmt.Sprintf("%s %s %s", kind, name(e), what)
		if effect != "" {
			text += ": " + effect
		}
		changes = append(changes, text)
	}
	for _, e := range before {
		if find(after, e) < 0 {
			line("is removed", e, ifRemoved)
		}
	}
	for _, e := range after {
		i := find(before, e)
		if i < 0 {
			line("is new", e, ifAdded)
			continue
		}
		for _, c := range compare(before[i], e) {
			changes = append(changes, fmt.Sprintf("%s %s: %s", kind, name(e), c))
		}
	}
	return changes
}

// changed returns a change of a value with its effect, or nothing.
func changed[T comparable](what string, a, b T, effect string) (changes []string) {
	if a == b {
		return nil
	}
	text := fmt.Sprintf("%s %v, was %v", what, b, a)
	if effect != "" {
		text += ": " + effect
	}
	return []string{text}
}

func compareQueues(a, b Queue) (changes []string) {
	o, p := a.Objective, b.Objective
	return slices.Concat(
		changed("host", a.Host, b.Host, "requests to the old one are answered with 404"),
		changed("prefix", a.Prefix, b.Prefix, "requests to the old one may match another queue"),
		changed("pool", a.Pool, b.Pool, "accepted jobs stay in the old pool"),
		changed("anonymous requests", a.AllowAnonymous, b.AllowAnonymous, ""),
		changed("priority", o.Priority, p.Priority, "for new jobs"),
		changed("attempts", o.MaxAttempts, p.MaxAttempts, "for new jobs"),
		changed("stretch", o.Stretch, p.Stretch, "for new jobs"),
		changed("targetMillis", o.TargetMillis, p.TargetMillis, "for new jobs"),
		changed("usual task", describe(a.Task), describe(b.Task), "only for checks"),
		changed("usual gang", a.Gang, b.Gang, "only for checks"),
	)
}

func comparePools(a, b Pool) (changes []string) {
	return slices.Concat(
		changed("endpoints enforce their capacity", a.EnforcesCapacity, b.EnforcesCapacity, ""),
		changed("spare", a.Spare, b.Spare, ""),
		changed("capacity", describe(a.Capacity), describe(b.Capacity), "only for checks"),
	)
}

func compareOrganisations(a, b Organisation) (changes []string) {
	changes = changed("weight", a.Terms.Weight, b.Terms.Weight, "its share of full pools and its jobs a second change")
	before, after := resources(a.Terms.Limit, job.Capacity{}), resources(b.Terms.Limit, job.Capacity{})
	for i, r := range after {
		effect := "more may start at once"
		if r.limit > 0 && (before[i].limit == 0 || r.limit < before[i].limit) {
			effect = "nothing starts until its use is below it, and nothing is stopped"
		}
		changes = append(changes, changed("limit "+r.name, describeLimit(before[i].limit), describeLimit(r.limit), effect)...)
	}
	added, removed := missing(b.Keys, a.Keys), missing(a.Keys, b.Keys)
	if added > 0 {
		changes = append(changes, fmt.Sprintf("keys added: %d", added))
	}
	if removed > 0 {
		changes = append(changes, fmt.Sprintf("keys removed: %d, requests with them are refused", removed))
	}
	return changes
}

// describe returns a capacity in the words of a file.
func describe(c job.Capacity) (text string) {
	for _, r := range resources(job.Capacity{}, c) {
		if r.size > 0 {
			text += fmt.Sprintf("%s %d ", r.name, r.size)
		}
	}
	return cmp.Or(strings.TrimSpace(text), "none")
}

func describeLimit(limit int) string {
	if limit == 0 {
		return "none"
	}
	return fmt.Sprint(limit)
}

// missing counts the items that another list does not have.
func missing(items, from []string) (count int) {
	for _, i := range items {
		if !slices.Contains(from, i) {
			count++
		}
	}
	return count
}
