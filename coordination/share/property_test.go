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

// fixedQuota allows every member the same number of slots.
type fixedQuota struct {
	limit int
	uses  map[string]Request
}

func (c *fixedQuota) used(member string) (slots int) {
	for _, r := range c.uses {
		if r.Member == member {
			slots += r.slots()
		}
	}
	return slots
}

func (c *fixedQuota) Expected(string, time.Time) int { return c.limit }

func (c *fixedQuota) Use(id, member string, slots int, _, _ time.Time) bool {
	if c.used(member)+slots > c.limit {
		return false
	}
	c.uses[id] = Request{Member: member, Slots: slots}
	return true
}

func (c *fixedQuota) Release(id string) { delete(c.uses, id) }

// queueModel applies random operations to a queue and tracks which requests are
// queued and granted.
type queueModel struct {
	queue   *Queue
	quota   *fixedQuota
	now     time.Time
	queued  map[string]Request
	granted map[string]Grant
	serial  int
}

func (m *queueModel) push(t *rapid.T) {
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
	m.queued[r.ID] = r
	m.checkRefusals(t, m.queue.Push(r, m.now))
	m.decide(t)
}

func (m *queueModel) checkRefusals(t *rapid.T, refused []Refusal) {
	for _, r := range refused {
		if _, found := m.queued[r.Request.ID]; !found {
			t.Fatalf("request %s refused (%s) although it was not queued", r.Request.ID, r.Reason)
		}
		if r.Reason != DeadlinePassed && !m.now.Before(r.Request.Deadline) {
			t.Fatalf("request %s refused only after its deadline", r.Request.ID)
		}
		delete(m.queued, r.Request.ID)
	}
}

func (m *queueModel) decide(t *rapid.T) {
	grants, refused := m.queue.Decide(m.now)
	m.checkRefusals(t, refused)
	for _, g := range grants {
		if _, found := m.queued[g.Request.ID]; !found {
			t.Fatalf("request %s granted although it was not queued", g.Request.ID)
		}
		delete(m.queued, g.Request.ID)
		m.granted[g.Request.ID] = g
	}
}

// advance moves the clock by a random step and stops at every due time of the
// queue on the way.
func (m *queueModel) advance(t *rapid.T) {
	to := m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "step")) * time.Millisecond)
	for at, due := m.queue.NextDeadline(); due && at.Before(to); at, due = m.queue.NextDeadline() {
		if at.After(m.now) {
			m.now = at
		}
		m.now = m.now.Add(time.Millisecond)
		for _, g := range m.queue.ExpireGrants(m.now) {
			delete(m.granted, g.Request.ID)
		}
		m.decide(t)
	}
	m.now = to
	for _, g := range m.queue.ExpireGrants(m.now) {
		delete(m.granted, g.Request.ID)
	}
	m.decide(t)
}

func (m *queueModel) release(t *rapid.T) {
	if len(m.granted) > 0 {
		id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.granted))).Draw(t, "grant")
		m.queue.Release(id)
		delete(m.granted, id)
	}
	m.decide(t)
}

func (m *queueModel) cancel(t *rapid.T) {
	if len(m.queued) > 0 {
		id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.queued))).Draw(t, "request")
		if !m.queue.Cancel(id) {
			t.Fatalf("request %s is missing from the queue", id)
		}
		delete(m.queued, id)
	}
	m.decide(t)
}

func (m *queueModel) changeEndpoint(t *rapid.T) {
	name := rapid.SampledFrom([]string{"e0", "e1", "e2"}).Draw(t, "endpoint")
	if rapid.IntRange(0, 9).Draw(t, "drop") == 0 {
		m.queue.RemoveEndpoint(name)
	} else {
		m.queue.SetEndpoint(Endpoint{
			Name:   name,
			Slots:  8,
			Limit:  rapid.IntRange(1, 8).Draw(t, "limit"),
			Busy:   rapid.IntRange(0, 3).Draw(t, "busy"),
			Closed: rapid.Bool().Draw(t, "closed"),
			Paused: rapid.IntRange(0, 3).Draw(t, "held") == 0,
		})
	}
	m.decide(t)
}

func (m *queueModel) checkInvariants(t *rapid.T) {
	totals := m.queue.Totals()
	if totals.Queued != len(m.queued) {
		t.Fatalf("%d requests queued, want %d", totals.Queued, len(m.queued))
	}
	var slots, ahead, long int
	slotsByEndpoint := map[string]int{}
	for _, g := range m.granted {
		slots += g.Request.slots()
		slotsByEndpoint[g.Endpoint] += g.Request.slots()
		if g.Ahead {
			ahead += g.Request.slots()
		}
		if g.Long {
			long += g.Request.slots()
		}
	}
	if totals.InUse != slots || totals.AheadInUse != ahead || totals.LongInUse != long {
		t.Fatalf("totals are %+v, but the grants have %d slots, %d ahead, %d long", totals, slots, ahead, long)
	}
	for name, n := range slotsByEndpoint {
		if _, counted := m.queue.Load(name); n > 8 || counted != n {
			t.Fatalf("endpoint %s has %d slots in use, counted %d", name, n, counted)
		}
	}
	for _, member := range []string{"a", "b", "c"} {
		if n := m.quota.used(member); n > m.quota.limit {
			t.Fatalf("member %s uses %d slots over its quota %d", member, n, m.quota.limit)
		}
	}
	for c := range m.queue.backlogged() {
		e := queuedRequestOf(c.queue.Front())
		allowed := m.quota.used(e.Member)+e.slots() <= m.quota.limit && m.queue.withinLongLimit(e, m.now)
		if s := m.queue.pickEndpoint(e.Request); s != nil && allowed && m.queue.reserved.id != e.ID {
			t.Fatalf("request %s waits although endpoint %s has %d slots free", e.ID, s.Name, s.free())
		}
	}
	if m.queue.Totals().Queued == 0 && len(m.granted) == 0 && (len(m.queue.groupList) > 0 || m.queue.queuedBytes != 0) {
		t.Fatalf("empty queue still has %d groups and %d bytes", len(m.queue.groupList), m.queue.queuedBytes)
	}
}

// Guards the invariants of the queue under random sequences of all its
// operations: each request ends once and before its deadline, the slots of
// endpoints and quotas are never exceeded, and the counters match the grants.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := &fixedQuota{limit: rapid.IntRange(8, 24).Draw(t, "quota"), uses: map[string]Request{}}
		m := &queueModel{
			queue:   &Queue{Quota: quota, ClockError: 250 * time.Millisecond, SizeLimits: SizeLimits{Requests: 30}},
			quota:   quota,
			now:     start,
			queued:  map[string]Request{},
			granted: map[string]Grant{},
		}
		m.queue.SetMember(Member{Name: "a", Weight: 3, Minimum: 4})
		t.Repeat(map[string]func(*rapid.T){
			"push":     m.push,
			"push2":    m.push,
			"advance":  m.advance,
			"end":      m.release,
			"cancel":   m.cancel,
			"endpoint": m.changeEndpoint,
			"":         m.checkInvariants,
		})
	})
}

// Guards the definition of weighted max-min with minima: the shares add up to
// the total or to all that is wanted, no share exceeds what its party wants,
// and a share below that is at the common level or at the minimum.
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
			minima += d.effectiveMinimum()
			if shares[i] > d.effectiveMinimum()+1e-6 {
				level = max(level, shares[i]/d.weight())
			}
		}
		if math.Abs(sum-min(total, wanted)) > 1e-6 {
			t.Fatalf("shares %v add up to %f, total %f", shares, sum, total)
		}
		for i, d := range demands {
			if shares[i] > d.Want+1e-9 || (minima <= total && shares[i] < d.effectiveMinimum()-1e-9) {
				t.Fatalf("share %f of demand %+v", shares[i], d)
			}
			if shares[i] < d.Want-1e-6 && shares[i] < level*d.weight()-1e-6 {
				t.Fatalf("share %f of demand %+v is below the common level %f", shares[i], d, level)
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
