package operator

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/azurepoint/azurepoint/api/operatorapi"
)

// p99 is the percentile that is listed of timers and histograms.
const p99 = 0.99

// DumpState returns the state of all parts as text, each below its name.
func (h handler) DumpState(context.Context) (text operatorapi.DumpStateOK, err error) {
	var b bytes.Buffer
	s := h.Fleet.State()
	fmt.Fprintf(&b, "entry %s version %d at %s\n", h.Peers.Self().Name, s.Version, now().Format(time.RFC3339))
	for _, p := range h.Parts {
		fmt.Fprintf(&b, "\n== %s\n", p.Name)
		p.Dumper.Dump(&b)
	}
	return operatorapi.DumpStateOK{Data: &b}, nil
}

// ListMetrics returns the registry with one name for each number: a counter or
// gauge has the metric's name, other kinds have a suffix. Times are in
// milliseconds.
func (h handler) ListMetrics(context.Context) (m operatorapi.Metrics, err error) {
	m = operatorapi.Metrics{}
	h.Metrics.Each(func(name string, metric any) { flatten(m, name, metric) })
	return m, nil
}

func flatten(m operatorapi.Metrics, name string, metric any) {
	switch v := metric.(type) {
	case metrics.Counter:
		put(m, name, float64(v.Count()))
	case metrics.Gauge:
		put(m, name, float64(v.Value()))
	case metrics.GaugeFloat64:
		put(m, name, v.Value())
	case metrics.Meter:
		put(m, name+".count", float64(v.Count()))
		put(m, name+".rate1", v.Rate1())
	case metrics.Histogram:
		s := v.Snapshot()
		put(m, name+".count", float64(s.Count()))
		put(m, name+".mean", s.Mean())
		put(m, name+".p99", s.Percentile(p99))
	case metrics.Timer:
		s := v.Snapshot()
		put(m, name+".count", float64(s.Count()))
		put(m, name+".meanMillis", s.Mean()/float64(time.Millisecond))
		put(m, name+".p99Millis", s.Percentile(p99)/float64(time.Millisecond))
	}
}

// put leaves out numbers that JSON does not have.
func put(m operatorapi.Metrics, name string, value float64) {
	if !math.IsNaN(value) && !math.IsInf(value, 0) {
		m[name] = value
	}
}
