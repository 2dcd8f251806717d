package duration

import (
	"math"
	"time"
)

// Basis is what a distribution is made from.
type Basis struct {
	// Key is "declared" if no run of the queue is known, "queue" for the runs of the whole queue,
	// the property that the runs share with the task ("step", "image", "size", "organisation" or
	// "place"), or "siblings" for the finished tasks of the same step of the same job.
	Key string `json:"key"`
	// Runs counts the runs with that key that are known.
	Runs int `json:"runs"`
}

// String returns the name of the property by which a level groups runs.
func (l level) String() string {
	return [...]string{
		levelQueue: "queue", levelStep: "step", levelImage: "image", levelSize: "size", levelOrganisation: "organisation",
		levelPlace: "place", levelSiblings: "siblings", levelDeclared: "declared",
	}[l]
}

// Basis returns what the distribution is made from.
func (d Distribution) Basis() Basis {
	return Basis{Key: d.level.String(), Runs: d.runs}
}

// Typical returns the distribution of the run time of a task of a queue with the mean declared
// estimate, and the level by which the queue expects run times; known is false without a run.
func (e *Estimator) Typical(queue string) (d Distribution, known bool) {
	q, known := e.queues[queue]
	if !known || q.runs == 0 {
		return Distribution{}, false
	}
	return Distribution{
		scale: math.Exp(q.all.means[0]), shape: &q.shape, samples: q.runs, level: q.level, runs: q.runs,
	}, true
}

// Times are the figures of a distribution for operators, in milliseconds.
type Times struct {
	MedianMillis int64 `json:"medianMillis"`
	// P90Millis is the time that nine of ten tasks do not exceed.
	P90Millis int64 `json:"p90Millis"`
	Basis
}

// Times returns the figures of the distribution.
func (d Distribution) Times() Times {
	const median, high = 0.5, 0.9
	round := func(q float64) int64 { return d.Quantile(q).Round(time.Millisecond).Milliseconds() }
	return Times{MedianMillis: round(median), P90Millis: round(high), Basis: d.Basis()}
}
