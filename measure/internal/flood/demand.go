package flood

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"github.com/azurepoint/azurepoint/coordination/share"
	"github.com/azurepoint/azurepoint/measure/internal/site"
)

// members is the number of members of each pool.
const members = 2

// firstMemberFraction is the fraction of a kind's requests that its first member
// sends.
const firstMemberFraction = 0.7

// Times of the demand pattern.
const (
	burstDuration = 6 * time.Second
	cycleCount    = 4
	// shortFloodDuration is how long a short flood lasts after a burst.
	shortFloodDuration = 10 * time.Second
)

// Demand relative to the mean rate, in a burst or flood and in between.
const (
	burstFactor = 5.0
	quietFactor = 0.05
)

// capFraction is a member's cap as a fraction of the slots of its pool. In a burst of
// 1.5 times the pool, the first member needs 1.05 times the pool and so reaches its
// cap.
const capFraction = 0.9

// Run times are log-normal with a median of 1 s and limited at both ends.
const (
	runTimeSigma  = 0.7
	minRunSeconds = 0.2
	maxRunSeconds = 5.0
)

// deadlines are the times from arrival to the deadline, by urgency.
var deadlines = [...]time.Duration{
	share.Urgent: 10 * time.Second,
	share.Normal: 30 * time.Second,
	share.Batch:  2 * time.Minute,
}

// floodScenario selects the kind of work and the members that flood.
type floodScenario struct {
	// kind is the index of the pool; negative means none.
	kind int
	// firstOnly is set if only the first member of the pool floods.
	firstOnly bool
	sustained bool
}

// includes reports whether a member of a kind floods at any time.
func (f floodScenario) includes(kind, member int) bool {
	return f.kind == kind && (member == 0 || !f.firstOnly)
}

// cycleDuration is the time from the start of a burst of one kind of work to the
// start of its next burst.
func cycleDuration(s site.Site) time.Duration {
	return time.Duration(len(s.Pools)) * burstDuration
}

// demandFactor returns the demand of a member at a time, relative to its mean.
func (f floodScenario) demandFactor(s site.Site, kind, member int, at time.Duration) float64 {
	phase := at % cycleDuration(s)
	since := (phase - time.Duration(kind)*burstDuration + cycleDuration(s)) % cycleDuration(s)
	switch {
	case since < burstDuration:
		return burstFactor
	case f.includes(kind, member) && (f.sustained || since < burstDuration+shortFloodDuration):
		return burstFactor
	default:
		return quietFactor
	}
}

// demand returns the requests of a run, by kind, member and arrival. Requests are
// drawn at the rate of a burst and then thinned to the demand of the moment, so
// that a flood of one kind does not change the requests of another.
func demand(s site.Site, load float64, f floodScenario, seed int64) (list []*request) {
	for kind, p := range s.Pools {
		urgency, _ := share.ParseUrgency(p.Urgency)
		rate := load * float64(p.Instances*site.SlotsPerInstance) / (meanRunSeconds * meanSlots)
		for member := range members {
			part := firstMemberFraction
			if member > 0 {
				part = 1 - firstMemberFraction
			}
			r := rand.New(rand.NewSource(seed*1000 + int64(kind*members+member)))
			for at := time.Duration(0); ; {
				at += time.Duration(r.ExpFloat64() / (rate * part) * float64(time.Second))
				if at >= arrivalPeriod(s) {
					break
				}
				x := drawRequest(r, s, kind, member, urgency, at)
				if r.Float64()*burstFactor < f.demandFactor(s, kind, member, at) {
					x.id = fmt.Sprintf("%s-%d-%d", p.Name, member, len(list))
					list = append(list, x)
				}
			}
		}
	}
	return list
}

func drawRequest(r *rand.Rand, s site.Site, kind, member int, u share.Urgency, at time.Duration) (x *request) {
	run := drawRunTime(r)
	estimateFactor := math.Pow(10, 2*r.Float64()-1)
	if member > 0 {
		estimateFactor = math.Pow(10, 2*float64(kind%2)-1)
	}
	x = &request{
		kind:     kind,
		member:   member,
		centre:   r.Intn(s.DataCentres),
		urgency:  u,
		slots:    1,
		run:      time.Duration(run * float64(time.Second)),
		declared: time.Duration(run * estimateFactor * float64(time.Second)),
		arrived:  start.Add(at),
		deadline: start.Add(at + deadlines[u]),
	}
	if r.Intn(10) == 0 {
		x.slots = 2
	}
	return x
}

func drawRunTime(r *rand.Rand) (seconds float64) {
	return min(maxRunSeconds, max(minRunSeconds, math.Exp(runTimeSigma*r.NormFloat64())))
}

// Means of the distributions above; that of the run time was computed from ten
// million draws.
const (
	meanSlots      = 1.1
	meanRunSeconds = 1.262
)
