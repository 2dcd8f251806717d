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

// HoldMoves is for how many times the length of a move an instance stays where
// it was moved to, and for how many a pool has to be quiet before it gives. Ten
// keeps the time spent moving below a tenth.
const HoldMoves = 10

// coveredShare is the quantile of the overflow that the spare pool should hold.
const coveredShare = 0.95

// replacements is how many instances the spare pool holds beyond the overflow,
// to replace one that fails.
const replacements = 1

// knownEpisodes is how many earlier shortages have to be known before their
// length is trusted.
const knownEpisodes = 3

// Plan decides which instances to move and how large the spare pool should be.
func Plan(s *fleet.State, o Observation, now time.Time) (d Decision) {
	p := newPlanner(s, o, now)
	if p.spare == nil {
		return Decision{}
	}
	p.size()
	p.replace()
	p.balance()
	return p.decision
}

type planner struct {
	seen     Observation
	now      time.Time
	pools    []*pool
	spare    *pool
	decision Decision
}

// pool is what is known of one pool; its instances are those of the data centre.
type pool struct {
	fleet.Pool
	// free is the budget that is not spent, in all data centres.
	free     int
	serving  []fleet.Instance
	failed   []fleet.Instance
	slots    int // of serving instances
	usual    int // slots of an instance, if none serves
	arriving int // instances on their way to it
	windows  []Window
}

func newPlanner(s *fleet.State, o Observation, now time.Time) (p *planner) {
	p = &planner{seen: o, now: now}
	byName := make(map[string]*pool)
	for _, name := range slices.Sorted(maps.Keys(s.Pools)) {
		c := &pool{Pool: s.Pools[name], free: s.Pools[name].Budget, windows: o.Demand[name]}
		p.pools = append(p.pools, c)
		byName[name] = c
		if c.Spare && p.spare == nil {
			p.spare = c
		}
	}
	usual := 0
	for _, name := range slices.Sorted(maps.Keys(s.Instances)) {
		i := s.Instances[name]
		usual = max(usual, i.Slots)
		here := o.DataCentre == "" || i.DataCentre == o.DataCentre
		if c := byName[i.Pool]; c != nil {
			c.add(i, here)
		}
		if next := byName[i.NextPool]; next != nil && here && i.Phase == fleet.Releasing && !i.Failed {
			next.arriving++
		}
	}
	for _, c := range p.pools {
		c.usual = usual
	}
	return p
}

func (c *pool) add(i fleet.Instance, here bool) {
	unavailable := i.Failed || i.Phase != fleet.Serving
	if unavailable {
		c.free--
	}
	switch {
	case !here:
	case !unavailable:
		c.serving = append(c.serving, i)
		c.slots += i.Slots
	case i.Phase == fleet.Serving:
		c.failed = append(c.failed, i)
	}
}

// each is how many slots an instance of the pool has, at least one.
func (c *pool) each() int {
	if len(c.serving) == 0 {
		return max(1, c.usual)
	}
	return max(1, c.slots/len(c.serving))
}

// span is how many windows a move takes.
func (p *planner) span() int {
	return max(1, int(math.Ceil(float64(p.seen.MoveTakes)/float64(WindowLength))))
}

// size sets the wanted size: what overflows at the covered quantile, averaged
// over the time that a move takes, because shorter peaks are queued and longer
// ones can be met by a move.
func (p *planner) size() {
	overflow := averaged(p.overflow(), p.span())
	covered := quantile(overflow, coveredShare)
	p.decision.Wanted = int(math.Ceil(covered/float64(p.spare.each()))) + replacements
	p.decision.Held = len(p.spare.serving) + p.spare.arriving
	p.reasonf(p.spare.Name, "wants %d instances: overflow of %.1f slots at quantile %.2f of %d spans of %s, %d slots each, and %d for failures; holds %d",
		p.decision.Wanted, covered, coveredShare, len(overflow), time.Duration(p.span())*WindowLength, p.spare.each(), replacements, p.decision.Held)
}

// overflow returns the demand beyond the pools' own slots, summed over the
// pools other than the spare, for each window in order.
func (p *planner) overflow() (slots []float64) {
	sums := make(map[time.Time]float64)
	for _, c := range p.pools {
		if c == p.spare {
			continue
		}
		for _, w := range c.windows {
			sums[w.Ends] += max(0, w.Mean-float64(c.slots))
		}
	}
	for _, ends := range slices.SortedFunc(maps.Keys(sums), time.Time.Compare) {
		slots = append(slots, sums[ends])
	}
	return slots
}

// averaged returns the means of each run of n values.
func averaged(values []float64, n int) (means []float64) {
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

// replace swaps a failed instance of a pool whose budget is spent with one of
// the spare pool, whose budget has to hold both.
func (p *planner) replace() {
	for _, c := range p.pools {
		if c == p.spare || c.free > 0 || len(c.failed) == 0 || p.spare.free < 2 {
			continue
		}
		text := fmt.Sprintf("%d of budget %d left with %d failed; the spare pool replaces %s", c.free, c.Budget, len(c.failed), c.failed[0].Name)
		p.move(p.spare, c, c.failed[0].Name, text)
	}
}

// balance moves instances where a shortage or surplus outlasts the move.
func (p *planner) balance() {
	for _, c := range p.pools {
		if c == p.spare {
			continue
		}
		text, lasting := p.shortage(c)
		if !lasting {
			continue
		}
		p.reasonf(c.Name, "%s", text)
		if giver := p.giver(c); giver != nil {
			p.move(giver, c, "", text)
		}
	}
	if p.decision.Held < p.decision.Wanted {
		if giver := p.giver(p.spare); giver != nil {
			p.move(giver, p.spare, "", fmt.Sprintf("the spare pool holds %d and wants %d", p.decision.Held, p.decision.Wanted))
		}
	}
}

// shortage tells whether a pool lacks at least half an instance, has done so
// for as long as a move takes, and can be expected to do so as long again.
func (p *planner) shortage(c *pool) (text string, lasting bool) {
	short := func(w Window) bool { return w.Median-float64(c.slots+c.arriving*c.each()) >= float64(c.each())/2 }
	lasted := runBack(c.windows, short)
	if lasted < p.span() {
		return "", false
	}
	least := math.Inf(1)
	for _, w := range c.windows[len(c.windows)-lasted:] {
		least = min(least, w.Median-float64(c.slots))
	}
	usual, known := usualLength(c.windows[:len(c.windows)-lasted], short, lasted)
	left := lasted // without a history, what has lasted goes on as long again
	if known {
		left = usual - lasted
	}
	text = fmt.Sprintf("lacked %.1f slots or more for %s and is expected to for %s; a move takes %s",
		least, time.Duration(lasted)*WindowLength, time.Duration(left)*WindowLength, p.seen.MoveTakes)
	return text, left >= p.span()
}

// runBack counts the last windows that all are short.
func runBack(windows []Window, short func(Window) bool) (n int) {
	for n < len(windows) && short(windows[len(windows)-1-n]) {
		n++
	}
	return n
}

// usualLength returns the median length of the earlier shortages that lasted
// at least as long as this one, if enough are known.
func usualLength(windows []Window, short func(Window) bool, lasted int) (length int, known bool) {
	var lengths []float64
	run := 0
	for k, w := range windows {
		if short(w) {
			run++
		}
		if (!short(w) || k == len(windows)-1) && run > 0 {
			if run >= lasted {
				lengths = append(lengths, float64(run))
			}
			run = 0
		}
	}
	return int(quantile(lengths, 0.5)), len(lengths) >= knownEpisodes
}

// giver returns the pool that can best spare an instance for another: the
// spare pool beyond its wanted size, or else the quiet pool with most slots
// unused.
func (p *planner) giver(to *pool) (best *pool) {
	if to != p.spare && p.decision.Held > p.decision.Wanted && p.spare.free > 0 {
		return p.spare
	}
	most := 0.0
	for _, c := range p.pools {
		if c == p.spare || c == to || c.free <= 0 {
			continue
		}
		if unused := p.unused(c); unused > most {
			best, most = c, unused
		}
	}
	return best
}

// unused is how many slots a pool would have left at its high demand after
// giving an instance; it is negative until the pool was quiet for long enough.
func (p *planner) unused(c *pool) (slots float64) {
	quiet := HoldMoves * p.span()
	if len(c.windows) < quiet || len(c.serving) < 2 {
		return -1
	}
	var high []float64
	for _, w := range c.windows[len(c.windows)-quiet:] {
		high = append(high, w.High)
	}
	return float64(c.slots-c.each()) - quantile(high, coveredShare)
}

// move decides to move the instance whose tasks end soonest, unless all are held.
func (p *planner) move(from, to *pool, swap, text string) {
	var free []fleet.Instance
	for _, i := range from.serving {
		if l := p.seen.Instances[i.Name]; !l.HoldUntil.After(p.now) && !l.Leaving {
			free = append(free, i)
		}
	}
	if len(free) == 0 {
		return
	}
	i := slices.MinFunc(free, p.byLoad)
	p.decision.Moves = append(p.decision.Moves, Move{Instance: i.Name, From: from.Name, To: to.Name, Swap: swap, Reason: text})
	from.serving = slices.DeleteFunc(from.serving, func(j fleet.Instance) bool { return j.Name == i.Name })
	from.slots -= i.Slots
	from.free--
	if swap != "" {
		from.free--
	}
	if from == p.spare {
		p.decision.Held--
	}
	to.arriving++
}

func (p *planner) byLoad(a, b fleet.Instance) int {
	l, m := p.seen.Instances[a.Name], p.seen.Instances[b.Name]
	return cmp.Or(l.IdleAt.Compare(m.IdleAt), cmp.Compare(l.InFlight, m.InFlight), cmp.Compare(a.Name, b.Name))
}

func (p *planner) reasonf(pool, format string, args ...any) {
	p.decision.Reasons = append(p.decision.Reasons, Reason{Pool: pool, Text: fmt.Sprintf(format, args...)})
}
