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

// p99 is the percentile that is exported for timers and histograms.
const p99 = 0.99

// DumpState returns the state of all parts as text, each under its name.
func (h handler) DumpState(context.Context) (text operatorapi.DumpStateOK, err error) {
	var b bytes.Buffer
	s := h.Fleet.State()
	fmt.Fprintf(&b, "entry %s version %d at %s\n", h.Peers.Self().Name, s.Version, utcNow().Format(time.RFC3339))
	for _, p := range h.Parts {
		fmt.Fprintf(&b, "\n== %s\n", p.Name)
		p.Dumper.Dump(&b)
	}
	return operatorapi.DumpStateOK{Data: &b}, nil
}

// ListMetrics flattens the registry to one name per number: a counter or gauge has
// the metric's own name, other kinds get a suffix per value. Times are in
// milliseconds.
func (h handler) ListMetrics(context.Context) (m operatorapi.Metrics, err error) {
	m = operatorapi.Metrics{}
	h.Metrics.Each(func(name string, metric any) { addMetric(m, name, metric) })
	return m, nil
}

func addMetric(m operatorapi.Metrics, name string, metric any) {
	switch v := metric.(type) {
	case metrics.Counter:
		addFinite(m, name, float64(v.Count()))
	case metrics.Gauge:
		addFinite(m, name, float64(v.Value()))
	case metrics.GaugeFloat64:
		addFinite(m, name, v.Value())
	case metrics.Meter:
		addFinite(m, name+".count", float64(v.Count()))
		addFinite(m, name+".rate1", v.Rate1())
	case metrics.Histogram:
		s := v.Snapshot()
		addFinite(m, name+".count", float64(s.Count()))
		addFinite(m, name+".mean", s.Mean())
		addFinite(m, name+".p99", s.Percentile(p99))
	case metrics.Timer:
		s := v.Snapshot()
		addFinite(m, name+".count", float64(s.Count()))
		addFinite(m, name+".meanMillis", s.Mean()/float64(time.Millisecond))
		addFinite(m, name+".p99Millis", s.Percentile(p99)/float64(time.Millisecond))
	}
}

// addFinite adds a value unless it is NaN or infinite, which JSON cannot
// represent.
func addFinite(m operatorapi.Metrics, name string, value float64) {
	if !math.IsNaN(value) && !math.IsInf(value, 0) {
		m[name] = value
	}
}
