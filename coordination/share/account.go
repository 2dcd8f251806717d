package share

import "container/list"

// Member is a party to the pool, as the queue needs to know it.
type Member struct {
	Name string
	// Weight is the member's weight where slots are scarce; zero counts as one.
	Weight int
	// Minimum is how many slots the member gets first in this queue; it holds
	// for the pool's own work, not for work that overflows from other pools.
	Minimum int
}

// group is the work that was submitted to one pool.
type group struct {
	name     string
	weight   int
	accounts []*account
	inUse    int
	queued   int
	// wanted is the slots that the queued requests ask for.
	wanted int
}

// account is the work of one member in one group.
type account struct {
	group   *group
	member  *party
	classes [urgencies]class
	inUse   int
	queued  int
	wanted  int
}

// class is the work of one urgency in an account.
type class struct {
	account *account
	urgency Urgency
	queue   list.List
	inUse   int
	wanted  int
	// work is the slot-seconds that the queued requests are expected to take.
	work float64
	// skipped is the last pass of Decide that found nothing to grant here.
	skipped int64
}

// party is what the queue keeps of a member over all groups.
type party struct {
	Member
	inUse   int
	queued  int
	granted int64
	refused []Count
}

// Count is how often a reason was given.
type Count struct {
	Reason Reason
	Count  int64
}

// SetMember adds a member or replaces its weight and minimum.
func (q *Queue) SetMember(m Member) {
	q.party(m.Name).Member = m
}

// SetGroup sets the weight of a group; zero counts as one.
func (q *Queue) SetGroup(name string, weight int) {
	if q.weights == nil {
		q.weights = make(map[string]int)
	}
	q.weights[name] = weight
	if g, found := q.groups[name]; found {
		g.weight = weight
	}
}

func (q *Queue) party(name string) (p *party) {
	p, found := q.members[name]
	if !found {
		if q.members == nil {
			q.members = make(map[string]*party)
		}
		p = &party{Member: Member{Name: name}}
		q.members[name] = p
	}
	return p
}

func (q *Queue) class(r Request) (c *class) {
	g, found := q.groups[r.Group]
	if !found {
		if q.groups == nil {
			q.groups = make(map[string]*group)
		}
		g = &group{name: r.Group, weight: q.weights[r.Group]}
		q.groups[r.Group] = g
		q.order = append(q.order, g)
	}
	a := g.find(r.Member)
	if a == nil {
		a = &account{group: g, member: q.party(r.Member)}
		for u := range urgencies {
			a.classes[u].account = a
			a.classes[u].urgency = u
		}
		g.accounts = append(g.accounts, a)
	}
	return &a.classes[r.Urgency]
}

func (g *group) find(member string) (a *account) {
	for _, a := range g.accounts {
		if a.member.Name == member {
			return a
		}
	}
	return nil
}

// forget drops an account without work, and its group with the last one.
func (q *Queue) forget(a *account) {
	if a.queued > 0 || a.inUse > 0 {
		return
	}
	g := a.group
	g.accounts = without(g.accounts, a)
	if len(g.accounts) == 0 {
		delete(q.groups, g.name)
		q.order = without(q.order, g)
	}
}

// use changes the slots in use of a class and of everything above it.
func (c *class) use(slots int) {
	c.inUse += slots
	c.account.inUse += slots
	c.account.group.inUse += slots
	c.account.member.inUse += slots
}

// count changes the number of queued requests above the class and their slots.
func (c *class) count(requests, slots int) {
	c.wanted += slots
	c.account.queued += requests
	c.account.wanted += slots
	c.account.group.queued += requests
	c.account.group.wanted += slots
	c.account.member.queued += requests
}

// guaranteed tells whether the slots are within the member's minimum.
func (a *account) guaranteed(slots int) bool {
	return a.group.name == "" && a.inUse+slots <= a.member.Minimum
}

func (p *party) refuse(reason Reason) {
	for i := range p.refused {
		if p.refused[i].Reason == reason {
			p.refused[i].Count++
			return
		}
	}
	p.refused = append(p.refused, Count{Reason: reason, Count: 1})
}

func atLeastOne(weight int) int {
	return max(weight, 1)
}

// without removes an item; order is not kept.
func without[T comparable](items []T, item T) []T {
	for i, x := range items {
		if x == item {
			last := len(items) - 1
			items[i] = items[last]
			var none T
			items[last] = none
			return items[:last]
		}
	}
	return items
}
