// Package meter holds the metrics of an entry and serves them as text.
package meter

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

// registry holds all metrics of the process.
var registry = metrics.NewRegistry()

// Count increments a counter.
func Count(name string) {
	metrics.GetOrRegisterCounter(name, registry).Inc(1)
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
