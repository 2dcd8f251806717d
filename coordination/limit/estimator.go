package limit

import (
	"math"
	"time"
)

// trusted is how many samples a predictor needs before it is used.
const trusted = 5

// kindLimit bounds the kinds that are kept; each takes about 200 bytes.
const kindLimit = 4096

// longQuantile is the standard normal quantile of Estimate.Longest: one task in
// a hundred runs longer.
const longQuantile = 2.33

// defaultSpread is the assumed spread of a declared run time while nothing is
// known of it: declared values may be off by a factor of ten, which is taken as
// the longest of a hundred.
var defaultSpread = math.Log(10) / longQuantile

// Kind is the requests of one member in one pool.
type Kind struct {
	Member string
	Pool   string
}

// Declared is what a request says of itself; zero fields say nothing.
type Declared struct {
	Run   time.Duration
	Slots int
}

// Estimate is what a request is expected to take.
type Estimate struct {
	// Run is the mean run time; zero if nothing is known.
	Run time.Duration
	// Longest is a run time that one request in a hundred exceeds.
	Longest time.Duration
	// Slots is the size, at least the declared one.
	Slots int
}

// Estimator learns the run times and sizes of requests from completions and
// from the usage that endpoints report; the zero value knows nothing.
type Estimator struct {
	kinds map[Kind]*history
	clock int64
}

// history is what was seen of a kind.
type history struct {
	runs   spread
	ratios spread
	sizes  spread
	used   int64
}

// Observe learns the run time of a task that was completed.
func (e *Estimator) Observe(k Kind, d Declared, run time.Duration) {
	if run <= 0 {
		return
	}
	for _, h := range e.both(k) {
		h.runs.add(math.Log(run.Seconds()))
		if d.Run > 0 {
			h.ratios.add(math.Log(run.Seconds() / d.Run.Seconds()))
		}
	}
}

// ObserveUsage learns the slots that a running task uses.
func (e *Estimator) ObserveUsage(k Kind, d Declared, slots int) {
	if slots > 0 {
		e.history(k).sizes.add(math.Log(float64(slots) / float64(max(d.Slots, 1))))
	}
}

// Estimate returns what a request is expected to take, given what it declares.
func (e *Estimator) Estimate(k Kind, d Declared) (x Estimate) {
	x.Slots = max(d.Slots, 1)
	h, found := e.kinds[k]
	if found && h.sizes.count >= trusted {
		x.Slots = max(x.Slots, int(math.Round(float64(x.Slots)*math.Exp(h.sizes.mean))))
	}
	mean, sigma, known := e.predict(k, d)
	if !known {
		return x
	}
	// The mean of a log-normal distribution; sigma is bounded, because a wide
	// guess must not look like a long run time.
	x.Run = seconds(math.Exp(mean + min(sigma, 1)*min(sigma, 1)/2))
	x.Longest = seconds(math.Exp(mean + longQuantile*sigma))
	return x
}

// predict returns the mean and the spread of the logarithm of the run time in
// seconds, by the member's own history, that of the pool, or the declaration.
func (e *Estimator) predict(k Kind, d Declared) (mean, sigma float64, known bool) {
	for _, k := range []Kind{k, {Pool: k.Pool}} {
		h, found := e.kinds[k]
		if !found || h.runs.count < trusted {
			continue
		}
		if d.Run > 0 && h.ratios.count >= trusted && h.ratios.variance < h.runs.variance {
			return math.Log(d.Run.Seconds()) + h.ratios.mean, h.ratios.sigma(), true
		}
		return h.runs.mean, h.runs.sigma(), true
	}
	if d.Run <= 0 {
		return 0, 0, false
	}
	return math.Log(d.Run.Seconds()), defaultSpread, true
}

// both returns the history of the kind and that of its whole pool.
func (e *Estimator) both(k Kind) (h [2]*history) {
	return [2]*history{e.history(k), e.history(Kind{Pool: k.Pool})}
}

func (e *Estimator) history(k Kind) (h *history) {
	e.clock++
	h, found := e.kinds[k]
	if !found {
		if e.kinds == nil {
			e.kinds = make(map[Kind]*history)
		}
		if len(e.kinds) >= kindLimit {
			e.forgetOldest()
		}
		h = &history{}
		e.kinds[k] = h
	}
	h.used = e.clock
	return h
}

func (e *Estimator) forgetOldest() {
	var oldest Kind
	least := int64(math.MaxInt64)
	for k, h := range e.kinds {
		if h.used < least {
			oldest, least = k, h.used
		}
	}
	delete(e.kinds, oldest)
}

// spread is a running mean and variance that forgets slowly.
type spread struct {
	count    int
	mean     float64
	variance float64
}

// spreadGain is the part of a new sample in the running mean; fifty samples
// make up most of it.
const spreadGain = 0.04

// add takes a sample in; one that is far off counts as three deviations off,
// so that a single task cannot move the mean by much.
func (s *spread) add(x float64) {
	s.count++
	if s.count == 1 {
		s.mean, s.variance = x, 1
		return
	}
	bound := 3 * s.sigma()
	off := max(-bound, min(bound, x-s.mean))
	gain := max(spreadGain, 1/float64(s.count))
	s.mean += gain * off
	s.variance += gain * (off*off - s.variance)
}

// sigma returns the standard deviation, at least a tenth: run times that were
// all alike so far may still differ later.
func (s *spread) sigma() float64 {
	return max(0.1, math.Sqrt(s.variance))
}

func seconds(s float64) time.Duration {
	// A day bounds what a wide guess can come to.
	return time.Duration(min(s, 86400) * float64(time.Second))
}
