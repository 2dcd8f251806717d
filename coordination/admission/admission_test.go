package admission

import (
	"fmt"
	"testing"
	"time"
)

var start = time.UnixMilli(1_700_000_000_000)

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// pool returns a backlog of jobs that go first, on 1,000 thousandths of a core.
func pool(seconds ...float64) *Backlog {
	b := &Backlog{Supplies: []Supply{{From: start, Rate: Amount{CPU: 1000}}}}
	for _, s := range seconds {
		b.Load(Rank{}, Amount{CPU: s * 1e6})
	}
	return b
}

// request returns a job of one second that is on time within 2 s and of use within 6 s.
func request() Request {
	return Request{Work: Amount{CPU: 1e6}, Run: time.Second, OnTimeBy: after(2), UsefulUntil: after(6)}
}

// exact returns a calibration whose estimates were right.
func exact() *Calibration {
	return &Calibration{known: true, mean: 1}
}

func room(b *Backlog) []Queue {
	return []Queue{{Backlog: b, Reason: Room}}
}

// A job must be accepted whatever it asks for while nothing waits before it.
func TestNothingIsRefusedWithoutBacklog(t *testing.T) {
	for _, r := range []Request{request(), {Work: Amount{CPU: 1e12}, Run: time.Second, OnTimeBy: after(2), UsefulUntil: after(6), Surplus: true}} {
		if d := Decide(r, room(pool()), exact(), start); d.Refused {
			t.Errorf("refused: %+v", d)
		}
	}
}

// A burst that drains in time must be accepted as late, and one that does not must be refused
// with the time at which it has drained enough.
func TestBurstThatDrainsInTime(t *testing.T) {
	for _, c := range []struct {
		waiting float64
		outlook Outlook
		roomAt  time.Time
	}{
		{0.5, OnTime, time.Time{}},
		{4.9, Late, time.Time{}},
		{9, TooLate, after(4)},
	} {
		b := pool(c.waiting)
		b.Load(Rank{Class: ClassTooLate}, Amount{CPU: 1e9})
		d := Decide(request(), room(b), exact(), start)
		if d.Outlook != c.outlook || d.Refused != (c.outlook == TooLate) || !d.RoomAt.Equal(c.roomAt) {
			t.Errorf("%.1f s waiting: %+v, want outlook %d, room at %s", c.waiting, d, c.outlook, c.roomAt)
		}
	}
}

// Capacity on its way must count from when it is there.
func TestPoolThatGrowsMeanwhile(t *testing.T) {
	b := pool(9)
	b.Supplies = append(b.Supplies, Supply{From: after(2), Rate: Amount{CPU: 4000}})
	if d := Decide(request(), room(b), exact(), start); d.Refused || !d.EndsAt.Equal(after(4.75)) {
		t.Errorf("%+v, want the end at 4.75 s", d)
	}
}

// A small job must pass a wide one of its class, and a wide one must wait for the small.
func TestWideJobsBesideSmall(t *testing.T) {
	b := &Backlog{Supplies: []Supply{{From: start, Rate: Amount{CPU: 1000}}}}
	b.Load(Rank{Class: ClassLate, RemainingWork: 20}, Amount{CPU: 20e6})
	b.Load(Rank{RemainingWork: 20}, Amount{CPU: 20e6})
	r := request()
	r.Rank.RemainingWork = 1
	if d := Decide(r, room(b), exact(), start); d.Refused || d.Outlook != OnTime {
		t.Errorf("small job: %+v", d)
	}
	r.Rank.RemainingWork, r.Work = 30, Amount{CPU: 30e6}
	if d := Decide(r, room(b), exact(), start); !d.Refused {
		t.Errorf("wide job: %+v", d)
	}
}

// A surplus job must not take room from the work that is expected within the rates.
func TestSurplusOfOneOrganisation(t *testing.T) {
	b := &Backlog{Supplies: []Supply{{From: start, Rate: Amount{CPU: 1000}}}}
	b.Load(Rank{}, Amount{CPU: 0.5e6})
	r := request()
	r.Surplus, r.Rank.Class = true, ClassSurplus
	if d := Decide(r, room(b), exact(), start); d.Refused {
		t.Errorf("with room: %+v", d)
	}
	b.Reserved = Amount{CPU: 900}
	if d := Decide(r, room(b), exact(), start); !d.Refused || d.Reason != Rate {
		t.Errorf("with reserved room: %+v", d)
	}
	r.Surplus, r.Rank.Class = false, ClassOnTime
	if d := Decide(r, room(b), exact(), start); d.Refused {
		t.Errorf("within the rate: %+v", d)
	}
}

// Estimates that were too high must not refuse work that fits, and those that were too low
// must come to refuse work that does not.
func TestEstimatesFollowTheirError(t *testing.T) {
	b := pool(9)
	if d := Decide(request(), room(b), &Calibration{}, start); d.Refused {
		t.Errorf("an untried estimate within twice the limit refuses: %+v", d)
	}
	tooHigh, tooLow := &Calibration{}, &Calibration{}
	for range 100 {
		tooHigh.Observe(start, after(10), after(4))
		tooLow.Observe(start, after(4), after(8))
	}
	if d := Decide(request(), room(b), tooHigh, start); d.Refused || !d.EndsAt.Before(after(4.2)) {
		t.Errorf("after estimates that were too high: %+v", d)
	}
	if d := Decide(request(), room(pool(5)), tooLow, start); !d.Refused {
		t.Errorf("after estimates that were too low: %+v", d)
	}
	if d := Decide(request(), room(pool(1)), tooLow, start); d.Refused {
		t.Errorf("work that fits by a corrected estimate: %+v", d)
	}
}

// Jobs that are refused together must return one after the other, the first one first, and a
// job that returns early must keep its place.
func TestRefusedCallersReturnInOrder(t *testing.T) {
	var r Returns
	last := time.Time{}
	perSecond := make(map[int64]int)
	for i := range 40 {
		now := start.Add(time.Duration(i) * 23 * time.Millisecond)
		wait := r.RetryAfter("pool", fmt.Sprint(i), after(2.5), 100*time.Millisecond, now)
		if wait%time.Second != 0 || wait < time.Second {
			t.Fatalf("job %d: %s, want whole seconds", i, wait)
		}
		at := now.Add(wait)
		if at.Before(last) {
			t.Errorf("job %d returns at %s, before the one that was refused earlier", i, at.Sub(start))
		}
		if at.Before(after(2.5 + 0.1*float64(i))) {
			t.Errorf("job %d returns at %s, before there is room", i, at.Sub(start))
		}
		last = at
		perSecond[at.Unix()]++
	}
	for second, count := range perSecond {
		if count > 20 {
			t.Errorf("%d of 40 jobs return in second %d", count, second)
		}
	}
	early := r.RetryAfter("pool", "39", after(2.5), 100*time.Millisecond, after(1))
	if at := after(1).Add(early); at.Before(last) || at.After(last.Add(time.Second)) {
		t.Errorf("the place of a job that returns early is %s, was %s", at.Sub(start), last.Sub(start))
	}
}

// An owner that answers its starts late must be limited to what it answers, and only then.
func TestOwnerThatIsTooSlow(t *testing.T) {
	p := Pace{Interval: 100 * time.Millisecond}
	now := start
	run := func(seconds float64, perSecond int, delay time.Duration) {
		for range int(seconds * float64(perSecond)) {
			now = now.Add(time.Second / time.Duration(perSecond))
			p.Observe(delay, true, now)
		}
	}
	run(3, 500, 12*time.Millisecond)
	if l := p.Limit(now); l != 0 {
		t.Fatalf("limit %.0f of an owner that keeps up", l)
	}
	run(2, 300, 400*time.Millisecond)
	limit := p.Limit(now)
	if limit < 250 || limit > 330 {
		t.Fatalf("limit %.0f of an owner that answers 300 starts a second", limit)
	}
	orders := &Backlog{Supplies: []Supply{{From: now, Rate: Amount{Starts: limit / 1000}}}}
	orders.Load(Rank{}, Amount{Starts: 10_000})
	r := request()
	r.Work.Starts = 8
	r.OnTimeBy, r.UsefulUntil = now.Add(2*time.Second), now.Add(6*time.Second)
	if d := Decide(r, []Queue{{Backlog: pool(), Reason: Room}, {Backlog: orders, Reason: Orders}}, exact(), now); !d.Refused || d.Reason != Orders {
		t.Errorf("%+v, want a refusal for the orders", d)
	}
	now = now.Add(10 * time.Second)
	if l := p.Limit(now); l < 250 || l > 330 {
		t.Errorf("limit %.0f after silence, want about %.0f", l, limit)
	}
	run(2, 100, 12*time.Millisecond)
	if l := p.Limit(now); l != 0 {
		t.Errorf("limit %.0f of an owner that keeps up again", l)
	}
}

// A job whose organisation's limit is taken for longer than the job is of use must be refused,
// also if it is the only one that waits.
func TestLimitThatHoldsAJobBack(t *testing.T) {
	limit := &Backlog{Supplies: []Supply{{From: start, Rate: Amount{CPU: 1}}}}
	queues := []Queue{{Backlog: pool(), Reason: Room}, {Backlog: limit, Reason: Limit}}
	if d := Decide(request(), queues, exact(), start); !d.Refused || d.Reason != Limit {
		t.Errorf("%+v, want a refusal for the limit", d)
	}
}
