package spare

import (
	"slices"
	"time"
)

// WindowLength is the time over which demand is summed up. It is the longest
// burst that the sites of section 2.5 see, so a burst fills one or two windows.
const WindowLength = 10 * time.Second

// KeptWindows bounds the history to an hour.
const KeptWindows = 360

// Window sums up the demand of one pool in one data centre, in slots that
// tasks occupy or wait for.
type Window struct {
	// Ends is a multiple of WindowLength, the same for every pool.
	Ends time.Time
	Mean float64
	// Median and High are the quantiles 0.5 and 0.95 of the samples.
	Median float64
	High   float64
}

// Recorder sums up samples of demand; the zero value is empty.
type Recorder struct {
	pools map[string]*recording
}

type recording struct {
	ends    time.Time
	samples []float64
	windows []Window
}

// Observe records the demand of a pool in slots; samples come in order of time.
func (r *Recorder) Observe(pool string, slots float64, at time.Time) {
	if r.pools == nil {
		r.pools = make(map[string]*recording)
	}
	c := r.pools[pool]
	if c == nil {
		c = &recording{}
		r.pools[pool] = c
	}
	if ends := at.Truncate(WindowLength).Add(WindowLength); ends.After(c.ends) {
		c.close()
		c.ends = ends
	}
	c.samples = append(c.samples, slots)
}

func (c *recording) close() {
	if len(c.samples) == 0 {
		return
	}
	sum := 0.0
	for _, v := range c.samples {
		sum += v
	}
	c.windows = append(c.windows, Window{
		Ends:   c.ends,
		Mean:   sum / float64(len(c.samples)),
		Median: quantile(c.samples, 0.5),
		High:   quantile(c.samples, 0.95),
	})
	c.samples = c.samples[:0]
	if extra := len(c.windows) - KeptWindows; extra > 0 {
		c.windows = slices.Delete(c.windows, 0, extra)
	}
}

// Demand returns the finished windows of each pool, oldest first.
func (r *Recorder) Demand() (demand map[string][]Window) {
	demand = make(map[string][]Window, len(r.pools))
	for pool, c := range r.pools {
		demand[pool] = slices.Clone(c.windows)
	}
	return demand
}

// quantile returns the q-quantile of values, or zero without values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
