package event

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	jsonhandler "github.com/apex/log/handlers/json"
)

// Bounds of the log.
const (
	// bufferedLines is how many lines wait for a slow reader of the output.
	bufferedLines = 1024
	// gatheredBytes bounds the lines that share a write.
	gatheredBytes = 32 << 10
	// droppedReport is how often the number of dropped lines is told.
	droppedReport = 10 * time.Second
)

// runLines bounds the lines about runs in a second: a fleet of 50 endpoints stays
// below it, and 150 lines take about 0.2% of a core (BenchmarkLine).
const runLines = 150

// leftOut counts lines above the rate of their event.
var leftOut atomic.Int64

// Events of runs that are bounded, as a flood starts thousands in a second.
var (
	RunStartedLimited = RunStarted.Limit(runLines, &leftOut)
	RunEndedLimited   = RunEnded.Limit(runLines, &leftOut)
)

// Writer passes log lines to an output without ever blocking; lines that find the
// buffer full are counted and dropped.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a writer to an output and makes it the log's handler.
func NewWriter(output io.Writer) (w *Writer) {
	w = &Writer{output: output, lines: make(chan []byte, bufferedLines)}
	log.SetHandler(jsonhandler.New(w))
	return w
}

// Write queues a line.
func (w *Writer) Write(line []byte) (n int, err error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until the context ends, then those that wait.
func (w *Writer) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- w.run(ctx) }()
	return ended
}

func (w *Writer) run(ctx context.Context) (err error) {
	report := time.NewTicker(droppedReport)
	defer report.Stop()
	for {
		select {
		case line := <-w.lines:
			if _, err = w.output.Write(w.gather(line)); err != nil {
				return err
			}
		case <-report.C:
			full, limited := w.dropped.Swap(0), leftOut.Swap(0)
			if full+limited > 0 {
				LogDropped.Log(log.Fields{"bufferFull": full, "aboveRate": limited})
			}
		case <-ctx.Done():
			return w.drain()
		}
	}
}

// gather appends the lines that wait to a line, so that they share a write.
func (w *Writer) gather(line []byte) []byte {
	for len(line) < gatheredBytes {
		select {
		case next := <-w.lines:
			line = append(line, next...)
		default:
			return line
		}
	}
	return line
}

func (w *Writer) drain() (err error) {
	for {
		select {
		case line := <-w.lines:
			if _, err = w.output.Write(line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}
