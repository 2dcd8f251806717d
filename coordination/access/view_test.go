package access

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testBound = 5 * time.Second

// minServed is the part of the bound for which an entry has to serve after a loss.
const minServed = 0.6

// scaled returns a part of the test bound.
func scaled(part float64) time.Duration {
	return time.Duration(part * float64(testBound))
}

// Guards against verdicts that differ from the documented ones: a view that was never
// confirmed, one of each age, and settings without a bound.
func TestDecide(t *testing.T) {
	strict := Policy{RevokeWithin: testBound}
	fresh := func(age time.Duration) Freshness { return Freshness{Age: age, Confirmed: true} }
	for name, c := range map[string]struct {
		policy    Policy
		freshness Freshness
		known     bool
		want      Verdict
	}{
		"known key":                              {strict, fresh(time.Second), true, Allowed},
		"unknown key":                            {strict, fresh(time.Second), false, Unauthorised},
		"known key, view at its limit":           {strict, fresh(strict.MaxAge()), true, Allowed},
		"known key, view too old":                {strict, fresh(strict.MaxAge() + 1), true, Unconfirmed},
		"unknown key, it may have been added":    {strict, fresh(3 * time.Second), false, Unconfirmed},
		"known key, never confirmed":             {strict, Freshness{}, true, Unconfirmed},
		"unknown key, never confirmed":           {strict, Freshness{}, false, Unconfirmed},
		"known key, no bound":                    {Policy{}, fresh(time.Hour), true, Allowed},
		"unknown key, no bound":                  {Policy{}, fresh(time.Hour), false, Unauthorised},
		"known key, no bound, never confirmed":   {Policy{}, Freshness{}, true, Allowed},
		"unknown key, no bound, never confirmed": {Policy{}, Freshness{}, false, Unauthorised},
	} {
		if got := c.policy.Decide(c.freshness, c.known); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

// Guards against an older confirmation that replaces a newer one: a read and a watch may be
// answered in either order.
func TestConfirmKeepsNewest(t *testing.T) {
	var v View
	v.Confirm(7 * time.Second)
	v.Confirm(4 * time.Second)
	if f := v.Freshness(9 * time.Second); f.Age != 2*time.Second || !f.Confirmed {
		t.Errorf("freshness %+v, want an age of 2 s", f)
	}
}

// Guards against a missing or repeated report of a view that becomes too old: one when it
// does, one when a call confirms it again.
func TestTransition(t *testing.T) {
	p := Policy{RevokeWithin: testBound}
	var v View
	for i, step := range []struct {
		confirmAt, now  time.Duration
		changed, closed bool
	}{
		{0, 0, true, true},
		{0, time.Second, false, true},
		{2 * time.Second, 2 * time.Second, true, false},
		{0, 6 * time.Second, false, false},
		{0, 60 * time.Second, true, true},
		{0, 61 * time.Second, false, true},
		{61 * time.Second, 62 * time.Second, true, false},
	} {
		if step.confirmAt > 0 {
			v.Confirm(step.confirmAt)
		}
		if changed, closed, _ := v.Transition(p, step.now); changed != step.changed || closed != step.closed {
			t.Errorf("step %d: changed %v, closed %v", i, changed, closed)
		}
	}
}

// event is a step of the model at a time on the operators' clock.
type event struct {
	at  time.Duration
	run func()
}

// model is an entry with its view, a store in which keys are removed, and calls and requests
// each leg of which is delayed, lost or held up by a suspension of the entry.
type model struct {
	*rapid.T

	policy Policy
	// clockRate is the duration on the entry's clock of one second on the operators'.
	clockRate float64
	view      View
	// removals holds when the removal of each key was acknowledged, and inForce how many of
	// them the entry's configuration has.
	removals []time.Duration
	inForce  int
	events   []event
}

// clock returns the entry's clock at a time.
func (m *model) clock(at time.Duration) time.Duration {
	return time.Duration(float64(at) * m.clockRate)
}

// drawTime returns a time within the model's span, or one shortly after a removal or a bound
// after it, where faults show.
func (m *model) drawTime(label string) time.Duration {
	base := time.Duration(rapid.Int64Range(0, int64(4*testBound)).Draw(m.T, label))
	near := rapid.SliceOfN(rapid.IntRange(0, 3), 2, 2).Draw(m.T, label+" near")
	if len(m.removals) == 0 || near[0] == 0 {
		return base
	}
	at := m.removals[base.Nanoseconds()%int64(len(m.removals))]
	if near[0] == 1 {
		at += testBound
	}
	return at + time.Duration(near[1]-1)*time.Millisecond
}

// drawDelay returns the duration of a leg: that of a quick or a slow network, or one in
// which the entry is suspended.
func (m *model) drawDelay(label string) time.Duration {
	return rapid.SampledFrom([]time.Duration{0, time.Millisecond, 300 * time.Millisecond, time.Second, testBound, 2 * testBound}).Draw(m.T, label)
}

// addCall adds a confirming call: it is sent, read in the store, and answered or lost.
func (m *model) addCall() {
	sentAt := m.drawTime("call")
	readAt := sentAt + m.drawDelay("call to the store")
	answeredAt := readAt + m.drawDelay("call to the entry")
	if rapid.Bool().Draw(m.T, "call lost") {
		return
	}
	confirmedAt := answeredAt + m.drawDelay("call applied")
	m.events = append(m.events, event{at: answeredAt, run: func() {
		read := 0
		for read < len(m.removals) && m.removals[read] <= readAt {
			read++
		}
		m.inForce = max(m.inForce, read)
	}}, event{at: confirmedAt, run: func() { m.view.Confirm(m.clock(sentAt)) }})
}

// addRequest adds a request with a key: the entry reads the freshness and, later, looks the
// key up.
func (m *model) addRequest() {
	sentAt := m.drawTime("request")
	checkedAt := sentAt + m.drawDelay("request to the entry")
	foundAt := checkedAt + m.drawDelay("request suspended")
	key := rapid.IntRange(0, len(m.removals)-1).Draw(m.T, "key")
	var f Freshness
	m.events = append(m.events, event{at: checkedAt, run: func() { f = m.view.Freshness(m.clock(checkedAt)) }}, event{at: foundAt, run: func() {
		verdict := m.policy.Decide(f, m.inForce <= key)
		if late := sentAt - m.removals[key]; verdict == Allowed && late > m.policy.RevokeWithin {
			m.Fatalf("a request is served that was sent %s after the removal of its key", late)
		}
	}})
}

// Guards against a request that is served although it was sent later than the bound after
// its key was removed: with each leg of the calls delayed, lost, or held up by a suspension of
// the entry, answers out of order, and a slow clock.
func TestNoRemovedKeyIsServedAfterTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{T: t, policy: Policy{RevokeWithin: testBound}, clockRate: rapid.Float64Range(1/maxClockRatio, 1).Draw(t, "clock")}
		for range rapid.IntRange(1, 3).Draw(t, "removals") {
			m.removals = append(m.removals, time.Duration(rapid.Int64Range(0, int64(2*testBound)).Draw(t, "removal")))
		}
		slices.Sort(m.removals)
		for range rapid.IntRange(4, 16).Draw(t, "calls") {
			m.addCall()
		}
		for range rapid.IntRange(10, 40).Draw(t, "requests") {
			m.addRequest()
		}
		slices.SortStableFunc(m.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
		for _, e := range m.events {
			e.run()
		}
	})
}

// Guards against an entry that closes earlier than three fifths of the bound after it has
// lost the store, if its view was confirmed recently enough before the loss; and against one
// that stays open for longer than the bound.
func TestViewServesAfterLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Policy{RevokeWithin: testBound}
		margin := p.MaxAge() - scaled(minServed)
		lostAt := time.Duration(rapid.Int64Range(int64(margin), int64(time.Hour)).Draw(t, "loss"))
		var v View
		v.Confirm(lostAt - time.Duration(rapid.Int64Range(0, int64(margin)).Draw(t, "confirmed before")))
		served := time.Duration(rapid.Int64Range(0, int64(scaled(minServed))).Draw(t, "after the loss"))
		if got := p.Decide(v.Freshness(lostAt+served), true); got != Allowed {
			t.Fatalf("%s at %s after the loss", got, served)
		}
		if got := p.Decide(v.Freshness(lostAt+testBound), true); got != Unconfirmed {
			t.Fatalf("%s at the bound after the loss", got)
		}
	})
}

// Guards against an interval between confirmations that leaves too little of the bound after
// a loss: the last answer may be lost with the store, and the one before it confirmed the
// view as of one interval earlier. Guards also against reads that are made although the watch
// is answered in time.
func TestConfirmIntervalLeavesEnoughOfTheBound(t *testing.T) {
	const answerDelay = 50 * time.Millisecond
	p := Policy{RevokeWithin: testBound}
	oldest := 2 * (p.ConfirmInterval() + answerDelay)
	if served := p.MaxAge() - oldest; served < scaled(minServed) {
		t.Errorf("a view that is %s old at a loss serves only for %s", oldest, served)
	}
	if p.RecheckAge() <= oldest {
		t.Errorf("views are read again from %s, and %s old without a fault", p.RecheckAge(), oldest)
	}
}
