package share

import "container/list"

// Member holds the parameters by which a member shares the pool.
type Member struct {
	Name string
	// Weight determines the share of the member where slots are scarce; zero
	// counts as one.
	Weight int
	// Minimum is how many slots the member gets before the others share the
	// rest. It applies to requests of the pool itself, not to those that
	// overflow from other pools.
	Minimum int
}

// group holds the accounts of the requests that were submitted to one pool.
type group struct {
	name     string
	weight   int
	accounts []*account
	inUse    int
	queued   int
	// queuedSlots is how many slots the queued requests ask for.
	queuedSlots int
}

// account holds the requests of one member in one group.
type account struct {
	group       *group
	member      *memberTotals
	classes     [urgencyCount]class
	inUse       int
	queued      int
	queuedSlots int
}

// class holds the requests of one urgency in an account.
type class struct {
	account     *account
	urgency     Urgency
	queue       list.List
	inUse       int
	queuedSlots int
	// queuedWork is the slot-seconds that the queued requests are expected to
	// take.
	queuedWork float64
	// skippedPass is the last pass of Decide that could grant no request of the
	// class.
	skippedPass int64
}

// memberTotals holds the parameters of a member and its counters over all
// groups.
type memberTotals struct {
	Member
	inUse   int
	queued  int
	granted int64
	refused []RefusalCount
}

// RefusalCount is the number of refusals for one reason.
type RefusalCount struct {
	Reason Reason
	Count  int64
}

// SetMember adds a member or replaces its weight and minimum.
func (q *Queue) SetMember(m Member) {
	q.ensureMember(m.Name).Member = m
}

// SetGroup sets the weight of a group; zero counts as one.
func (q *Queue) SetGroup(name string, weight int) {
	if q.groupWeights == nil {
		q.groupWeights = make(map[string]int)
	}
	q.groupWeights[name] = weight
	if g, found := q.groups[name]; found {
		g.weight = weight
	}
}

// ensureMember returns the totals of a member and adds them if they are missing.
func (q *Queue) ensureMember(name string) (p *memberTotals) {
	p, found := q.members[name]
	if !found {
		if q.members == nil {
			q.members = make(map[string]*memberTotals)
		}
		p = &memberTotals{Member: Member{Name: name}}
		q.members[name] = p
	}
	return p
}

// ensureClass returns the class of a request and adds its group and account if
// they are missing.
func (q *Queue) ensureClass(r Request) (c *class) {
	g, found := q.groups[r.Group]
	if !found {
		if q.groups == nil {
			q.groups = make(map[string]*group)
		}
		g = &group{name: r.Group, weight: q.groupWeights[r.Group]}
		q.groups[r.Group] = g
		q.groupList = append(q.groupList, g)
	}
	a := g.account(r.Member)
	if a == nil {
		a = &account{group: g, member: q.ensureMember(r.Member)}
		for u := range urgencyCount {
			a.classes[u].account = a
			a.classes[u].urgency = u
		}
		g.accounts = append(g.accounts, a)
	}
	return &a.classes[r.Urgency]
}

func (g *group) account(member string) (a *account) {
	for _, a := range g.accounts {
		if a.member.Name == member {
			return a
		}
	}
	return nil
}

// removeIfIdle removes an account that has neither queued requests nor grants,
// and its group with the last account.
func (q *Queue) removeIfIdle(a *account) {
	if a.queued > 0 || a.inUse > 0 {
		return
	}
	g := a.group
	g.accounts = removeUnordered(g.accounts, a)
	if len(g.accounts) == 0 {
		delete(q.groups, g.name)
		q.groupList = removeUnordered(q.groupList, g)
	}
}

// addInUse adds to the slots in use of a class, its account, its group and its
// member.
func (c *class) addInUse(slots int) {
	c.inUse += slots
	c.account.inUse += slots
	c.account.group.inUse += slots
	c.account.member.inUse += slots
}

// addQueued adds queued requests and their slots to the counters of a class,
// its account, its group and its member.
func (c *class) addQueued(requests, slots int) {
	c.queuedSlots += slots
	c.account.queued += requests
	c.account.queuedSlots += slots
	c.account.group.queued += requests
	c.account.group.queuedSlots += slots
	c.account.member.queued += requests
}

// withinMinimum reports whether that many more slots are within the minimum of
// the member.
func (a *account) withinMinimum(slots int) bool {
	return a.group.name == "" && a.inUse+slots <= a.member.Minimum
}

func (p *memberTotals) countRefusal(reason Reason) {
	for i := range p.refused {
		if p.refused[i].Reason == reason {
			p.refused[i].Count++
			return
		}
	}
	p.refused = append(p.refused, RefusalCount{Reason: reason, Count: 1})
}

func effectiveWeight(weight int) int {
	return max(weight, 1)
}

// removeUnordered removes an item from a slice without keeping the order.
func removeUnordered[T comparable](items []T, item T) []T {
	for i, x := range items {
		if x == item {
			last := len(items) - 1
			items[i] = items[last]
			var zero T
			items[last] = zero
			return items[:last]
		}
	}
	return items
}
