package spare

import (
	"slices"
	"time"
)

// WindowLength is the time over which demand is aggregated. It equals the
// longest burst at the sites in section 2.5 of the design, so a burst spans one or
// two windows.
const WindowLength = 10 * time.Second

// MaxWindows limits the history to an hour.
const MaxWindows = 360

// Window aggregates the demand of one pool in one data centre, in slots that
// tasks occupy or wait for.
type Window struct {
	// End is the end of the window: a multiple of WindowLength, the same for
	// every pool.
	End  time.Time
	Mean float64
	// Median and High are the 0.5 and 0.95 quantiles of the samples.
	Median float64
	High   float64
}

// Recorder aggregates samples of demand into windows; the zero value is empty.
type Recorder struct {
	pools map[string]*poolDemand
}

// poolDemand holds the open and the finished windows of one pool.
type poolDemand struct {
	end     time.Time
	samples []float64
	windows []Window
}

// Observe records the demand of a pool in slots; samples must come in order of
// time.
func (r *Recorder) Observe(pool string, slots float64, at time.Time) {
	if r.pools == nil {
		r.pools = make(map[string]*poolDemand)
	}
	d := r.pools[pool]
	if d == nil {
		d = &poolDemand{}
		r.pools[pool] = d
	}
	if end := at.Truncate(WindowLength).Add(WindowLength); end.After(d.end) {
		d.closeWindow()
		d.end = end
	}
	d.samples = append(d.samples, slots)
}

func (d *poolDemand) closeWindow() {
	if len(d.samples) == 0 {
		return
	}
	sum := 0.0
	for _, v := range d.samples {
		sum += v
	}
	d.windows = append(d.windows, Window{
		End:    d.end,
		Mean:   sum / float64(len(d.samples)),
		Median: quantile(d.samples, 0.5),
		High:   quantile(d.samples, 0.95),
	})
	d.samples = d.samples[:0]
	if extra := len(d.windows) - MaxWindows; extra > 0 {
		d.windows = slices.Delete(d.windows, 0, extra)
	}
}

// Demand returns the finished windows of each pool, oldest first.
func (r *Recorder) Demand() (demand map[string][]Window) {
	demand = make(map[string][]Window, len(r.pools))
	for pool, d := range r.pools {
		demand[pool] = slices.Clone(d.windows)
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
