package share

import "time"

// Wish asks for slots outside the pool for queued requests of one kind.
type Wish struct {
	// First is the first queued request of the kind; its member, urgency and
	// slots describe all of them.
	First Request
	// Count is how many requests of the kind could start at once.
	Count int
}

// Wishes returns what the queue would place outside the pool now, at most limit
// requests in all, divided among the classes. Work that came from another pool
// is not passed on.
func (q *Queue) Wishes(limit int, now time.Time) (wishes []Wish) {
	own, found := q.groups[""]
	if !found || own.queued == 0 {
		return nil
	}
	classes := make([]*class, 0, len(own.accounts))
	own.backlogged(func(c *class) bool {
		classes = append(classes, c)
		return true
	})
	each := max(1, limit/len(classes))
	for _, c := range classes {
		if limit <= 0 {
			break
		}
		count := min(each, limit, q.expected(c.account.member.Name, now)-c.account.member.inUse)
		found := c.wishes(count)
		for _, w := range found {
			limit -= w.Count
		}
		wishes = append(wishes, found...)
	}
	return wishes
}

// wishes groups the first requests of the class by their slots.
func (c *class) wishes(count int) (wishes []Wish) {
	for at := c.queue.Front(); at != nil && count > 0; at = at.Next() {
		r := valueOf(at).Request
		wishes = addWish(wishes, r)
		count -= r.slots()
	}
	return wishes
}

func addWish(wishes []Wish, r Request) []Wish {
	for i := range wishes {
		if wishes[i].First.slots() == r.slots() {
			wishes[i].Count++
			return wishes
		}
	}
	return append(wishes, Wish{First: r, Count: 1})
}

// Offer is a slot outside the pool that was granted for a wish.
type Offer struct {
	Member   string
	Urgency  Urgency
	Slots    int
	Endpoint string
	// Until is when the grant outside the pool ends.
	Until time.Time
}

// Place grants an offer to the first queued request of the member that has the
// offered size, the offered urgency first; placed is false if none is left.
func (q *Queue) Place(o Offer, now time.Time) (g Grant, placed bool) {
	own, found := q.groups[""]
	if !found {
		return g, false
	}
	a := own.find(o.Member)
	if a == nil {
		return g, false
	}
	if g, placed = q.placeClass(&a.classes[o.Urgency], o, now); placed {
		return g, true
	}
	for u := range urgencies {
		if g, placed = q.placeClass(&a.classes[u], o, now); placed {
			return g, true
		}
	}
	return g, false
}

func (q *Queue) placeClass(c *class, o Offer, now time.Time) (g Grant, placed bool) {
	tried := 0
	for at := c.queue.Front(); at != nil && tried < lookahead; at = at.Next() {
		tried++
		e := valueOf(at)
		outside := host{Endpoint: Endpoint{Name: o.Endpoint}}
		if e.slots() != max(o.Slots, 1) || outside.avoidedBy(e.Request) || o.Until.Before(now.Add(e.Run)) {
			continue
		}
		g = Grant{Request: e.Request, Endpoint: o.Endpoint, At: now, Until: until(e.Request, now), Away: true}
		if o.Until.Before(g.Until) {
			g.Until = o.Until
		}
		return g, q.take(e, g, now)
	}
	return g, false
}
