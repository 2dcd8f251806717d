package spare

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// HoldFactor times the duration of a move is how long an instance stays in the
// pool that it was moved to, and how long a pool must have had unused slots
// before it gives an instance. Ten keeps the time that an instance spends moving
// below a tenth.
const HoldFactor = 10

// coveredQuantile is the quantile of the overflow that the spare pool should be
// able to serve.
const coveredQuantile = 0.95

// failureReserve is how many instances the spare pool has beyond the overflow,
// to replace failed ones.
const failureReserve = 1

// minKnownShortages is how many earlier shortages are needed to predict the
// length of one.
const minKnownShortages = 3

// Plan decides which instances to move and how large the spare pool should be.
func Plan(s *fleet.State, o Observation, now time.Time) (d Decision) {
	p := newPlanner(s, o, now)
	if p.spare == nil {
		return Decision{}
	}
	p.sizeSparePool()
	p.replaceFailed()
	p.coverShortages()
	return p.decision
}

// planner collects the moves and reasons of one decision.
type planner struct {
	observed Observation
	now      time.Time
	pools    []*pool
	spare    *pool
	decision Decision
}

// pool is the observed state of one pool. Its instances are those of the data
// centre of the observation.
type pool struct {
	fleet.Pool
	// budgetLeft is the budget less the instances that are failed or not
	// serving, over all data centres.
	budgetLeft   int
	serving      []fleet.Instance
	failed       []fleet.Instance
	slots        int // of serving instances
	defaultSlots int // slots of an instance while none serves
	arriving     int // instances that are being moved to the pool
	windows      []Window
}

func newPlanner(s *fleet.State, o Observation, now time.Time) (p *planner) {
	p = &planner{observed: o, now: now}
	poolsByName := make(map[string]*pool)
	for _, name := range slices.Sorted(maps.Keys(s.Pools)) {
		c := &pool{Pool: s.Pools[name], budgetLeft: s.Pools[name].Budget, windows: o.Demand[name]}
		p.pools = append(p.pools, c)
		poolsByName[name] = c
		if c.Spare && p.spare == nil {
			p.spare = c
		}
	}
	largest := 0
	for _, name := range slices.Sorted(maps.Keys(s.Instances)) {
		i := s.Instances[name]
		largest = max(largest, i.Slots)
		local := o.DataCentre == "" || i.DataCentre == o.DataCentre
		if c := poolsByName[i.Pool]; c != nil {
			c.add(i, local)
		}
		if next := poolsByName[i.NextPool]; next != nil && local && i.Phase == fleet.Releasing && !i.Failed {
			next.arriving++
		}
	}
	for _, c := range p.pools {
		c.defaultSlots = largest
	}
	return p
}

func (c *pool) add(i fleet.Instance, local bool) {
	unavailable := i.Failed || i.Phase != fleet.Serving
	if unavailable {
		c.budgetLeft--
	}
	switch {
	case !local:
	case !unavailable:
		c.serving = append(c.serving, i)
		c.slots += i.Slots
	case i.Phase == fleet.Serving:
		c.failed = append(c.failed, i)
	}
}

// slotsPerInstance returns the average number of slots of an instance of the
// pool, at least one.
func (c *pool) slotsPerInstance() int {
	if len(c.serving) == 0 {
		return max(1, c.defaultSlots)
	}
	return max(1, c.slots/len(c.serving))
}

// moveWindows returns how many windows a move takes.
func (p *planner) moveWindows() int {
	return max(1, int(math.Ceil(float64(p.observed.MoveDuration)/float64(WindowLength))))
}

// sizeSparePool sets the wanted number of spare instances to cover the overflow
// at coveredQuantile. The overflow is averaged over the duration of a move,
// because shorter peaks are queued and longer ones can be met by a move.
func (p *planner) sizeSparePool() {
	overflow := movingAverage(p.overflow(), p.moveWindows())
	covered := quantile(overflow, coveredQuantile)
	p.decision.Wanted = int(math.Ceil(covered/float64(p.spare.slotsPerInstance()))) + failureReserve
	p.decision.Held = len(p.spare.serving) + p.spare.arriving
	p.reasonf(p.spare.Name, "wants %d instances: overflow of %.1f slots at quantile %.2f of %d spans of %s, %d slots each, and %d for failures; holds %d",
		p.decision.Wanted, covered, coveredQuantile, len(overflow), time.Duration(p.moveWindows())*WindowLength, p.spare.slotsPerInstance(), failureReserve, p.decision.Held)
}

// overflow returns for each window, in order, the demand beyond the own slots
// of the pools, summed over all pools but the spare pool.
func (p *planner) overflow() (slots []float64) {
	sums := make(map[time.Time]float64)
	for _, c := range p.pools {
		if c == p.spare {
			continue
		}
		for _, w := range c.windows {
			sums[w.End] += max(0, w.Mean-float64(c.slots))
		}
	}
	for _, end := range slices.SortedFunc(maps.Keys(sums), time.Time.Compare) {
		slots = append(slots, sums[end])
	}
	return slots
}

// movingAverage returns the means of all runs of n consecutive values.
func movingAverage(values []float64, n int) (means []float64) {
	sum := 0.0
	for k, v := range values {
		sum += v
		if k >= n {
			sum -= values[k-n]
		}
		if k >= n-1 {
			means = append(means, sum/float64(n))
		}
	}
	return means
}

// replaceFailed swaps a failed instance of a pool whose budget is spent with
// one of the spare pool. The budget of the spare pool has to cover both
// instances.
func (p *planner) replaceFailed() {
	for _, c := range p.pools {
		if c == p.spare || c.budgetLeft > 0 || len(c.failed) == 0 || p.spare.budgetLeft < 2 {
			continue
		}
		reason := fmt.Sprintf("%d of budget %d left with %d failed; the spare pool replaces %s", c.budgetLeft, c.Budget, len(c.failed), c.failed[0].Name)
		p.moveIdlest(p.spare, c, c.failed[0].Name, reason)
	}
}

// coverShortages moves instances to pools with a lasting shortage, and one to
// the spare pool if it is too small.
func (p *planner) coverShortages() {
	for _, c := range p.pools {
		if c == p.spare {
			continue
		}
		reason, lasting := p.lastingShortage(c)
		if !lasting {
			continue
		}
		p.reasonf(c.Name, "%s", reason)
		if donor := p.donor(c); donor != nil {
			p.moveIdlest(donor, c, "", reason)
		}
	}
	if p.decision.Held < p.decision.Wanted {
		if donor := p.donor(p.spare); donor != nil {
			p.moveIdlest(donor, p.spare, "", fmt.Sprintf("the spare pool holds %d and wants %d", p.decision.Held, p.decision.Wanted))
		}
	}
}

// lastingShortage reports whether a pool lacks at least half an instance, has
// lacked it for as long as a move takes, and can be expected to lack it for as
// long again.
func (p *planner) lastingShortage(c *pool) (reason string, lasting bool) {
	isShort := func(w Window) bool {
		return w.Median-float64(c.slots+c.arriving*c.slotsPerInstance()) >= float64(c.slotsPerInstance())/2
	}
	lasted := trailingShortage(c.windows, isShort)
	if lasted < p.moveWindows() {
		return "", false
	}
	least := math.Inf(1)
	for _, w := range c.windows[len(c.windows)-lasted:] {
		least = min(least, w.Median-float64(c.slots))
	}
	medianLength, known := medianShortage(c.windows[:len(c.windows)-lasted], isShort, lasted)
	remaining := lasted // without a history, it is expected to last as long again
	if known {
		remaining = medianLength - lasted
	}
	reason = fmt.Sprintf("lacked %.1f slots or more for %s and is expected to for %s; a move takes %s",
		least, time.Duration(lasted)*WindowLength, time.Duration(remaining)*WindowLength, p.observed.MoveDuration)
	return reason, remaining >= p.moveWindows()
}

// trailingShortage returns how many of the last windows are all short.
func trailingShortage(windows []Window, isShort func(Window) bool) (n int) {
	for n < len(windows) && isShort(windows[len(windows)-1-n]) {
		n++
	}
	return n
}

// medianShortage returns the median length of the earlier shortages that lasted
// at least as long as the current one; known is false if there are too few.
func medianShortage(windows []Window, isShort func(Window) bool, lasted int) (length int, known bool) {
	var lengths []float64
	run := 0
	for k, w := range windows {
		if isShort(w) {
			run++
		}
		if (!isShort(w) || k == len(windows)-1) && run > 0 {
			if run >= lasted {
				lengths = append(lengths, float64(run))
			}
			run = 0
		}
	}
	return int(quantile(lengths, 0.5)), len(lengths) >= minKnownShortages
}

// donor returns the pool that can best give an instance to another: the spare
// pool if it has more than it wants, or else the pool with the most unused
// slots.
func (p *planner) donor(to *pool) (best *pool) {
	if to != p.spare && p.decision.Held > p.decision.Wanted && p.spare.budgetLeft > 0 {
		return p.spare
	}
	most := 0.0
	for _, c := range p.pools {
		if c == p.spare || c == to || c.budgetLeft <= 0 {
			continue
		}
		if surplus := p.surplus(c); surplus > most {
			best, most = c, surplus
		}
	}
	return best
}

// surplus returns how many slots a pool would have unused at its high demand
// after giving an instance. It is negative if the pool has too short a history
// or only one instance.
func (p *planner) surplus(c *pool) (slots float64) {
	quietWindows := HoldFactor * p.moveWindows()
	if len(c.windows) < quietWindows || len(c.serving) < 2 {
		return -1
	}
	var high []float64
	for _, w := range c.windows[len(c.windows)-quietWindows:] {
		high = append(high, w.High)
	}
	return float64(c.slots-c.slotsPerInstance()) - quantile(high, coveredQuantile)
}

// moveIdlest moves the instance whose tasks are expected to end first; it skips
// those that were moved recently or are to be removed.
func (p *planner) moveIdlest(from, to *pool, swap, reason string) {
	var movable []fleet.Instance
	for _, i := range from.serving {
		if l := p.observed.Instances[i.Name]; !l.HoldUntil.After(p.now) && !l.PlannedRemoval {
			movable = append(movable, i)
		}
	}
	if len(movable) == 0 {
		return
	}
	i := slices.MinFunc(movable, p.compareLoad)
	p.decision.Moves = append(p.decision.Moves, Move{Instance: i.Name, From: from.Name, To: to.Name, Swap: swap, Reason: reason})
	from.serving = slices.DeleteFunc(from.serving, func(j fleet.Instance) bool { return j.Name == i.Name })
	from.slots -= i.Slots
	from.budgetLeft--
	if swap != "" {
		from.budgetLeft--
	}
	if from == p.spare {
		p.decision.Held--
	}
	to.arriving++
}

// compareLoad orders instances by the expected end of their tasks, then by
// their number, then by name.
func (p *planner) compareLoad(a, b fleet.Instance) int {
	l, m := p.observed.Instances[a.Name], p.observed.Instances[b.Name]
	return cmp.Or(l.IdleAt.Compare(m.IdleAt), cmp.Compare(l.InFlight, m.InFlight), cmp.Compare(a.Name, b.Name))
}

func (p *planner) reasonf(pool, format string, args ...any) {
	p.decision.Reasons = append(p.decision.Reasons, Reason{Pool: pool, Text: fmt.Sprintf(format, args...)})
}
