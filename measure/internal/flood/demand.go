package flood

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"github.com/azurepoint/azurepoint/coordination/share"
	"github.com/azurepoint/azurepoint/measure/internal/site"
)

// members is how many members each pool has.
const members = 2

// firstShare is the part of a kind's requests that its first member sends.
const firstShare = 0.7

// Times of the demand pattern.
const (
	burst  = 6 * time.Second
	cycles = 4
	// shortFlood is how long a short flood goes on after a burst.
	shortFlood = 10 * time.Second
)

// Demand relative to the mean, in a burst or flood and in between.
const (
	burstFactor = 5.0
	quietFactor = 0.05
)

// capPart is a member's cap as a part of the slots of its pool. The first
// member's part of a burst of 1.5 times the pool is 1.05.
const capPart = 0.9

// Run times: a log-normal with a median of 1 s, cut at both ends.
const (
	runSpread   = 0.7
	shortestRun = 0.2
	longestRun  = 5.0
)

// deadlines are the times that callers give, by urgency.
var deadlines = [...]time.Duration{
	share.Urgent: 10 * time.Second,
	share.Normal: 30 * time.Second,
	share.Batch:  2 * time.Minute,
}

// flooding is which kind of work floods.
type flooding struct {
	// kind is the index of the pool; negative means none.
	kind int
	// firstOnly is set if only the first member of the pool floods.
	firstOnly bool
	sustained bool
}

// floods tells whether a member of a kind floods at all.
func (f flooding) floods(kind, member int) bool {
	return f.kind == kind && (member == 0 || !f.firstOnly)
}

// cycle is how long it takes until the same queue bursts again.
func cycle(s site.Site) time.Duration {
	return time.Duration(len(s.Pools)) * burst
}

// factor is the demand of a member of a kind at a time, relative to its mean.
func (f flooding) factor(s site.Site, kind, member int, at time.Duration) float64 {
	phase := at % cycle(s)
	since := (phase - time.Duration(kind)*burst + cycle(s)) % cycle(s)
	switch {
	case since < burst:
		return burstFactor
	case f.floods(kind, member) && (f.sustained || since < burst+shortFlood):
		return burstFactor
	default:
		return quietFactor
	}
}

// demand returns the requests of a run in the order of their arrival. Requests
// are drawn at the rate of a burst and thinned out, so that the requests of a
// kind are the same with and without a flood of another one.
func demand(s site.Site, load float64, f flooding, seed int64) (list []*request) {
	for kind, p := range s.Pools {
		urgency, _ := share.ParseUrgency(p.Urgency)
		rate := load * float64(p.Workers*site.SlotsPerWorker) / (meanRun * meanSlots)
		for member := range members {
			part := firstShare
			if member > 0 {
				part = 1 - firstShare
			}
			r := rand.New(rand.NewSource(seed*1000 + int64(kind*members+member)))
			for at := time.Duration(0); ; {
				at += time.Duration(r.ExpFloat64() / (rate * part) * float64(time.Second))
				if at >= length(s) {
					break
				}
				x := draw(r, s, kind, member, urgency, at)
				if r.Float64()*burstFactor < f.factor(s, kind, member, at) {
					x.id = fmt.Sprintf("%s-%d-%d", p.Name, member, len(list))
					list = append(list, x)
				}
			}
		}
	}
	return list
}

func draw(r *rand.Rand, s site.Site, kind, member int, u share.Urgency, at time.Duration) (x *request) {
	run := runTime(r)
	off := math.Pow(10, 2*r.Float64()-1)
	if member > 0 {
		off = math.Pow(10, 2*float64(kind%2)-1)
	}
	x = &request{
		kind:     kind,
		member:   member,
		centre:   r.Intn(s.DataCentres),
		urgency:  u,
		slots:    1,
		run:      time.Duration(run * float64(time.Second)),
		declared: time.Duration(run * off * float64(time.Second)),
		arrived:  start.Add(at),
		deadline: start.Add(at + deadlines[u]),
	}
	if r.Intn(10) == 0 {
		x.slots = 2
	}
	return x
}

func runTime(r *rand.Rand) (seconds float64) {
	return min(longestRun, max(shortestRun, math.Exp(runSpread*r.NormFloat64())))
}

// meanSlots and meanRun are the means of the distributions above; meanRun was
// computed from ten million draws.
const (
	meanSlots = 1.1
	meanRun   = 1.262
)
