package event

import (
	"io"
	"testing"

	"github.com/apex/log"
)

// BenchmarkLine measures one log line from its fields to the queue of the writer.
func BenchmarkLine(b *testing.B) {
	w := NewWriter(io.Discard)
	go func() {
		for range w.lines {
		}
	}()
	for b.Loop() {
		RunEnded.Log(log.Fields{
			"job": "5c0e7a21d94b36f8", "task": "0.1.17", "run": 65, "endpoint": "e012345", "how": "done", "tookMillis": 640,
		})
	}
	close(w.lines)
}
