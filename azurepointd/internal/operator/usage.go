package operator

import (
	"cmp"
	"slices"

	"github.com/azurepoint/azurepoint/api/operatorapi"
	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// Usage is what the dispatchers know of the slots in use.
type Usage interface {
	// Usage returns one report; it may lag.
	Usage() (r UsageReport)
}

// UsageReport says who takes what, as far as this entry knows.
type UsageReport struct {
	Uses     []Use
	Refusals []Refusal
}

// Use is what a member takes of a pool in a data centre, in slots.
type Use struct {
	DataCentre string
	Pool       string
	Member     string
	InUse      int
	// Share is how many slots the member is entitled to now.
	Share int
	// Cap is the part of the member's cap that may be used there now, with what
	// is borrowed and without what is lent.
	Cap int
	// Queued is how many requests wait.
	Queued int
	// Granted is how many requests got a grant since the dispatcher began.
	Granted int64
}

// Refusal counts the requests that a dispatcher refused for one reason since it
// began.
type Refusal struct {
	DataCentre string
	Pool       string
	Member     string
	Reason     string
	Count      int64
}

// usageTables returns the sums of each member against its cap, the uses by pool
// and the refusals.
func usageTables(s *fleet.State, r UsageReport) (tables []operatorapi.Table) {
	return []operatorapi.Table{usageByMember(s, r.Uses), usageByPool(r.Uses), refusals(r.Refusals)}
}

func usageByMember(s *fleet.State, uses []Use) (t operatorapi.Table) {
	sums := make(map[string]Use)
	for _, u := range uses {
		sum := sums[u.Member]
		sum.InUse += u.InUse
		sum.Share += u.Share
		sum.Queued += u.Queued
		sum.Granted += u.Granted
		sums[u.Member] = sum
	}
	for name := range s.Members {
		if _, found := sums[name]; !found {
			sums[name] = Use{} // members without any use are listed as well
		}
	}
	t = newTable("usage by member", "member", "inUse", "share", "cap", "queued", "granted")
	for _, name := range sorted(sums) {
		u := sums[name]
		add(&t, name, u.InUse, u.Share, s.Members[name].Cap, u.Queued, u.Granted)
	}
	return t
}

func usageByPool(uses []Use) (t operatorapi.Table) {
	uses = slices.Clone(uses)
	slices.SortFunc(uses, func(a, b Use) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Member, b.Member))
	})
	t = newTable("usage by pool", "pool", "dataCentre", "member", "inUse", "share", "cap", "queued", "granted")
	for _, u := range uses {
		add(&t, u.Pool, u.DataCentre, u.Member, u.InUse, u.Share, u.Cap, u.Queued, u.Granted)
	}
	return t
}

func refusals(all []Refusal) (t operatorapi.Table) {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b Refusal) int { return cmp.Compare(b.Count, a.Count) })
	t = newTable("refusals", "pool", "dataCentre", "member", "reason", "count")
	for _, r := range all {
		add(&t, r.Pool, r.DataCentre, r.Member, r.Reason, r.Count)
	}
	return t
}
