package event

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	jsonhandler "github.com/apex/log/handlers/json"
)

// Limits of the log writer.
const (
	// maxBufferedLines bounds the lines that wait for a slow reader of the output.
	maxBufferedLines = 1024
	// maxBatchBytes bounds the size at which lines stop being combined into one
	// write.
	maxBatchBytes = 32 << 10
	// droppedReportInterval is how often the number of dropped lines is logged.
	droppedReportInterval = 10 * time.Second
)

// maxRunLinesPerSecond limits the log lines about runs: a fleet of 50 endpoints stays
// below it, and 150 lines take about 0.2% of a core (BenchmarkLine).
const maxRunLinesPerSecond = 150

// maxInvalidLinesPerSecond limits the log lines about what other programs write.
const maxInvalidLinesPerSecond = 10

// rateLimitedLines counts the lines that were dropped because they exceeded the rate
// limit of their event.
var rateLimitedLines atomic.Int64

// Run events with a rate limit, because a flood starts thousands of runs per second.
var (
	RunStartedLimited = RunStarted.WithRateLimit(maxRunLinesPerSecond, &rateLimitedLines)
	RunEndedLimited   = RunEnded.WithRateLimit(maxRunLinesPerSecond, &rateLimitedLines)
	// A second run of a task, and an end that no endpoint has reported, show faults.
	RunRepeatedLimited    = RunStarted.WithRateLimit(maxRunLinesPerSecond, &rateLimitedLines)
	RunEndInferredLimited = RunEnded.WithRateLimit(maxRunLinesPerSecond, &rateLimitedLines)

	KeyRefusedLimited = KeyRefused.WithRateLimit(maxRunLinesPerSecond, &rateLimitedLines)

	EndpointItemInvalidLimited = EndpointItemInvalid.WithRateLimit(maxInvalidLinesPerSecond, &rateLimitedLines)
	RecordInvalidLimited       = RecordInvalid.WithRateLimit(maxInvalidLinesPerSecond, &rateLimitedLines)
	// The list of instances is read again every second.
	ClientRefusedLimited       = ClientRefused.WithRateLimit(1, &rateLimitedLines)
	InstanceItemInvalidLimited = InstanceItemInvalid.WithRateLimit(1, &rateLimitedLines)
	ConfigInvalidLimited       = ConfigInvalid.WithRateLimit(maxInvalidLinesPerSecond, &rateLimitedLines)

	LimitReachedLimited = LimitReached.WithRateLimit(maxRunLinesPerSecond, &rateLimitedLines)
	JobWidenedLimited   = JobWidened.WithRateLimit(maxRunLinesPerSecond, &rateLimitedLines)
	LimitLeftLimited    = LimitLeft.WithRateLimit(maxRunLinesPerSecond, &rateLimitedLines)
)

// Writer passes log lines to an output without blocking the caller. It drops and
// counts lines while its buffer is full.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a Writer for an output and installs it as the log handler.
func NewWriter(output io.Writer) (w *Writer) {
	w = &Writer{output: output, lines: make(chan []byte, maxBufferedLines)}
	log.SetHandler(jsonhandler.New(w))
	return w
}

// Write queues a copy of the line, or drops it if the buffer is full.
func (w *Writer) Write(line []byte) (n int, err error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until the context ends, then the lines that are still queued.
func (w *Writer) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- w.run(ctx) }()
	return ended
}

func (w *Writer) run(ctx context.Context) (err error) {
	report := time.NewTicker(droppedReportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-w.lines:
			if _, err = w.output.Write(w.batch(line)); err != nil {
				return err
			}
		case <-report.C:
			full, limited := w.dropped.Swap(0), rateLimitedLines.Swap(0)
			if full+limited > 0 {
				LogDropped.Log(log.Fields{"bufferFull": full, "aboveRate": limited})
			}
		case <-ctx.Done():
			return w.drain()
		}
	}
}

// batch appends queued lines to line, so that they share one write.
func (w *Writer) batch(line []byte) []byte {
	for len(line) < maxBatchBytes {
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
