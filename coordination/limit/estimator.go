package limit

import (
	"math"
	"time"
)

// minPredictorSamples is how many samples a predictor needs before it is used.
const minPredictorSamples = 5

// maxKinds limits the kinds that are kept; each takes about 200 bytes.
const maxKinds = 4096

// longestQuantile is the standard normal quantile of Estimate.LongestRun: one task
// in a hundred runs longer.
const longestQuantile = 2.33

// defaultStdDev is the standard deviation of the logarithm of the run time for
// requests without a history: declared values may be off by a factor of ten,
// which is assumed to be the longest of a hundred.
var defaultStdDev = math.Log(10) / longestQuantile

// Kind identifies the requests of one member in one pool.
type Kind struct {
	Member string
	Pool   string
}

// Declared is what a request declares about itself; zero fields declare
// nothing.
type Declared struct {
	Run   time.Duration
	Slots int
}

// Estimate is what a request is expected to take.
type Estimate struct {
	// Run is the mean run time; zero if nothing is known.
	Run time.Duration
	// LongestRun is a run time that one request in a hundred exceeds.
	LongestRun time.Duration
	// Slots is the number of slots, at least the declared one.
	Slots int
}

// Estimator estimates the run times and sizes of requests from finished tasks
// and from the usage that endpoints report. The zero value has no history.
type Estimator struct {
	kinds    map[Kind]*history
	accesses int64
}

// history holds the statistics of one kind, all of logarithms.
type history struct {
	runs     runningStats
	ratios   runningStats
	sizes    runningStats
	lastUsed int64
}

// Observe records the run time of a finished task.
func (e *Estimator) Observe(k Kind, d Declared, run time.Duration) {
	if run <= 0 {
		return
	}
	for _, h := range e.histories(k) {
		h.runs.add(math.Log(run.Seconds()))
		if d.Run > 0 {
			h.ratios.add(math.Log(run.Seconds() / d.Run.Seconds()))
		}
	}
}

// ObserveUsage records how many slots a running task uses.
func (e *Estimator) ObserveUsage(k Kind, d Declared, slots int) {
	if slots > 0 {
		e.history(k).sizes.add(math.Log(float64(slots) / float64(max(d.Slots, 1))))
	}
}

// Estimate returns what a request is expected to take, given what it declares.
func (e *Estimator) Estimate(k Kind, d Declared) (x Estimate) {
	x.Slots = max(d.Slots, 1)
	h, found := e.kinds[k]
	if found && h.sizes.count >= minPredictorSamples {
		x.Slots = max(x.Slots, int(math.Round(float64(x.Slots)*math.Exp(h.sizes.mean))))
	}
	mean, stdDev, known := e.predict(k, d)
	if !known {
		return x
	}
	// The mean of a log-normal distribution. The deviation is bounded, because an
	// uncertain estimate must not turn into a long run time.
	x.Run = toDuration(math.Exp(mean + min(stdDev, 1)*min(stdDev, 1)/2))
	x.LongestRun = toDuration(math.Exp(mean + longestQuantile*stdDev))
	return x
}

// predict returns the mean and the standard deviation of the logarithm of the
// run time in seconds. It uses the history of the member, that of the pool, or
// the declared run time, in this order.
func (e *Estimator) predict(k Kind, d Declared) (mean, stdDev float64, known bool) {
	for _, k := range []Kind{k, {Pool: k.Pool}} {
		h, found := e.kinds[k]
		if !found || h.runs.count < minPredictorSamples {
			continue
		}
		if d.Run > 0 && h.ratios.count >= minPredictorSamples && h.ratios.variance < h.runs.variance {
			return math.Log(d.Run.Seconds()) + h.ratios.mean, h.ratios.stdDev(), true
		}
		return h.runs.mean, h.runs.stdDev(), true
	}
	if d.Run <= 0 {
		return 0, 0, false
	}
	return math.Log(d.Run.Seconds()), defaultStdDev, true
}

// histories returns the history of the kind and that of its whole pool.
func (e *Estimator) histories(k Kind) (h [2]*history) {
	return [2]*history{e.history(k), e.history(Kind{Pool: k.Pool})}
}

func (e *Estimator) history(k Kind) (h *history) {
	e.accesses++
	h, found := e.kinds[k]
	if !found {
		if e.kinds == nil {
			e.kinds = make(map[Kind]*history)
		}
		if len(e.kinds) >= maxKinds {
			e.evictOldest()
		}
		h = &history{}
		e.kinds[k] = h
	}
	h.lastUsed = e.accesses
	return h
}

func (e *Estimator) evictOldest() {
	var oldest Kind
	oldestUse := int64(math.MaxInt64)
	for k, h := range e.kinds {
		if h.lastUsed < oldestUse {
			oldest, oldestUse = k, h.lastUsed
		}
	}
	delete(e.kinds, oldest)
}

// runningStats is an exponentially weighted mean and variance.
type runningStats struct {
	count    int
	mean     float64
	variance float64
}

// statsGain is the weight of a new sample; the last fifty samples make up most
// of the mean.
const statsGain = 0.04

// add records a sample. Its deviation is capped at three standard deviations,
// so that a single task cannot move the mean by much.
func (s *runningStats) add(x float64) {
	s.count++
	if s.count == 1 {
		s.mean, s.variance = x, 1
		return
	}
	bound := 3 * s.stdDev()
	deviation := max(-bound, min(bound, x-s.mean))
	gain := max(statsGain, 1/float64(s.count))
	s.mean += gain * deviation
	s.variance += gain * (deviation*deviation - s.variance)
}

// stdDev returns the standard deviation, at least 0.1, because run times that
// were all alike so far may still differ later.
func (s *runningStats) stdDev() float64 {
	return max(0.1, math.Sqrt(s.variance))
}

func toDuration(s float64) time.Duration {
	// An uncertain estimate is capped at a day.
	return time.Duration(min(s, 86400) * float64(time.Second))
}
