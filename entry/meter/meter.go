// Package meter holds the metrics of an entry and serves them as text.
package meter

import (
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// registry holds all metrics of the process.
var registry = metrics.NewRegistry()

// Count increments a counter.
func Count(name string) {
	metrics.GetOrRegisterCounter(name, registry).Inc(1)
}

// Add adds to a counter.
func Add(name string, n int64) {
	metrics.GetOrRegisterCounter(name, registry).Inc(n)
}

// gauges holds the names of the gauges that ReplaceGauges has set, by prefix.
var (
	gaugesMu sync.Mutex
	gauges   = make(map[string]map[string]int64)
)

// ReplaceGauges sets the gauges whose names begin with a prefix, and removes those of an
// earlier call that are not among them, so that their number stays bounded.
func ReplaceGauges(prefix string, values map[string]int64) {
	gaugesMu.Lock()
	defer gaugesMu.Unlock()
	for name := range gauges[prefix] {
		if _, kept := values[name]; !kept {
			registry.Unregister(prefix + name)
		}
	}
	gauges[prefix] = values
	for name, v := range values {
		metrics.GetOrRegisterGauge(prefix+name, registry).Update(v)
	}
}

// SetGauge sets a gauge.
func SetGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, registry).Update(value)
}

// RecordSince adds the time since a start to a timer; its histogram is in
// nanoseconds.
func RecordSince(name string, since time.Time) {
	metrics.GetOrRegisterTimer(name, registry).UpdateSince(since)
}

// Handler serves all metrics as text.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		metrics.WriteOnce(registry, w)
	})
}
