package operator

import (
	"cmp"
	"slices"

	"github.com/azurepoint/azurepoint/api/operatorapi"
	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// Usage reports the slots in use, as observed by the dispatchers.
type Usage interface {
	// Usage returns the current report, which may be out of date.
	Usage() (r UsageReport)
}

// UsageReport holds the usage and the refusals observed by this entry.
type UsageReport struct {
	Uses     []Use
	Refusals []Refusal
}

// Use is the usage of a pool by a member in one data centre, in slots.
type Use struct {
	DataCentre string
	Pool       string
	Member     string
	InUse      int
	// Share is the number of slots to which the member is entitled now.
	Share int
	// Cap is the part of the member's cap that may be used in this data centre now,
	// including what is borrowed and excluding what is lent.
	Cap int
	// Queued is the number of waiting requests.
	Queued int
	// Granted is the number of requests granted since the dispatcher started.
	Granted int64
}

// Refusal counts the requests that a dispatcher has refused for one reason since
// it started.
type Refusal struct {
	DataCentre string
	Pool       string
	Member     string
	Reason     string
	Count      int64
}

// usageTables returns the totals of each member with its cap, the usage by pool,
// and the refusals.
func usageTables(s *fleet.State, report UsageReport) (tables []operatorapi.Table) {
	return []operatorapi.Table{memberUsageTable(s, report.Uses), poolUsageTable(report.Uses), refusalsTable(report.Refusals)}
}

func memberUsageTable(s *fleet.State, uses []Use) (t operatorapi.Table) {
	totals := make(map[string]Use)
	for _, u := range uses {
		total := totals[u.Member]
		total.InUse += u.InUse
		total.Share += u.Share
		total.Queued += u.Queued
		total.Granted += u.Granted
		totals[u.Member] = total
	}
	for name := range s.Members {
		if _, found := totals[name]; !found {
			totals[name] = Use{} // list members without usage as well
		}
	}
	t = newTable("usage by member", "member", "inUse", "share", "cap", "queued", "granted")
	for _, name := range sortedKeys(totals) {
		u := totals[name]
		addRow(&t, name, u.InUse, u.Share, s.Members[name].Cap, u.Queued, u.Granted)
	}
	return t
}

func poolUsageTable(uses []Use) (t operatorapi.Table) {
	uses = slices.Clone(uses)
	slices.SortFunc(uses, func(a, b Use) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Member, b.Member))
	})
	t = newTable("usage by pool", "pool", "dataCentre", "member", "inUse", "share", "cap", "queued", "granted")
	for _, u := range uses {
		addRow(&t, u.Pool, u.DataCentre, u.Member, u.InUse, u.Share, u.Cap, u.Queued, u.Granted)
	}
	return t
}

func refusalsTable(counts []Refusal) (t operatorapi.Table) {
	counts = slices.Clone(counts)
	slices.SortFunc(counts, func(a, b Refusal) int { return cmp.Compare(b.Count, a.Count) })
	t = newTable("refusals", "pool", "dataCentre", "member", "reason", "count")
	for _, r := range counts {
		addRow(&t, r.Pool, r.DataCentre, r.Member, r.Reason, r.Count)
	}
	return t
}
