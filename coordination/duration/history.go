package duration

import (
	"cmp"
	"math"
	"time"
)

// level is a way to group the runs of a queue, from coarse to fine.
type level int

const (
	levelQueue level = iota
	levelStep
	levelImage
	levelSize
	levelOrganisation
	levelPlace
	levelCount
	// levelSiblings and levelDeclared name the source of a distribution that is not made from a
	// group of runs.
	levelSiblings
	levelDeclared
)

// exponents are the powers of the declared estimate that scale a prediction: 0 ignores it,
// 1 follows it, and the others take a part of it into account.
var exponents = [...]float64{0, 0.25, 0.5, 0.75, 1}

// defaultExponent is the index of the exponent of a queue with few runs.
const defaultExponent = 2

// Parameters of the moving averages.
const (
	// maxWeight limits the weight of the earlier runs against a new one.
	maxWeight = 100
	// minWeight is the weight that remains of earlier runs after a long time without any.
	minWeight = 8
	// halfLife is the time in which the weight of earlier runs falls by half.
	halfLife = 10 * time.Second
	// maxResidual limits the effect of one run, as a logarithm: a factor of e.
	maxResidual = 1.0
	// biasWeight is the weight of a run in the recent error. While that exceeds maxBias, most
	// of the recent runs deviate to the same side, and each of them takes the share
	// biasDecay of the weight of the earlier runs.
	biasWeight = 1.0 / 16
	maxBias    = 0.65
	biasDecay  = 0.7
	// errorWeight is the weight of a run in the average error of a level.
	errorWeight = 1.0 / 64
	// minGain is the share by which the error of a finer level or of another exponent must be
	// lower before it is preferred.
	minGain = 0.03
	// keyPrior and siblingPrior are the numbers of runs that the prediction of the coarser
	// level counts for.
	keyPrior     = 8.0
	siblingPrior = 1.0
)

// location is a moving average of the logarithm of the run time, for each exponent of the
// declared estimate.
type location struct {
	runs   int
	weight float64
	// bias is the recent signed error at the exponent 0.
	bias      float64
	means     [len(exponents)]float64
	updatedAt time.Time
}

// update adds a run.
func (l *location) update(declared, took float64, now time.Time) {
	l.runs++
	if l.weight > minWeight {
		age := max(0, now.Sub(l.updatedAt))
		l.weight = max(minWeight, l.weight*math.Exp2(-float64(age)/float64(halfLife)))
	}
	l.updatedAt = now
	if l.weight >= minWeight {
		l.bias += biasWeight * (bounded(took-l.means[0], maxResidual) - l.bias)
		if math.Abs(l.bias) > maxBias {
			l.weight = max(minWeight, l.weight*biasDecay)
		}
	}
	l.weight = min(l.weight+1, maxWeight)
	for i, x := range exponents {
		residual := took - x*declared - l.means[i]
		if l.weight > minWeight {
			residual = bounded(residual, maxResidual)
		}
		l.means[i] += residual / l.weight
	}
}

func bounded(x, limit float64) float64 {
	return min(max(x, -limit), limit)
}

// levelKey identifies a group of runs within its level. Fields that its level ignores are
// zero.
type levelKey struct {
	text   string
	number int
	other  int
}

func (k levelKey) compare(o levelKey) int {
	return cmp.Or(cmp.Compare(k.text, o.text), cmp.Compare(k.number, o.number), cmp.Compare(k.other, o.other))
}

// levelKeyOf returns the key of a task in a level, and false if the level says nothing more
// than the queue.
func (k Key) levelKeyOf(l level) (key levelKey, applies bool) {
	switch l {
	case levelStep:
		return levelKey{number: k.Step}, true
	case levelImage:
		return levelKey{text: k.Image}, k.Image != ""
	case levelSize:
		return levelKey{number: octave(k.CPU), other: octave(k.MemoryMB)}, true
	case levelOrganisation:
		return levelKey{text: k.Organisation}, k.Organisation != ""
	case levelPlace:
		if k.Remote {
			return levelKey{number: 1}, true
		}
		return levelKey{}, true
	case levelQueue, levelCount, levelSiblings, levelDeclared:
	}
	return levelKey{}, false
}

// octave returns the number of binary digits of a size, so that similar sizes share a key.
func octave(size int) (digits int) {
	for ; size > 0; size >>= 1 {
		digits++
	}
	return digits
}

// queueHistory holds what is known of the runs of a queue.
type queueHistory struct {
	runs      int
	updatedAt time.Time
	all       location
	keys      [levelCount]map[levelKey]*location
	// errors are the average absolute errors of each level with each exponent, and
	// siblingGain how much lower the error is with the siblings.
	errors      [levelCount][len(exponents)]float64
	siblingGain float64
	// level and exponent are those with the lowest error.
	level    level
	exponent int
	// shape is the distribution of the ratio of run times to predictions, and siblingShape
	// that to predictions from siblings.
	shape, siblingShape shape
}

func newQueueHistory() *queueHistory {
	return &queueHistory{exponent: defaultExponent, shape: newShape(), siblingShape: newShape()}
}

// prediction is the expected logarithm of a run time in milliseconds; base is that without
// the siblings.
type prediction struct {
	location, base float64
	siblings       bool
	samples        int
	// level and runs are what the prediction is made from.
	level level
	runs  int
}

// predict returns the prediction for a task.
func (q *queueHistory) predict(k Key, declared float64) (p prediction) {
	declared = q.usableDeclared(declared)
	own := q.locationOf(k, q.level)
	p.base = q.at(own, q.exponent) + exponents[q.exponent]*declared
	p.location, p.samples, p.runs = p.base, q.runs, q.runs
	if own != &q.all {
		p.level, p.runs = q.level, own.runs
	}
	if k.Siblings != nil && k.Siblings.count > 0 && q.siblingGain >= 0 {
		p.siblings = true
		p.location = k.Siblings.combine(p.base)
		p.level, p.runs = levelSiblings, int(k.Siblings.count)
	}
	return p
}

// usableDeclared returns the declared estimate, or the mean run time if there is none.
func (q *queueHistory) usableDeclared(declared float64) float64 {
	if declared == 0 {
		return q.all.means[0]
	}
	return declared
}

// at returns the mean of a location of the queue. The mean of the queue counts like keyPrior
// runs of a key.
func (q *queueHistory) at(own *location, exponent int) (mean float64) {
	mean = q.all.means[exponent]
	if own != &q.all {
		return (own.means[exponent]*own.weight + mean*keyPrior) / (own.weight + keyPrior)
	}
	return mean
}

// locationOf returns the average of the task's key in a level, or that of the queue if the
// key has too few runs.
func (q *queueHistory) locationOf(k Key, l level) (own *location) {
	key, applies := k.levelKeyOf(l)
	if !applies {
		return &q.all
	}
	own, known := q.keys[l][key]
	if !known || own.weight < minKeyRuns {
		return &q.all
	}
	return own
}

// observe adds a run that is done.
func (q *queueHistory) observe(k Key, declared, took float64, now time.Time) {
	if q.runs > 0 {
		q.updateErrors(k, declared, took)
		q.updateShapes(k, declared, took, now)
	} else {
		q.all.means[0] = took
	}
	q.runs++
	q.updateLocations(k, declared, took, now)
	if k.Siblings != nil {
		k.Siblings.add(took)
	}
}

// updateShapes adds the ratio of a run to its prediction, unless the prediction is outdated.
func (q *queueHistory) updateShapes(k Key, declared, took float64, now time.Time) {
	if math.Abs(q.locationOf(k, q.level).bias) > maxBias {
		return
	}
	base := q.predict(k, declared).base
	q.shape.add(took-base, now)
	if k.Siblings == nil || k.Siblings.count == 0 {
		return
	}
	combined := k.Siblings.combine(base)
	q.siblingShape.add(took-combined, now)
	gain := math.Abs(took-base) - math.Abs(took-combined)
	q.siblingGain += errorWeight * (bounded(gain, maxResidual) - q.siblingGain)
}

// updateLocations adds a run to the queue and to the keys of all levels.
func (q *queueHistory) updateLocations(k Key, declared, took float64, now time.Time) {
	declared = q.usableDeclared(declared)
	q.all.update(declared, took, now)
	for l := levelStep; l < levelCount; l++ {
		key, applies := k.levelKeyOf(l)
		if !applies {
			continue
		}
		own, known := q.keys[l][key]
		if !known {
			if q.keys[l] == nil {
				q.keys[l] = make(map[levelKey]*location)
			}
			if len(q.keys[l]) >= maxKeys {
				removeOldest(q.keys[l], func(o *location) time.Time { return o.updatedAt }, levelKey.compare)
			}
			own = &location{}
			q.keys[l][key] = own
		}
		own.update(declared, took, now)
	}
}

// updateErrors adds the error of each level with each exponent for a run, and selects those
// with the lowest average error.
func (q *queueHistory) updateErrors(k Key, declared, took float64) {
	declared = q.usableDeclared(declared)
	weight := max(errorWeight, 1/float64(q.runs))
	for l := range levelCount {
		own := q.locationOf(k, l)
		for i, x := range exponents {
			residual := took - x*declared - q.at(own, i)
			q.errors[l][i] += weight * (math.Abs(bounded(residual, 3*maxResidual)) - q.errors[l][i])
		}
	}
	if q.runs < minRuns {
		return
	}
	lowest := q.errors[q.level][q.exponent] * (1 - minGain)
	for l := range levelCount {
		for i := range exponents {
			if q.errors[l][i] < lowest {
				lowest = q.errors[l][i]
				q.level, q.exponent = l, i
			}
		}
	}
}

// Siblings holds the run times of the finished tasks of a step of a job. Tasks of the same
// step run alike, so that a few of them predict the others better than the queue does.
type Siblings struct {
	count, sum float64
}

func (s *Siblings) add(took float64) {
	s.count++
	s.sum += took
}

// combine returns the prediction from the siblings and the prediction without them.
func (s *Siblings) combine(base float64) (location float64) {
	return (base*siblingPrior + s.sum) / (siblingPrior + s.count)
}
