package health

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Thresholds of an ejection. The detector applies a sequential probability ratio
// test of a failure rate of 0.7 against the failure rate of the peers; the bound
// ejectionEvidence limits false ejections to a probability of about 1 in 100,000.
// Five consecutive failures suffice if peers hardly fail, ten if one in five of
// their tasks fails. In the latter case, a plain threshold of three failures in
// five tasks ejected healthy endpoints.
const (
	failingRate      = 0.7
	ejectionEvidence = 11.5
	// minPeerRate is the lowest failure rate assumed of peers.
	minPeerRate = 0.05
	// minPeerTasks is how many tasks a peer must have finished to be compared with.
	minPeerTasks = 3
	// A median peer rate of at least highFailureRate puts the kind at fault. Endpoints
	// are ejected only if that rate is at most lowFailureRate.
	highFailureRate = 0.6
	lowFailureRate  = 0.3
)

// evidenceHalfLife is the half-life of the counts of tasks and failures.
const evidenceHalfLife = 30 * time.Second

// Ejection times. The first is about the duration of a process restart; the maximum
// still returns a repaired endpoint within minutes.
const (
	firstEjection = 15 * time.Second
	maxEjection   = 10 * time.Minute
)

// requiredProbes is the number of consecutive successful tasks after which an
// ejected endpoint is healthy again.
const requiredProbes = 3

// maxKinds limits the kinds that are counted separately per endpoint; all further
// kinds share one count.
const maxKinds = 64

// State determines which tasks an endpoint gets.
type State int

// States of an endpoint.
const (
	Healthy State = iota
	// Probing endpoints get one task at a time.
	Probing
	// Ejected endpoints get no tasks until a deadline.
	Ejected
)

// String returns the name of the state as shown to operators.
func (s State) String() string {
	return [...]string{"healthy", "probing", "ejected"}[s]
}

// Transition is the result of an observation: an endpoint that changed its state, or a
// kind that is at fault.
type Transition struct {
	// Endpoint is the endpoint that was ejected, or that returned if Until is zero.
	// It is empty if Kind is set.
	Endpoint string
	// Until is when an ejected endpoint is probed.
	Until time.Time
	// Kind is a kind of request that fails on most endpoints.
	Kind string
	// Rate is the failure rate of the endpoint or the kind.
	Rate float64
	// PeerRate is the median failure rate of the endpoint's peers.
	PeerRate float64
}

// Detector detects failing endpoints of one pool in a data centre. The zero value
// has no endpoints.
type Detector struct {
	endpoints map[string]*endpoint
	// faultyKinds holds the time until which a kind is considered to be at fault.
	faultyKinds map[string]time.Time
}

type endpoint struct {
	counts       map[string]*decayingCount
	ejected      bool
	ejectedUntil time.Time
	// ejections is the number of ejections in a row.
	ejections int
	// probeSuccesses is the number of successful probes since the deadline.
	probeSuccesses int
	// resetAt is when earlier ejections no longer lengthen the next one.
	resetAt time.Time
}

// decayingCount is an exponentially decaying number of tasks and of failed tasks.
type decayingCount struct {
	tasks    float64
	failures float64
	at       time.Time
}

// SetEndpoints replaces the endpoints of the pool in the data centre. Endpoints
// that stay keep their counts.
func (d *Detector) SetEndpoints(names []string) {
	if d.endpoints == nil {
		d.endpoints = make(map[string]*endpoint)
	}
	maps.DeleteFunc(d.endpoints, func(name string, _ *endpoint) bool {
		return !slices.Contains(names, name)
	})
	for _, n := range names {
		if _, known := d.endpoints[n]; !known {
			d.endpoints[n] = &endpoint{counts: make(map[string]*decayingCount)}
		}
	}
}

// State returns the current state of an endpoint. An unknown endpoint is healthy.
func (d *Detector) State(name string, now time.Time) State {
	e, known := d.endpoints[name]
	switch {
	case !known || !e.ejected:
		return Healthy
	case now.Before(e.ejectedUntil):
		return Ejected
	default:
		return Probing
	}
}

// KindAtFault reports whether a kind of request currently fails on most endpoints.
func (d *Detector) KindAtFault(kind string, now time.Time) bool {
	return now.Before(d.faultyKinds[kind])
}

// NextProbe returns the earliest time at which an ejected endpoint is probed; found
// is false if there is none.
func (d *Detector) NextProbe(now time.Time) (at time.Time, found bool) {
	for _, e := range d.endpoints {
		if e.ejected && now.Before(e.ejectedUntil) && (!found || e.ejectedUntil.Before(at)) {
			at, found = e.ejectedUntil, true
		}
	}
	return at, found
}

// Observe records the outcome of a task of a kind on an endpoint.
func (d *Detector) Observe(name, kind string, failed bool, now time.Time) (verdicts []Transition) {
	e, known := d.endpoints[name]
	if !known {
		return nil
	}
	e.recordTask(kind, failed, now)
	switch d.State(name, now) {
	case Ejected:
		return nil // the task was already running when the endpoint was ejected
	case Probing:
		return d.observeProbe(name, e, kind, failed, now)
	default:
		if !failed {
			return nil
		}
		return d.compareWithPeers(name, e, kind, now)
	}
}

// observeProbe evaluates the outcome of a task on an endpoint that is being probed.
// A failure of a kind that is at fault is ignored, as it is no evidence against the
// endpoint.
func (d *Detector) observeProbe(name string, e *endpoint, kind string, failed bool, now time.Time) (verdicts []Transition) {
	if failed {
		if d.KindAtFault(kind, now) {
			return nil
		}
		e.eject(now)
		return []Transition{{Endpoint: name, Until: e.ejectedUntil, Rate: 1}}
	}
	e.probeSuccesses++
	if e.probeSuccesses < requiredProbes {
		return nil
	}
	e.ejected = false
	e.counts = make(map[string]*decayingCount)
	e.resetAt = now.Add(maxEjection)
	return []Transition{{Endpoint: name}}
}

// compareWithPeers compares the failure rate of an endpoint with its peers' rates
// after a failed task.
func (d *Detector) compareWithPeers(name string, e *endpoint, kind string, now time.Time) (verdicts []Transition) {
	c := e.counts[e.countKey(kind)]
	rates := d.peerRates(name, kind, now)
	if len(rates) == 0 {
		return nil // no peers to compare with
	}
	v := Transition{Rate: c.rate(), PeerRate: median(rates)}
	switch {
	case v.PeerRate <= lowFailureRate && c.logLikelihoodRatio(v.PeerRate) > ejectionEvidence && d.mayEject(now):
		e.eject(now)
		v.Endpoint, v.Until = name, e.ejectedUntil
	case v.PeerRate >= highFailureRate && v.Rate >= highFailureRate && !d.KindAtFault(kind, now):
		d.markFaulty(kind, now)
		v.Kind = kind
	default:
		return nil
	}
	return []Transition{v}
}

// peerRates returns the failure rates of a kind on the other endpoints. Ejected
// endpoints are included, as they were compared on the same evidence.
func (d *Detector) peerRates(name, kind string, now time.Time) (rates []float64) {
	for other, e := range d.endpoints {
		if other == name {
			continue
		}
		c, seen := e.counts[e.countKey(kind)]
		if !seen {
			continue
		}
		c.decay(now)
		if c.tasks >= minPeerTasks {
			rates = append(rates, c.smoothedRate())
		}
	}
	return rates
}

// mayEject reports whether one more endpoint may be ejected. Endpoints that are
// being probed count as ejected, because they take almost no work.
func (d *Detector) mayEject(now time.Time) bool {
	ejected := 0
	for name := range d.endpoints {
		if d.State(name, now) != Healthy {
			ejected++
		}
	}
	return ejected < max(1, len(d.endpoints)/3)
}

// markFaulty records that a kind is at fault, and removes kinds that no longer are.
func (d *Detector) markFaulty(kind string, now time.Time) {
	if d.faultyKinds == nil {
		d.faultyKinds = make(map[string]time.Time)
	}
	maps.DeleteFunc(d.faultyKinds, func(_ string, until time.Time) bool { return !now.Before(until) })
	d.faultyKinds[kind] = now.Add(evidenceHalfLife)
}

// eject keeps tasks away from the endpoint. Consecutive ejections double in length.
func (e *endpoint) eject(now time.Time) {
	if !e.ejected && !now.Before(e.resetAt) {
		e.ejections = 0
	}
	e.ejected = true
	e.probeSuccesses = 0
	e.ejectedUntil = now.Add(min(firstEjection<<min(e.ejections, 10), maxEjection))
	e.ejections++
}

func (e *endpoint) recordTask(kind string, failed bool, now time.Time) {
	key := e.countKey(kind)
	c, seen := e.counts[key]
	if !seen {
		c = &decayingCount{at: now}
		e.counts[key] = c
	}
	c.decay(now)
	c.tasks++
	if failed {
		c.failures++
	}
}

// countKey returns the key under which a kind is counted.
func (e *endpoint) countKey(kind string) string {
	if _, seen := e.counts[kind]; !seen && len(e.counts) >= maxKinds {
		return ""
	}
	return kind
}

func (c *decayingCount) decay(now time.Time) {
	if !now.After(c.at) {
		return
	}
	factor := decayFactor(now.Sub(c.at))
	c.tasks *= factor
	c.failures *= factor
	c.at = now
}

// logLikelihoodRatio returns the logarithm of the ratio between the likelihood of
// the counts for a failing endpoint and for one that fails at peerRate.
func (c *decayingCount) logLikelihoodRatio(peerRate float64) (ratio float64) {
	expectedRate := max(minPeerRate, peerRate)
	return c.failures*math.Log(failingRate/expectedRate) + (c.tasks-c.failures)*math.Log((1-failingRate)/(1-expectedRate))
}

// smoothedRate is the failure rate with a prior of one failure in four tasks: three
// successes do not show that a peer hardly fails.
func (c *decayingCount) smoothedRate() float64 {
	return (c.failures + 1) / (c.tasks + 4)
}

func (c *decayingCount) rate() float64 {
	if c.tasks == 0 {
		return 0
	}
	return c.failures / c.tasks
}
