package duration

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// State is what an estimator keeps over a change of owner: the queues without their finer
// keys.
type State struct {
	Queues []QueueState `json:"queues"`
}

// QueueState is what is kept of a queue.
type QueueState struct {
	Queue string `json:"queue"`
	Runs  int    `json:"runs"`
	// Means are the mean logarithms of the run time in milliseconds for each exponent of the
	// declared estimate, and Exponent the index of the exponent in use.
	Means    []float64 `json:"means"`
	Exponent int       `json:"exponent"`
	// Ratios are run times divided by their predictions, in ascending order and with equal
	// weight.
	Ratios []float64 `json:"ratios"`
}

// ratioCount is the number of QueueState.Ratios.
const ratioCount = 32

// State returns the state of up to limit queues, those with the most recent runs.
func (e *Estimator) State(limit int) (s State) {
	names := make([]string, 0, len(e.queues))
	for name := range e.queues {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(e.queues[b].updatedAt.Compare(e.queues[a].updatedAt), cmp.Compare(a, b))
	})
	for _, name := range names[:min(limit, len(names))] {
		q := e.queues[name]
		s.Queues = append(s.Queues, QueueState{
			Queue: name, Runs: q.runs, Means: rounded(q.all.means[:]), Exponent: q.exponent, Ratios: rounded(q.shape.ratios()),
		})
	}
	return s
}

// rounded returns numbers with three decimal places, so that a record of them is short.
func rounded(numbers []float64) (all []float64) {
	const places = 1000
	for _, n := range numbers {
		all = append(all, math.Round(n*places)/places)
	}
	return all
}

// ratios returns ratioCount ratios that represent the distribution.
func (s *shape) ratios() (all []float64) {
	for i := range ratioCount {
		all = append(all, s.quantile((float64(i)+0.5)/ratioCount))
	}
	return all
}

// Load adds the queues of a stored state that have no run yet. Their runs count for little
// against new ones. It adds nothing if the state is invalid.
func (e *Estimator) Load(s State, now time.Time) (err error) {
	if len(s.Queues) > maxQueues {
		return errors.Errorf("duration: %d queues, above %d", len(s.Queues), maxQueues)
	}
	for _, q := range s.Queues {
		if err = q.validate(); err != nil {
			return err
		}
	}
	for _, q := range s.Queues {
		if known, found := e.queues[q.Queue]; found && known.runs > 0 {
			continue
		}
		h := e.queue(q.Queue, now)
		h.runs, h.exponent = q.Runs, q.Exponent
		h.all = location{weight: minWeight, means: [len(exponents)]float64(q.Means), updatedAt: now}
		for _, r := range q.Ratios {
			h.shape.add(math.Log(r), now)
		}
	}
	return nil
}

// validate returns an error for a state that no estimator has written.
func (q QueueState) validate() (err error) {
	if q.Runs <= 0 || q.Exponent < 0 || q.Exponent >= len(exponents) || len(q.Means) != len(exponents) || len(q.Ratios) != ratioCount {
		return errors.Errorf("duration: queue %q: %d runs, exponent %d, %d means, %d ratios", q.Queue, q.Runs, q.Exponent, len(q.Means), len(q.Ratios))
	}
	for _, m := range q.Means {
		// JSON has no other numbers that are not finite.
		if math.Abs(m) > 2*math.Log(maxRunMillis) {
			return errors.Errorf("duration: queue %q: mean %v", q.Queue, m)
		}
	}
	for _, r := range q.Ratios {
		if r < 0 || r > 2*maxRatio {
			return errors.Errorf("duration: queue %q: ratio %v", q.Queue, r)
		}
	}
	return nil
}
