package share

import (
	"math"
	"time"
)

// defaultRunTime is assumed for requests that declare no run time until one has
// been observed.
const defaultRunTime = time.Second

// typicalRunGain is the weight of a new run time in the moving average.
const typicalRunGain = 0.05

// unboundedWait is the estimate if the member gets no slots or would wait
// longer than a day.
const unboundedWait = time.Duration(math.MaxInt64)

// ObserveRunTime records the run time of a finished task. The moving average is used
// for requests that declare none.
func (q *Queue) ObserveRunTime(run time.Duration) {
	if run <= 0 {
		return
	}
	if q.typicalRunSeconds <= 0 {
		q.typicalRunSeconds = run.Seconds()
		return
	}
	q.typicalRunSeconds += typicalRunGain * (run.Seconds() - q.typicalRunSeconds)
}

// Estimate returns how long a request would wait if it were queued now.
func (q *Queue) Estimate(r Request, now time.Time) (wait time.Duration) {
	c := q.findClass(r)
	if (c == nil || c.queue.Len() == 0) && q.pickEndpoint(r) != nil && q.quotaLimit(r.Member, now) > 0 {
		return 0
	}
	var workAhead float64
	if c != nil {
		workAhead = c.queuedWork
	}
	return waitFor(workAhead+q.expectedWork(r), q.classShare(r, now))
}

// Share returns how many slots a member gets in a group while all queued
// requests compete for them.
func (q *Queue) Share(group, member string, now time.Time) (slots float64) {
	g, found := q.groups[group]
	if !found {
		return 0
	}
	slots = q.groupShare(group, 0)
	shares := q.accountShares(g, slots, nil, Request{}, now)
	for i, a := range g.accounts {
		if a.member.Name == member {
			return shares[i]
		}
	}
	return 0
}

// classShare returns how many slots the class of a request gets once the
// request is queued: the weighted max-min share of the group, then of the
// member, then of the class.
func (q *Queue) classShare(r Request, now time.Time) (slots float64) {
	slots = q.groupShare(r.Group, r.slots())
	g, found := q.groups[r.Group]
	if !found {
		return min(slots, float64(q.quotaLimit(r.Member, now)))
	}
	a := g.account(r.Member)
	shares := q.accountShares(g, slots, a, r, now)
	if a == nil {
		return shares[len(shares)-1]
	}
	return classShares(a, shares[indexOf(g.accounts, a)], r.Urgency, r.slots())[r.Urgency]
}

// groupShare returns the share of a group whose demand is raised by some slots.
func (q *Queue) groupShare(name string, more int) (slots float64) {
	demands := make([]Demand, 0, len(q.groupList)+1)
	at := -1
	for i, g := range q.groupList {
		want := g.inUse + g.queuedSlots
		if g.name == name {
			at = i
			want += more
		}
		demands = append(demands, Demand{Weight: float64(effectiveWeight(g.weight)), Want: float64(want)})
	}
	if at < 0 {
		at = len(demands)
		demands = append(demands, Demand{Weight: float64(effectiveWeight(q.groupWeights[name])), Want: float64(more)})
	}
	return Divide(float64(q.capacity()), demands)[at]
}

// accountShares returns the shares of the accounts of a group. The slots of r
// are added to the demand of account a; if a is nil and r is set, they are the
// demand of a new account at the end.
func (q *Queue) accountShares(g *group, slots float64, a *account, r Request, now time.Time) (shares []float64) {
	demands := make([]Demand, 0, len(g.accounts)+1)
	for _, x := range g.accounts {
		want := x.inUse + x.queuedSlots
		if x == a {
			want += r.slots()
		}
		demands = append(demands, q.memberDemand(g.name, x.member.Member, want, now))
	}
	if a == nil && r.Member != "" {
		m := Member{Name: r.Member}
		if p, found := q.members[r.Member]; found {
			m = p.Member
		}
		demands = append(demands, q.memberDemand(g.name, m, r.slots(), now))
	}
	return Divide(slots, demands)
}

func (q *Queue) memberDemand(group string, m Member, want int, now time.Time) (d Demand) {
	d = Demand{Weight: float64(effectiveWeight(m.Weight)), Want: float64(min(want, q.quotaLimit(m.Name, now)))}
	if group == "" {
		d.Minimum = float64(m.Minimum)
	}
	return d
}

// classShares returns the shares of the classes of an account, with some more
// slots demanded by the class of urgency u.
func classShares(a *account, slots float64, u Urgency, more int) (shares []float64) {
	demands := make([]Demand, urgencyCount)
	for i := range a.classes {
		c := &a.classes[i]
		demands[i] = Demand{Weight: float64(c.urgency.weight()), Want: float64(c.inUse + c.queuedSlots)}
	}
	demands[u].Want += float64(more)
	return Divide(slots, demands)
}

// quotaLimit returns the most slots that a member can expect to use; without a
// quota, there is no limit.
func (q *Queue) quotaLimit(member string, now time.Time) (slots int) {
	if q.Quota == nil {
		return math.MaxInt32
	}
	return q.Quota.Expected(member, now)
}

func (q *Queue) findClass(r Request) (c *class) {
	g, found := q.groups[r.Group]
	if !found {
		return nil
	}
	a := g.account(r.Member)
	if a == nil {
		return nil
	}
	return &a.classes[r.Urgency]
}

// expectedWork returns the slot-seconds that a request is expected to take.
func (q *Queue) expectedWork(r Request) (seconds float64) {
	return q.expectedRunSeconds(r) * float64(r.slots())
}

// expectedRunSeconds returns the declared run time of a request, or a typical
// one if it declares none.
func (q *Queue) expectedRunSeconds(r Request) (seconds float64) {
	switch {
	case r.Run > 0:
		return r.Run.Seconds()
	case q.typicalRunSeconds > 0:
		return q.typicalRunSeconds
	default:
		return defaultRunTime.Seconds()
	}
}

func waitFor(work, slots float64) (wait time.Duration) {
	if slots <= 0 {
		return unboundedWait
	}
	seconds := work / slots
	if seconds > (24 * time.Hour).Seconds() {
		return unboundedWait
	}
	return time.Duration(seconds * float64(time.Second))
}

func indexOf[T comparable](items []T, item T) int {
	for i, x := range items {
		if x == item {
			return i
		}
	}
	return -1
}
