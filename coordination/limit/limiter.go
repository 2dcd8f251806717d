package limit

import (
	"math"
	"time"
)

// Weights of a new sample in the short-term and the long-term mean of the
// latency. If run times spread by a factor of 2.2 (one standard deviation), the
// short-term mean spreads by a factor of 1.2, well below latencyTolerance. With
// a long-term gain of 0.005, 400 slow tasks were enough to make an overloaded
// endpoint look normal.
const (
	shortTermGain = 0.1
	longTermGain  = 0.0005
)

// latencyTolerance is the factor by which the short-term latency may exceed the
// long-term one before the limit is reduced.
const latencyTolerance = 2.0

// limitGain is the weight of a newly computed limit.
const limitGain = 0.2

// minLatencySamples is how many tasks have to end before their latency changes
// the limit.
const minLatencySamples = 20

// Limiter computes the concurrency limit of one endpoint, between 1 and the
// slots that it declares; it starts at the declared slots.
type Limiter struct {
	// Slots is how many slots the endpoint declares.
	Slots int

	limit         float64
	shortTermMean float64
	longTermMean  float64
	samples       int
}

// Sample describes a task that ended.
type Sample struct {
	Run time.Duration
	// Expected is the run time that was estimated for the task.
	Expected time.Duration
	// InUse is how many slots of the endpoint were in use when the task ended,
	// including its own.
	InUse int
}

// Limit returns how many slots may be in use at once.
func (l *Limiter) Limit() (slots int) {
	if l.Slots <= 1 {
		return 1
	}
	return max(1, min(l.Slots, int(math.Round(l.currentLimit()))))
}

// Observe adjusts the limit to the latency of a task that ended with an answer.
func (l *Limiter) Observe(s Sample) {
	if s.Run <= 0 || s.Expected <= 0 {
		return
	}
	l.updateMeans(math.Log(s.Run.Seconds() / s.Expected.Seconds()))
	// Latency far below the limit does not show whether the limit is right.
	if l.samples < minLatencySamples || float64(s.InUse) < l.currentLimit()/2 {
		return
	}
	gradient := min(1, max(0.5, latencyTolerance*math.Exp(l.longTermMean-l.shortTermMean)))
	next := l.currentLimit()*gradient + math.Sqrt(l.currentLimit())/2
	l.setLimit(l.currentLimit()*(1-limitGain) + next*limitGain)
}

// ObserveRefusal lowers the limit after the endpoint refused a task for lack of slots
// while that many were in use.
func (l *Limiter) ObserveRefusal(inUse int) {
	l.setLimit(min(l.currentLimit(), float64(inUse)) - 1)
}

func (l *Limiter) updateMeans(logRatio float64) {
	l.samples++
	if l.samples == 1 {
		l.shortTermMean, l.longTermMean = logRatio, logRatio
		return
	}
	l.shortTermMean += max(shortTermGain, 1/float64(l.samples)) * (logRatio - l.shortTermMean)
	l.longTermMean += max(longTermGain, 1/float64(l.samples)) * (logRatio - l.longTermMean)
	// The long-term mean follows a lower latency faster than a higher one.
	if l.shortTermMean < l.longTermMean {
		l.longTermMean += shortTermGain * (l.shortTermMean - l.longTermMean)
	}
}

func (l *Limiter) currentLimit() float64 {
	if l.limit == 0 {
		return float64(l.Slots)
	}
	return min(l.limit, float64(l.Slots))
}

func (l *Limiter) setLimit(limit float64) {
	l.limit = max(1, min(float64(l.Slots), limit))
}
