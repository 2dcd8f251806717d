package share

import (
	"math"
	"time"
)

// defaultRun stands in for the run time of a request while none is known.
const defaultRun = time.Second

// typicalGain is the part of a new run time in the running mean.
const typicalGain = 0.05

// never is the estimate where the member gets no slot at all.
const never = time.Duration(math.MaxInt64)

// Observe learns how long a request ran; it stands in for the run time of
// requests that state none.
func (q *Queue) Observe(run time.Duration) {
	if run <= 0 {
		return
	}
	if q.typical <= 0 {
		q.typical = run.Seconds()
		return
	}
	q.typical += typicalGain * (run.Seconds() - q.typical)
}

// Estimate returns how long a request would wait if it were queued now.
func (q *Queue) Estimate(r Request, now time.Time) (wait time.Duration) {
	c := q.find(r)
	if (c == nil || c.queue.Len() == 0) && q.pick(r) != nil && q.expected(r.Member, now) > 0 {
		return 0
	}
	var ahead float64
	if c != nil {
		ahead = c.work
	}
	return waitFor(ahead+q.work(r), q.rate(r, now))
}

// Share returns the slots that a member's work of a group gets while all
// queued work competes for them.
func (q *Queue) Share(group, member string, now time.Time) (slots float64) {
	g, found := q.groups[group]
	if !found {
		return 0
	}
	slots = q.divideGroups(group, 0)
	shares := q.divideAccounts(g, slots, nil, Request{}, now)
	for i, a := range g.accounts {
		if a.member.Name == member {
			return shares[i]
		}
	}
	return 0
}

// rate returns the slots that a request's class gets once the request is
// queued: the weighted max-min share of its group, member and class in turn.
func (q *Queue) rate(r Request, now time.Time) (slots float64) {
	slots = q.divideGroups(r.Group, r.slots())
	g, found := q.groups[r.Group]
	if !found {
		return min(slots, float64(q.expected(r.Member, now)))
	}
	a := g.find(r.Member)
	shares := q.divideAccounts(g, slots, a, r, now)
	if a == nil {
		return shares[len(shares)-1]
	}
	return divideClasses(a, shares[indexOf(g.accounts, a)], r.Urgency, r.slots())[r.Urgency]
}

// divideGroups returns the share of a group that asks for some more slots.
func (q *Queue) divideGroups(name string, more int) (slots float64) {
	demands := make([]Demand, 0, len(q.order)+1)
	at := -1
	for i, g := range q.order {
		want := g.inUse + g.wanted
		if g.name == name {
			at = i
			want += more
		}
		demands = append(demands, Demand{Weight: float64(atLeastOne(g.weight)), Want: float64(want)})
	}
	if at < 0 {
		at = len(demands)
		demands = append(demands, Demand{Weight: float64(atLeastOne(q.weights[name])), Want: float64(more)})
	}
	return Divide(float64(q.capacity()), demands)[at]
}

// divideAccounts returns the shares of the members of a group; r is added to
// the demand of account a, or of a new one at the end if a is nil and r is set.
func (q *Queue) divideAccounts(g *group, slots float64, a *account, r Request, now time.Time) (shares []float64) {
	demands := make([]Demand, 0, len(g.accounts)+1)
	for _, x := range g.accounts {
		want := x.inUse + x.wanted
		if x == a {
			want += r.slots()
		}
		demands = append(demands, q.demand(g.name, x.member.Member, want, now))
	}
	if a == nil && r.Member != "" {
		m := Member{Name: r.Member}
		if p, found := q.members[r.Member]; found {
			m = p.Member
		}
		demands = append(demands, q.demand(g.name, m, r.slots(), now))
	}
	return Divide(slots, demands)
}

func (q *Queue) demand(group string, m Member, want int, now time.Time) (d Demand) {
	d = Demand{Weight: float64(atLeastOne(m.Weight)), Want: float64(min(want, q.expected(m.Name, now)))}
	if group == "" {
		d.Minimum = float64(m.Minimum)
	}
	return d
}

// divideClasses returns the shares of a member's classes; more slots are asked
// for in one of them.
func divideClasses(a *account, slots float64, u Urgency, more int) (shares []float64) {
	demands := make([]Demand, urgencies)
	for i := range a.classes {
		c := &a.classes[i]
		demands[i] = Demand{Weight: float64(c.urgency.weight()), Want: float64(c.inUse + c.wanted)}
	}
	demands[u].Want += float64(more)
	return Divide(slots, demands)
}

// expected returns what a member can use at most; without a quota that is
// everything.
func (q *Queue) expected(member string, now time.Time) (slots int) {
	if q.Quota == nil {
		return math.MaxInt32
	}
	return q.Quota.Expected(member, now)
}

func (q *Queue) find(r Request) (c *class) {
	g, found := q.groups[r.Group]
	if !found {
		return nil
	}
	a := g.find(r.Member)
	if a == nil {
		return nil
	}
	return &a.classes[r.Urgency]
}

// work returns the slot-seconds that a request is expected to take.
func (q *Queue) work(r Request) (seconds float64) {
	return q.run(r) * float64(r.slots())
}

// run returns the expected run time in seconds, or a typical one if unknown.
func (q *Queue) run(r Request) (seconds float64) {
	switch {
	case r.Run > 0:
		return r.Run.Seconds()
	case q.typical > 0:
		return q.typical
	default:
		return defaultRun.Seconds()
	}
}

func waitFor(work, slots float64) (wait time.Duration) {
	if slots <= 0 {
		return never
	}
	seconds := work / slots
	if seconds > (24 * time.Hour).Seconds() {
		return never
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
