package health

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Evidence that an ejection needs. It is a sequential probability ratio test of
// "fails seven in ten" against "fails as often as its peers"; the bound makes a
// false ejection a chance of about 1 in 100,000. Five failures in a row are
// enough where peers hardly fail, ten where one in five of their tasks fails. A
// plain threshold of three failures in five tasks ejected good endpoints then.
const (
	failingRate   = 0.7
	evidenceBound = 11.5
	// leastRate is the failure rate that is assumed of peers at least.
	leastRate = 0.05
	// peerTasks is how many tasks a peer must have ended to be compared with.
	peerTasks = 3
	// badRate and goodRate of the peers tell whether the kind is at fault.
	badRate  = 0.6
	goodRate = 0.3
)

// halfLife is how fast evidence fades.
const halfLife = 30 * time.Second

// Times of ejection: the first one is about the time of a process restart, and
// the longest still returns a repaired endpoint within minutes.
const (
	firstEjection   = 15 * time.Second
	longestEjection = 10 * time.Minute
)

// probes is how many tasks in a row have to succeed before an endpoint counts
// as healthy again.
const probes = 3

// kindLimit bounds the kinds for which an endpoint's tasks are counted; the
// others share one count.
const kindLimit = 64

// State is how an endpoint is treated.
type State int

// States of an endpoint.
const (
	Healthy State = iota
	// Probing lets one task at a time through.
	Probing
	// Ejected keeps work away until a deadline.
	Ejected
)

// String returns the state as it is shown to operators.
func (s State) String() string {
	return [...]string{"healthy", "probing", "ejected"}[s]
}

// Verdict is a change that an observation caused.
type Verdict struct {
	// Endpoint was ejected, or returned if Until is zero; empty if Kind is set.
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

// Detector judges the endpoints of one pool in a data centre; the zero value
// knows none.
type Detector struct {
	endpoints map[string]*endpoint
	// atFault holds until when a kind is considered to be at fault.
	atFault map[string]time.Time
}

type endpoint struct {
	counts  map[string]*count
	ejected bool
	until   time.Time
	// failures is how often in a row the endpoint was ejected.
	failures int
	// succeeded is how many probes succeeded since the deadline.
	succeeded int
	// clearAt is when earlier ejections are forgotten.
	clearAt time.Time
}

// count is the fading number of tasks and of those that failed.
type count struct {
	tasks  float64
	failed float64
	at     time.Time
}

// SetEndpoints replaces the instances of the pool in the data centre.
func (d *Detector) SetEndpoints(names []string) {
	if d.endpoints == nil {
		d.endpoints = make(map[string]*endpoint)
	}
	maps.DeleteFunc(d.endpoints, func(name string, _ *endpoint) bool {
		return !slices.Contains(names, name)
	})
	for _, n := range names {
		if _, known := d.endpoints[n]; !known {
			d.endpoints[n] = &endpoint{counts: make(map[string]*count)}
		}
	}
}

// State returns how an endpoint is treated now.
func (d *Detector) State(name string, now time.Time) State {
	e, known := d.endpoints[name]
	switch {
	case !known || !e.ejected:
		return Healthy
	case now.Before(e.until):
		return Ejected
	default:
		return Probing
	}
}

// AtFault tells whether a kind of request fails on most endpoints.
func (d *Detector) AtFault(kind string, now time.Time) bool {
	return now.Before(d.atFault[kind])
}

// Next returns the next deadline of an ejected endpoint; found is false if
// there is none.
func (d *Detector) Next(now time.Time) (at time.Time, found bool) {
	for _, e := range d.endpoints {
		if e.ejected && now.Before(e.until) && (!found || e.until.Before(at)) {
			at, found = e.until, true
		}
	}
	return at, found
}

// Observe takes in how a task of a kind ended on an endpoint.
func (d *Detector) Observe(name, kind string, failed bool, now time.Time) (verdicts []Verdict) {
	e, known := d.endpoints[name]
	if !known {
		return nil
	}
	e.add(kind, failed, now)
	switch d.State(name, now) {
	case Ejected:
		return nil // a task that was running when the endpoint was ejected
	case Probing:
		return d.probe(name, e, kind, failed, now)
	default:
		if !failed {
			return nil
		}
		return d.judge(name, e, kind, now)
	}
}

// probe judges the result of a task on an endpoint that returns; a failure of
// a kind that is at fault says nothing.
func (d *Detector) probe(name string, e *endpoint, kind string, failed bool, now time.Time) (verdicts []Verdict) {
	if failed {
		if d.AtFault(kind, now) {
			return nil
		}
		e.eject(now)
		return []Verdict{{Endpoint: name, Until: e.until, Rate: 1}}
	}
	e.succeeded++
	if e.succeeded < probes {
		return nil
	}
	e.ejected = false
	e.counts = make(map[string]*count)
	e.clearAt = now.Add(longestEjection)
	return []Verdict{{Endpoint: name}}
}

// judge compares an endpoint with its peers after a failure.
func (d *Detector) judge(name string, e *endpoint, kind string, now time.Time) (verdicts []Verdict) {
	c := e.counts[e.key(kind)]
	rates := d.peerRates(name, kind, now)
	if len(rates) == 0 {
		return nil // without peers there is nothing to compare with
	}
	v := Verdict{Rate: c.rate(), PeerRate: median(rates)}
	switch {
	case v.PeerRate <= goodRate && c.evidence(v.PeerRate) > evidenceBound && d.mayEject(now):
		e.eject(now)
		v.Endpoint, v.Until = name, e.until
	case v.PeerRate >= badRate && v.Rate >= badRate && !d.AtFault(kind, now):
		d.blame(kind, now)
		v.Kind = kind
	default:
		return nil
	}
	return []Verdict{v}
}

// peerRates returns the failure rates of a kind on the other endpoints, and on
// ejected ones that were judged by the same evidence.
func (d *Detector) peerRates(name, kind string, now time.Time) (rates []float64) {
	for other, e := range d.endpoints {
		if other == name {
			continue
		}
		c, seen := e.counts[e.key(kind)]
		if !seen {
			continue
		}
		c.fade(now)
		if c.tasks >= peerTasks {
			rates = append(rates, c.cautiousRate())
		}
	}
	return rates
}

// mayEject tells whether one more endpoint may be ejected. Endpoints that are
// probed count, because they take almost no work.
func (d *Detector) mayEject(now time.Time) bool {
	ejected := 0
	for name := range d.endpoints {
		if d.State(name, now) != Healthy {
			ejected++
		}
	}
	return ejected < max(1, len(d.endpoints)/3)
}

func (d *Detector) blame(kind string, now time.Time) {
	if d.atFault == nil {
		d.atFault = make(map[string]time.Time)
	}
	maps.DeleteFunc(d.atFault, func(_ string, until time.Time) bool { return !now.Before(until) })
	d.atFault[kind] = now.Add(halfLife)
}

// eject keeps work away, each time in a row for twice as long.
func (e *endpoint) eject(now time.Time) {
	if !e.ejected && !now.Before(e.clearAt) {
		e.failures = 0
	}
	e.ejected = true
	e.succeeded = 0
	e.until = now.Add(min(firstEjection<<min(e.failures, 10), longestEjection))
	e.failures++
}

func (e *endpoint) add(kind string, failed bool, now time.Time) {
	key := e.key(kind)
	c, seen := e.counts[key]
	if !seen {
		c = &count{at: now}
		e.counts[key] = c
	}
	c.fade(now)
	c.tasks++
	if failed {
		c.failed++
	}
}

// key returns under which name a kind is counted.
func (e *endpoint) key(kind string) string {
	if _, seen := e.counts[kind]; !seen && len(e.counts) >= kindLimit {
		return ""
	}
	return kind
}

func (c *count) fade(now time.Time) {
	if !now.After(c.at) {
		return
	}
	part := fadeBy(now.Sub(c.at))
	c.tasks *= part
	c.failed *= part
	c.at = now
}

// evidence returns the logarithm of how much likelier the results are for a
// failing endpoint than for one that fails at that rate.
func (c *count) evidence(peerRate float64) (ratio float64) {
	usual := max(leastRate, peerRate)
	return c.failed*math.Log(failingRate/usual) + (c.tasks-c.failed)*math.Log((1-failingRate)/(1-usual))
}

// cautiousRate leans to a quarter while there are few tasks: three successes do
// not show that a peer hardly fails.
func (c *count) cautiousRate() float64 {
	return (c.failed + 1) / (c.tasks + 4)
}

func (c *count) rate() float64 {
	if c.tasks == 0 {
		return 0
	}
	return c.failed / c.tasks
}
