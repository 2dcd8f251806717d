package admission

import "time"

const (
	// paceWindow is the time over which the rate of orders is counted.
	paceWindow = time.Second
	// minPaceOrders is how many orders a window needs to tell anything.
	minPaceOrders = 8
	// paceRecovery is the factor by which the rate may grow after a window without delay.
	paceRecovery = 2
)

// Pace measures how many starts the owner can send. As long as orders leave within the
// interval between plans there is no limit; once they are delayed by the owner itself, the
// limit is the rate at which they were answered meanwhile. The zero value has no limit.
type Pace struct {
	// Interval is the longest time between two plans.
	Interval time.Duration

	windowEnd time.Time
	orders    int
	delay     time.Duration
	limit     float64
}

// Observe records an answered start: from the time at which its plan was due it was delayed
// by the owner's planning, by the sending and by the handling of the answer, without the time
// that the endpoint took.
func (p *Pace) Observe(delay time.Duration, now time.Time) {
	p.advance(now)
	p.orders++
	p.delay += delay
}

// Limit returns the starts that the owner can send in a second, or 0 if that is not the limit.
func (p *Pace) Limit(now time.Time) (perSecond float64) {
	p.advance(now)
	return p.limit
}

func (p *Pace) advance(now time.Time) {
	if p.windowEnd.IsZero() {
		p.windowEnd = now.Add(paceWindow)
	}
	if now.Before(p.windowEnd) {
		return
	}
	length := paceWindow + now.Sub(p.windowEnd)
	rate := float64(p.orders) / length.Seconds()
	switch {
	case p.orders >= minPaceOrders && p.delay/time.Duration(p.orders) > p.Interval:
		p.limit = rate
	case p.limit > 0 && rate*paceRecovery < p.limit:
		// Far fewer starts were due than the owner can send.
		p.limit = 0
	case p.limit > 0:
		p.limit *= paceRecovery
	}
	p.orders, p.delay, p.windowEnd = 0, 0, now.Add(paceWindow)
}
