// Package meter counts and times what an entry does, and serves the figures as
// text.
package meter

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

// registry holds the figures of the process.
var registry = metrics.NewRegistry()

// Count adds one to a counter.
func Count(name string) {
	metrics.GetOrRegisterCounter(name, registry).Inc(1)
}

// Timer measures durations since a start; its histogram is in nanoseconds.
func Timer(name string, since time.Time) {
	metrics.GetOrRegisterTimer(name, registry).UpdateSince(since)
}

// Handler serves all figures as text.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		metrics.WriteOnce(registry, w)
	})
}
