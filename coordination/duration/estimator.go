package duration

import (
	"math"
	"strings"
	"time"
)

// Bounds of the history.
const (
	// maxQueues and maxKeys limit the queues and the keys of each of their levels. The one
	// that was observed longest ago is removed.
	maxQueues = 512
	maxKeys   = 48
	// minRuns is how many runs a queue needs before its own errors decide which level and
	// which exponent predict it best.
	minRuns = 16
	// minKeyRuns is how many runs a key of a finer level needs to replace its queue.
	minKeyRuns = 8
	// maxRunMillis is the longest run that is told apart, a month.
	maxRunMillis = 31 * 24 * 3600 * 1000
)

// Key describes a task as far as its run time may depend on it. Queue is the coarsest part.
type Key struct {
	Queue        string
	Step         int
	Image        string
	Organisation string
	CPU          int
	MemoryMB     int
	// Remote is set if the task runs, or ran, away from its data.
	Remote bool
	// Siblings, if set, holds the finished tasks of the same step of the same job.
	Siblings *Siblings
}

// Estimator estimates run times from finished runs. The zero value knows no runs. It is not
// safe for concurrent use.
type Estimator struct {
	queues map[string]*queueHistory
}

// Observe records a run that is done. Declared is the caller's estimate, 0 if there is none.
func (e *Estimator) Observe(k Key, declared, took time.Duration, now time.Time) {
	q := e.queue(k.Queue, now)
	if q == nil {
		return
	}
	q.observe(k, logMillis(declared, 0), logMillis(took, 1), now)
}

// ObserveBound records a run that ended after a time without being done. It counts only if
// the run lasted longer than expected.
func (e *Estimator) ObserveBound(k Key, declared, lasted time.Duration, now time.Time) {
	q, known := e.queues[k.Queue]
	if !known || q.runs == 0 {
		return
	}
	d, l := logMillis(declared, 0), logMillis(lasted, 1)
	if l > q.predict(k, d).base {
		q.updateLocations(k, d, l, now)
	}
}

// Expect returns the distribution of the run time of a task. It is valid until the next call
// of Observe. Without a run of the queue it follows the declared estimate.
func (e *Estimator) Expect(k Key, declared time.Duration) (d Distribution) {
	q, known := e.queues[k.Queue]
	if !known || q.runs == 0 {
		return Distribution{scale: math.Exp(logMillis(max(declared, time.Millisecond), 1)), shape: declaredShape, level: levelDeclared}
	}
	p := q.predict(k, logMillis(declared, 0))
	s := &q.shape
	if p.siblings {
		s = &q.siblingShape
	}
	return Distribution{scale: math.Exp(p.location), shape: s, samples: p.samples, level: p.level, runs: p.runs}
}

// queue returns the history of a queue and creates it if necessary.
func (e *Estimator) queue(name string, now time.Time) (q *queueHistory) {
	if e.queues == nil {
		e.queues = make(map[string]*queueHistory)
	}
	q, known := e.queues[name]
	if !known {
		if len(e.queues) >= maxQueues {
			removeOldest(e.queues, func(q *queueHistory) time.Time { return q.updatedAt }, strings.Compare)
		}
		q = newQueueHistory()
		e.queues[name] = q
	}
	q.updatedAt = now
	return q
}

// removeOldest removes the entry of a map with the earliest time, the first one by its key
// among equals.
func removeOldest[K comparable, V any](m map[K]V, at func(V) time.Time, compare func(a, b K) int) {
	var oldest K
	var oldestAt time.Time
	first := true
	for k, v := range m {
		if t := at(v); first || t.Before(oldestAt) || t.Equal(oldestAt) && compare(k, oldest) < 0 {
			oldest, oldestAt, first = k, t, false
		}
	}
	delete(m, oldest)
}

// logMillis returns the logarithm of a duration in milliseconds, which is at least the lower
// limit; 0 if the duration is not positive.
func logMillis(d time.Duration, lowest float64) float64 {
	millis := float64(d) / float64(time.Millisecond)
	if millis <= 0 && lowest <= 0 {
		return 0
	}
	return math.Log(min(max(millis, lowest, 1), maxRunMillis))
}
