package share

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// caps is a quota with a fixed number of slots for each member.
type caps struct {
	most int
	held map[string]Request
}

func (c *caps) used(member string) (slots int) {
	for _, r := range c.held {
		if r.Member == member {
			slots += r.slots()
		}
	}
	return slots
}

func (c *caps) Expected(string, time.Time) int { return c.most }

func (c *caps) Use(id, member string, slots int, _, _ time.Time) bool {
	if c.used(member)+slots > c.most {
		return false
	}
	c.held[id] = Request{Member: member, Slots: slots}
	return true
}

func (c *caps) Release(id string) { delete(c.held, id) }

// model drives a queue with random steps and knows what must hold.
type model struct {
	queue  *Queue
	quota  *caps
	now    time.Time
	open   map[string]Request
	issued map[string]Grant
	serial int
}

func (m *model) push(t *rapid.T) {
	m.serial++
	r := Request{
		ID:       fmt.Sprint(m.serial),
		Group:    rapid.SampledFrom([]string{"", "x"}).Draw(t, "group"),
		Member:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "member"),
		Urgency:  Urgency(rapid.IntRange(0, 2).Draw(t, "urgency")),
		Slots:    rapid.IntRange(1, 9).Draw(t, "slots"),
		Run:      time.Duration(rapid.IntRange(0, 5000).Draw(t, "run")) * time.Millisecond,
		Deadline: m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "deadline")) * time.Second),
	}
	m.open[r.ID] = r
	m.refuse(t, m.queue.Push(r, m.now))
	m.decide(t)
}

func (m *model) refuse(t *rapid.T, refused []Refusal) {
	for _, r := range refused {
		if _, found := m.open[r.Request.ID]; !found {
			t.Fatalf("request %s refused (%s) but it was not open", r.Request.ID, r.Reason)
		}
		if r.Reason != DeadlinePassed && !m.now.Before(r.Request.Deadline) {
			t.Fatalf("request %s kept till its deadline", r.Request.ID)
		}
		delete(m.open, r.Request.ID)
	}
}

func (m *model) decide(t *rapid.T) {
	grants, refused := m.queue.Decide(m.now)
	m.refuse(t, refused)
	for _, g := range grants {
		if _, found := m.open[g.Request.ID]; !found {
			t.Fatalf("request %s granted but it was not open", g.Request.ID)
		}
		delete(m.open, g.Request.ID)
		m.issued[g.Request.ID] = g
	}
}

// advance moves to the next deadline of the queue or a little further.
func (m *model) advance(t *rapid.T) {
	to := m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "step")) * time.Millisecond)
	for at, due := m.queue.Next(); due && at.Before(to); at, due = m.queue.Next() {
		if at.After(m.now) {
			m.now = at
		}
		m.now = m.now.Add(time.Millisecond)
		for _, g := range m.queue.Overdue(m.now) {
			delete(m.issued, g.Request.ID)
		}
		m.decide(t)
	}
	m.now = to
	for _, g := range m.queue.Overdue(m.now) {
		delete(m.issued, g.Request.ID)
	}
	m.decide(t)
}

func (m *model) end(t *rapid.T) {
	if len(m.issued) > 0 {
		id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.issued))).Draw(t, "grant")
		m.queue.Release(id)
		delete(m.issued, id)
	}
	m.decide(t)
}

func (m *model) cancel(t *rapid.T) {
	if len(m.open) > 0 {
		id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.open))).Draw(t, "request")
		if !m.queue.Cancel(id) {
			t.Fatalf("open request %s is not in the queue", id)
		}
		delete(m.open, id)
	}
	m.decide(t)
}

func (m *model) endpoint(t *rapid.T) {
	name := rapid.SampledFrom([]string{"e0", "e1", "e2"}).Draw(t, "endpoint")
	if rapid.IntRange(0, 9).Draw(t, "drop") == 0 {
		m.queue.DropEndpoint(name)
	} else {
		m.queue.SetEndpoint(Endpoint{
			Name:   name,
			Slots:  8,
			Limit:  rapid.IntRange(1, 8).Draw(t, "limit"),
			Busy:   rapid.IntRange(0, 3).Draw(t, "busy"),
			Closed: rapid.Bool().Draw(t, "closed"),
			Held:   rapid.IntRange(0, 3).Draw(t, "held") == 0,
		})
	}
	m.decide(t)
}

func (m *model) check(t *rapid.T) {
	totals := m.queue.Totals()
	if totals.Queued != len(m.open) {
		t.Fatalf("%d requests queued, %d open", totals.Queued, len(m.open))
	}
	var slots, ahead, long int
	onHost := map[string]int{}
	for _, g := range m.issued {
		slots += g.Request.slots()
		onHost[g.Endpoint] += g.Request.slots()
		if g.Ahead {
			ahead += g.Request.slots()
		}
		if g.Long {
			long += g.Request.slots()
		}
	}
	if totals.InUse != slots || totals.Ahead != ahead || totals.Long != long {
		t.Fatalf("sums %+v, grants have %d slots, %d ahead, %d long", totals, slots, ahead, long)
	}
	for name, n := range onHost {
		if _, counted := m.queue.Load(name); n > 8 || counted != n {
			t.Fatalf("endpoint %s has %d slots in use, counted %d", name, n, counted)
		}
	}
	for _, member := range []string{"a", "b", "c"} {
		if n := m.quota.used(member); n > m.quota.most {
			t.Fatalf("member %s uses %d slots over its quota %d", member, n, m.quota.most)
		}
	}
	for c := range m.queue.backlogged() {
		e := valueOf(c.queue.Front())
		allowed := m.quota.used(e.Member)+e.slots() <= m.quota.most && m.queue.mayTakeLong(e, m.now)
		if h := m.queue.pick(e.Request); h != nil && allowed && m.queue.reserved.id != e.ID {
			t.Fatalf("request %s waits although endpoint %s has %d slots free", e.ID, h.Name, h.free())
		}
	}
	if m.queue.Totals().Queued == 0 && len(m.issued) == 0 && (len(m.queue.order) > 0 || m.queue.bytes != 0) {
		t.Fatalf("empty queue keeps %d groups and %d bytes", len(m.queue.order), m.queue.bytes)
	}
}

// Guards the books of the queue under random orders of all its operations:
// each request ends once and before its deadline, endpoints and quotas are
// never exceeded, and no sum drifts.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := &caps{most: rapid.IntRange(8, 24).Draw(t, "quota"), held: map[string]Request{}}
		m := &model{
			queue:  &Queue{Quota: quota, ClockError: 250 * time.Millisecond, Room: Room{Requests: 30}},
			quota:  quota,
			now:    start,
			open:   map[string]Request{},
			issued: map[string]Grant{},
		}
		m.queue.SetMember(Member{Name: "a", Weight: 3, Minimum: 4})
		t.Repeat(map[string]func(*rapid.T){
			"push":     m.push,
			"push2":    m.push,
			"advance":  m.advance,
			"end":      m.end,
			"cancel":   m.cancel,
			"endpoint": m.endpoint,
			"":         m.check,
		})
	})
}

// Guards the definition of weighted max-min with minima: nothing is lost or
// invented, nobody gets more than wanted, and whoever got less than wanted is
// at the common level or at the minimum.
func TestDivideProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Float64Range(0, 500).Draw(t, "total")
		demands := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Demand {
			return Demand{
				Weight:  float64(rapid.IntRange(0, 5).Draw(t, "weight")),
				Minimum: float64(rapid.IntRange(0, 20).Draw(t, "minimum")),
				Want:    float64(rapid.IntRange(0, 100).Draw(t, "want")),
			}
		}), 1, 8).Draw(t, "demands")
		shares := Divide(total, demands)
		var sum, wanted, minima, level float64
		for i, d := range demands {
			sum += shares[i]
			wanted += d.Want
			minima += d.floor()
			if shares[i] > d.floor()+1e-6 {
				level = max(level, shares[i]/d.weight())
			}
		}
		if math.Abs(sum-min(total, wanted)) > 1e-6 {
			t.Fatalf("shares %v add up to %f of %f", shares, sum, total)
		}
		for i, d := range demands {
			if shares[i] > d.Want+1e-9 || (minima <= total && shares[i] < d.floor()-1e-9) {
				t.Fatalf("share %f of demand %+v", shares[i], d)
			}
			if shares[i] < d.Want-1e-6 && shares[i] < level*d.weight()-1e-6 {
				t.Fatalf("share %f of demand %+v is below the level %f", shares[i], d, level)
			}
		}
	})
}

// BenchmarkCancelHalf cancels half of a queue of n requests.
func BenchmarkCancelHalf(b *testing.B) {
	for _, n := range []int{1_000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				q := newQueue(1)
				for i := range n {
					q.Push(request(fmt.Sprint(i), "a", Batch), start)
				}
				b.StartTimer()
				for i := 0; i < n; i += 2 {
					q.Cancel(fmt.Sprint(i))
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n/2), "ns/cancel")
		})
	}
}
