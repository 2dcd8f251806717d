package admission

import (
	"slices"
	"time"
)

const (
	// paceWindow is the time over which starts are counted.
	paceWindow = 500 * time.Millisecond
	// minPaceStarts is how many starts a window needs to tell anything.
	minPaceStarts = 8
	// paceGrowth is the factor by which the limit grows after a window without delay.
	paceGrowth = 2
	// minPace is the limit, in starts a second, while no start at all is answered.
	minPace = 1
)

// Pace measures how many starts the owner can send. There is no limit as long as most starts
// are answered within the interval between two plans. Once they are not, whatever the owner
// lacks, the limit is the rate at which they are answered. Slow endpoints do not matter unless
// they are the majority. The zero value has no limit.
type Pace struct {
	// Interval is the longest time between two plans.
	Interval time.Duration

	windowEnd time.Time
	// delays holds the times from when starts were due to be planned until they had a result.
	delays   []time.Duration
	answered int
	limit    float64
}

// Observe records a start that was answered, or not, a time after it was due to be planned.
func (p *Pace) Observe(delay time.Duration, answered bool, now time.Time) {
	p.advance(now)
	p.delays = append(p.delays, delay)
	if answered {
		p.answered++
	}
}

// Limit returns the starts that the owner can send in a second, or 0 if that is not the limit.
func (p *Pace) Limit(now time.Time) (perSecond float64) {
	p.advance(now)
	return p.limit
}

// advance ends the window if it is over. A window without enough starts changes nothing: the
// owner may be unable to send any.
func (p *Pace) advance(now time.Time) {
	if p.windowEnd.IsZero() {
		p.windowEnd = now.Add(paceWindow)
	}
	if now.Before(p.windowEnd) {
		return
	}
	rate := float64(p.answered) / paceWindow.Seconds()
	if len(p.delays) >= minPaceStarts {
		slices.Sort(p.delays)
		switch {
		case p.delays[len(p.delays)/2] > p.Interval:
			p.limit = max(rate, minPace)
		case rate*paceGrowth < p.limit:
			// Far fewer starts were due than the owner can send.
			p.limit = 0
		case p.limit > 0:
			p.limit = paceGrowth * max(p.limit, rate)
		}
	}
	p.delays, p.answered, p.windowEnd = p.delays[:0], 0, now.Add(paceWindow)
}
