package sizing

import (
	"math"
	"time"

	"github.com/azurepoint/azurepoint/coordination/input"
)

const (
	// headroomFactor scales the arriving work to the capacity for it, because tasks do not
	// fill endpoints exactly.
	headroomFactor = 1.15
	// headroomDeviations is how many standard deviations of its forecast a pool has as
	// headroom, if run times are learned: work above that waits within the slack of its jobs.
	headroomDeviations = 0.5
	// keptDeviations is how many it keeps: an instance that leaves on a random fall serves
	// nobody for the time of two moves.
	keptDeviations = 2.25
	// extraEndpoints is the number of endpoints that a pool keeps beside those of its
	// long-running tasks, to serve the first second of a burst.
	extraEndpoints = 1
)

// Endpoint is an endpoint that can move once it is idle.
type Endpoint struct {
	ID, Instance string
	// IdleAt is when the tasks that run on it are expected to end.
	IdleAt time.Time
	// MaintenanceDue is set while the maintenance of the instance is still to come.
	MaintenanceDue bool
}

// Pool is the observed state of a pool.
type Pool struct {
	Name string
	// EndpointCPU is the CPU of the largest endpoint, in thousandths of a core.
	EndpointCPU int
	// Idle are the endpoints that can leave at once, Busy those that can leave once their
	// tasks have ended. Staying counts the endpoints in service that cannot leave, and
	// Incoming those that are on their way.
	Idle, Busy        []Endpoint
	Staying, Incoming int
	// LongRunningCPU is the CPU of all long-running tasks, and LongRunningEndpoints the
	// number of endpoints that run them.
	LongRunningCPU, LongRunningEndpoints int
	// Forecast is the work that arrives for the pool.
	Forecast Forecast
	// OnTimeCPU is the CPU that finishes the waiting work of jobs that can meet their
	// objective within their slack, OnTimeRunningCPU the CPU that their running tasks take,
	// and LateCPU the CPU for the waiting work of late jobs.
	OnTimeCPU, OnTimeRunningCPU, LateCPU float64
	// SurplusSince is the time since which the pool has had more endpoints than it requires.
	SurplusSince time.Time
	// headroom is that of the fleet.
	headroom float64
}

// Size is the size of a pool and what its demand requires. RequiredOnTime is what jobs
// that can meet their objective require, and Kept what the pool keeps because of the error
// of its forecast.
type Size struct {
	Pool                                    string
	Current, Required, RequiredOnTime, Kept int
}

// size returns the current and the required size of the pool.
func (p *Pool) size() (s Size) {
	s = Size{Pool: p.Name, Current: len(p.Idle) + len(p.Busy) + p.Staying + p.Incoming}
	f := p.Forecast
	arriving, spare := f.CPU*headroomFactor, f.Error
	if f.Learned {
		arriving, spare = f.CPU+headroomDeviations*f.Deviation, max((keptDeviations-headroomDeviations)*f.Deviation, f.Error)
	}
	arriving += f.CPU * p.headroom
	onTime := max(arriving, p.OnTimeRunningCPU) + p.OnTimeCPU
	s.RequiredOnTime = max(p.endpointsFor(onTime), p.LongRunningEndpoints+extraEndpoints)
	s.Required = max(p.endpointsFor(onTime+p.LateCPU), s.RequiredOnTime)
	s.Kept = max(s.Required, p.endpointsFor(max(arriving+spare, p.OnTimeRunningCPU+f.Error)+p.OnTimeCPU+p.LateCPU))
	return s
}

// maxEndpoints bounds what a pool may require, so that sums cannot overflow.
const maxEndpoints = 1_000_000_000

// endpointsFor returns how many endpoints carry short tasks of a total CPU beside the
// long-running tasks of the pool.
func (p *Pool) endpointsFor(cpu float64) (count int) {
	if p.EndpointCPU == 0 {
		return 1
	}
	usable := float64(p.EndpointCPU)
	if p.Forecast.Learned {
		usable *= p.Forecast.Fill
	}
	return input.Clamp(math.Ceil((cpu+float64(p.LongRunningCPU))/usable), 0, maxEndpoints)
}
