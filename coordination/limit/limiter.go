package limit

import (
	"math"
	"time"
)

// Gains of the short-term and the long-term mean of the latency. With run times
// that spread by a factor of 2.2 (one standard deviation), the short-term mean
// spreads by a factor of 1.2, well below tolerance. With a long-term gain of
// 0.005, 400 slow tasks were enough to make an overloaded endpoint look normal.
const (
	shortGain = 0.1
	longGain  = 0.0005
)

// tolerance is how much slower than in the long term tasks may run before the
// limit shrinks.
const tolerance = 2.0

// smoothing is the part of a newly computed limit in the next one.
const smoothing = 0.2

// leastSamples is how many tasks have to end before latency is judged.
const leastSamples = 20

// Limiter is the concurrency limit of one endpoint, between 1 and the slots
// that it declares; it starts at the declared slots.
type Limiter struct {
	// Slots is how many slots the endpoint declares.
	Slots int

	limit   float64
	short   float64
	long    float64
	samples int
}

// Sample is a task that ended.
type Sample struct {
	Run time.Duration
	// Expected is the run time that was estimated for the task.
	Expected time.Duration
	// InUse is how many slots of the endpoint were in use when the task ended,
	// its own included.
	InUse int
}

// Limit returns how many slots may be in use at once.
func (l *Limiter) Limit() (slots int) {
	if l.Slots <= 1 {
		return 1
	}
	return max(1, min(l.Slots, int(math.Round(l.current()))))
}

// Observe learns from a task that ended with an answer.
func (l *Limiter) Observe(s Sample) {
	if s.Run <= 0 || s.Expected <= 0 {
		return
	}
	l.learn(math.Log(s.Run.Seconds() / s.Expected.Seconds()))
	// A limit that is not reached says nothing about the endpoint.
	if l.samples < leastSamples || float64(s.InUse) < l.current()/2 {
		return
	}
	gradient := min(1, max(0.5, tolerance*math.Exp(l.long-l.short)))
	next := l.current()*gradient + math.Sqrt(l.current())/2
	l.set(l.current()*(1-smoothing) + next*smoothing)
}

// Refuse learns that the endpoint refused a task for lack of room while that
// many slots were in use.
func (l *Limiter) Refuse(inUse int) {
	l.set(min(l.current(), float64(inUse)) - 1)
}

func (l *Limiter) learn(ratio float64) {
	l.samples++
	if l.samples == 1 {
		l.short, l.long = ratio, ratio
		return
	}
	l.short += max(shortGain, 1/float64(l.samples)) * (ratio - l.short)
	l.long += max(longGain, 1/float64(l.samples)) * (ratio - l.long)
	// After a change for the better, the long-term mean follows soon.
	if l.short < l.long {
		l.long += shortGain * (l.short - l.long)
	}
}

func (l *Limiter) current() float64 {
	if l.limit == 0 {
		return float64(l.Slots)
	}
	return min(l.limit, float64(l.Slots))
}

func (l *Limiter) set(limit float64) {
	l.limit = max(1, min(float64(l.Slots), limit))
}
