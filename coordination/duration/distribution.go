package duration

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

// Parameters of the distributions.
const (
	// accuracy is the relative accuracy of the sketches.
	accuracy = 0.05
	// maxRatio limits the ratio of a run to its prediction, so that a single run does not
	// decide the mean.
	maxRatio = 32
	// maxShapeCount is the number of runs at which the weight of a shape is halved.
	// shapeHalfLife is the time after which it is halved anyway, down to minShapeCount.
	maxShapeCount = 1024
	minShapeCount = 128
	shapeHalfLife = 5 * time.Second
	// priorCount is how many runs the shape of a new queue counts for, and priorDeviation the
	// standard deviation of its logarithm.
	priorCount     = 8
	priorDeviation = 0.5
	// declaredDeviation is that of a declared estimate alone: one run in a hundred takes more
	// than ten times as long.
	declaredDeviation = 1.5
)

// declaredShape is the distribution around a declared estimate without any run. It is not
// changed.
var declaredShape = fixedShape(declaredDeviation, priorCount)

// shape is the distribution of a ratio of run times to predictions. Old runs fade.
type shape struct {
	sketch  *ddsketch.DDSketchWithExactSummaryStatistics
	fadedAt time.Time
	// tails holds what remains above each ratio of the sketch, in ascending order, since its
	// last change; it is empty until it is needed. So is residual. The quantiles that were needed
	// are kept if the map is not nil.
	tails     []tail
	quantiles map[float64]float64
	residual  residual
}

// residual holds the sums of the ratios of a shape and of their squares, by weight.
type residual struct {
	sum, squares float64
	known        bool
}

// changed drops what was calculated from the sketch.
func (s *shape) changed() {
	s.tails = s.tails[:0]
	clear(s.quantiles)
	s.residual = residual{}
}

// tail is the weight of the ratios from a value on, and their sum by weight.
type tail struct {
	value, weight, sum float64
}

// remaining returns the weight of the ratios above a value, and their sum by weight. Plans ask
// for it far more often than the sketch changes.
func (s *shape) remaining(above float64) (weight, sum float64) {
	if len(s.tails) == 0 {
		s.sketch.ForEach(func(value, weight float64) (stop bool) {
			s.tails = append(s.tails, tail{value: value, weight: weight, sum: value * weight})
			return false
		})
		slices.SortFunc(s.tails, func(a, b tail) int { return cmp.Compare(a.value, b.value) })
		for i := len(s.tails) - 2; i >= 0; i-- {
			s.tails[i].weight += s.tails[i+1].weight
			s.tails[i].sum += s.tails[i+1].sum
		}
	}
	i := sort.Search(len(s.tails), func(i int) bool { return s.tails[i].value > above })
	if i == len(s.tails) {
		return 0, 0
	}
	return s.tails[i].weight, s.tails[i].sum
}

// newShape returns the shape of a queue without runs.
func newShape() (s shape) {
	s = *fixedShape(priorDeviation, priorCount)
	s.quantiles = make(map[float64]float64)
	return s
}

// fixedShape returns a log-normal distribution of mean 1 that weighs count runs.
func fixedShape(deviation, count float64) *shape {
	// The accuracy is a valid constant, so there is no error.
	sketch, _ := ddsketch.NewDefaultDDSketchWithExactSummaryStatistics(accuracy)
	const points = 32
	sum := 0.0
	for i := range points {
		sum += math.Exp(deviation * normalQuantile((float64(i)+0.5)/points))
	}
	for i := range points {
		_ = sketch.AddWithCount(math.Exp(deviation*normalQuantile((float64(i)+0.5)/points))*points/sum, count/points)
	}
	s := &shape{sketch: sketch}
	s.remaining(0)
	s.residuals()
	return s
}

func normalQuantile(p float64) float64 {
	return math.Sqrt2 * math.Erfinv(2*p-1)
}

// add adds the logarithm of a ratio.
func (s *shape) add(logRatio float64, now time.Time) {
	count := s.sketch.GetCount()
	if s.fadedAt.IsZero() {
		s.fadedAt = now
	}
	if count >= maxShapeCount || count >= minShapeCount && now.Sub(s.fadedAt) >= shapeHalfLife {
		_ = s.sketch.Reweight(0.5)
		s.fadedAt = now
	}
	_ = s.sketch.Add(math.Exp(bounded(logRatio, math.Log(maxRatio))))
	s.changed()
}

// Distribution is the distribution of the run time of a task.
type Distribution struct {
	scale   float64
	shape   *shape
	samples int
	level   level
	runs    int
}

// Samples returns how many finished runs of the task's queue are known; 0 means that the
// distribution follows the declared estimate.
func (d Distribution) Samples() (runs int) {
	return d.samples
}

// Mean returns the mean run time.
func (d Distribution) Mean() time.Duration {
	return toDuration(d.scale * d.shape.mean())
}

// Quantile returns the run time that a task does not exceed with the given probability.
func (d Distribution) Quantile(q float64) time.Duration {
	return toDuration(d.scale * d.shape.quantile(q))
}

// Remaining returns the mean remaining time of a run that has lasted for a time. It is the
// mean run time if the run has lasted longer than all known ones.
func (d Distribution) Remaining(elapsed time.Duration) time.Duration {
	ratio := float64(max(elapsed, 0)) / float64(time.Millisecond) / d.scale
	weight, sum := d.shape.remaining(ratio)
	if weight == 0 {
		return d.Mean()
	}
	return toDuration(d.scale * max(0, sum/weight-ratio))
}

// Residual returns the mean remaining time of a run that is seen at a random moment.
func (d Distribution) Residual() time.Duration {
	r := d.shape.residuals()
	if r.sum == 0 {
		return d.Mean()
	}
	return toDuration(d.scale * r.squares / (2 * r.sum))
}

func (s *shape) residuals() residual {
	if !s.residual.known {
		r := residual{known: true}
		s.sketch.ForEach(func(value, weight float64) (stop bool) {
			r.sum += value * weight
			r.squares += value * value * weight
			return false
		})
		s.residual = r
	}
	return s.residual
}

// quantile returns a quantile of the ratio. The sketch's own quantiles leave out a whole run,
// which is too much for small weights.
func (s *shape) quantile(q float64) float64 {
	value, known := s.quantiles[q]
	if known {
		return value
	}
	value = s.sketch.Value(s.sketch.GetPositiveValueStore().KeyAtRank(min(max(q, 0), 1) * s.sketch.GetCount()))
	if s.quantiles != nil && len(s.quantiles) < maxQuantiles {
		s.quantiles[q] = value
	}
	return value
}

// maxQuantiles limits the quantiles that are kept.
const maxQuantiles = 64

func (s *shape) mean() float64 {
	return s.sketch.GetSum() / s.sketch.GetCount()
}

// toDuration returns a time in milliseconds as a duration.
func toDuration(millis float64) time.Duration {
	return time.Duration(min(millis, maxRatio*maxRunMillis) * float64(time.Millisecond))
}
