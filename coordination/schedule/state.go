package schedule

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/duration"
	"github.com/azurepoint/azurepoint/coordination/sizing"
)

// State is a summary of what the scheduler holds, for operators.
type State struct {
	Pools         []PoolState       `json:"pools"`
	Organisations []OrganisationUse `json:"organisations,omitempty"`
	// UnstoredJobs counts the jobs whose record differs from the stored one, PendingStops the
	// runs that may need an order to stop, and SuspectTasks the tasks that may have crashed
	// an endpoint.
	UnstoredJobs int `json:"unstoredJobs"`
	PendingStops int `json:"pendingStops"`
	SuspectTasks int `json:"suspectTasks"`
	// Counts holds totals since the scheduler was created.
	Counts Counts `json:"counts"`
}

// PoolState is a summary of a pool.
type PoolState struct {
	Pool string `json:"pool"`
	// OnTime, Late, Surplus and TooLate count the unfinished jobs by their lateness, without
	// the LongRunning ones.
	OnTime      int `json:"onTime"`
	Late        int `json:"late"`
	Surplus     int `json:"surplus"`
	TooLate     int `json:"tooLate"`
	LongRunning int `json:"longRunning"`
	// Inherited counts those of them that an earlier owner accepted.
	Inherited int `json:"inherited"`
	// WaitingTasks counts the tasks whose turn has come and that have no run.
	WaitingTasks int `json:"waitingTasks"`
	// Size is the result of the last decision on the sizes of pools.
	Size        sizing.Size        `json:"size"`
	DataCentres []EndpointSummary  `json:"dataCentres"`
	Queues      map[string]float64 `json:"queueMeanMillis,omitempty"`
	// QueueTimes is what a task of each queue with unfinished jobs is expected to take.
	QueueTimes map[string]duration.Times `json:"queueTimes,omitempty"`
}

// EndpointSummary counts the endpoints of a pool in a data centre. Those that cannot get new
// tasks count once for each cause.
type EndpointSummary struct {
	DataCentre string `json:"dataCentre"`
	Known      int    `json:"known"`
	// Usable endpoints may get new tasks; Idle ones of them run nothing.
	Usable int `json:"usable"`
	Idle   int `json:"idle"`
	Runs   int `json:"runs"`
	// Unlisted endpoints have left the platform's list, Unread ones have not answered this
	// owner, and Unresponsive ones no longer answer.
	Unlisted     int `json:"unlisted,omitempty"`
	Unread       int `json:"unread,omitempty"`
	Unresponsive int `json:"unresponsive,omitempty"`
	Draining     int `json:"draining,omitempty"`
	// Reserved endpoints are emptied for their maintenance, Moving ones leave their pool, and
	// Cordoned ones are to leave it once they are idle.
	Reserved int `json:"reserved,omitempty"`
	Moving   int `json:"moving,omitempty"`
	Cordoned int `json:"cordoned,omitempty"`
	// BackingOff endpoints get no new tasks for a while after failures or refusals, and Slow
	// ones are avoided.
	BackingOff int `json:"backingOff,omitempty"`
	Slow       int `json:"slow,omitempty"`
}

// maxStateOrganisations limits the organisations in a State.
const maxStateOrganisations = 20

// State returns a summary of the scheduler.
func (s *Scheduler) State(now, wall time.Time) (state State) {
	state = State{
		UnstoredJobs: len(s.dirty), PendingStops: len(s.pendingStops), SuspectTasks: len(s.suspectTasks), Counts: s.Counts,
		Organisations: s.OrganisationUses(maxStateOrganisations, wall),
	}
	pools := make(map[string]*PoolState)
	for _, e := range s.endpoints {
		pools[e.Pool] = nil
	}
	for pool := range s.activeJobs {
		pools[pool] = nil
	}
	for pool := range pools {
		pools[pool] = &PoolState{Pool: pool, DataCentres: s.summariseEndpoints(pool, now)}
	}
	for _, size := range s.poolSizes {
		if p := pools[size.Pool]; p != nil {
			p.Size = size
		}
	}
	for _, j := range s.jobs {
		if p := pools[j.Pool]; p != nil && !j.state.Terminal() {
			p.addJob(j, wall)
			s.addQueue(p, j.Queue)
		}
	}
	for _, pool := range sortedKeys(pools) {
		state.Pools = append(state.Pools, *pools[pool])
	}
	return state
}

// addJob counts an unfinished job.
func (p *PoolState) addJob(j *jobState, wall time.Time) {
	if j.inherited {
		p.Inherited++
	}
	p.WaitingTasks += j.waitingTasks(wall)
	switch {
	case j.longRunning():
		p.LongRunning++
	case j.lateness == onTime:
		p.OnTime++
	case j.lateness == late:
		p.Late++
	case j.lateness == surplus:
		p.Surplus++
	default:
		p.TooLate++
	}
}

// addQueue adds what the tasks of a queue are expected to take.
func (s *Scheduler) addQueue(p *PoolState, queue string) {
	if d := s.durationEstimates[queue]; d != nil {
		if p.Queues == nil {
			p.Queues = make(map[string]float64)
		}
		p.Queues[queue] = d.mean
	}
	if _, done := p.QueueTimes[queue]; done {
		return
	}
	if d, known := s.durations.estimator.Typical(queue); known {
		if p.QueueTimes == nil {
			p.QueueTimes = make(map[string]duration.Times)
		}
		p.QueueTimes[queue] = d.Times()
	}
}

// summariseEndpoints counts the endpoints of a pool by data centre.
func (s *Scheduler) summariseEndpoints(pool string, now time.Time) (summaries []EndpointSummary) {
	byDataCentre := make(map[string]*EndpointSummary)
	for _, e := range s.poolEndpoints(pool) {
		c := byDataCentre[e.DataCentre]
		if c == nil {
			c = &EndpointSummary{DataCentre: e.DataCentre}
			byDataCentre[e.DataCentre] = c
		}
		c.add(e, now)
	}
	for _, name := range sortedKeys(byDataCentre) {
		summaries = append(summaries, *byDataCentre[name])
	}
	return summaries
}

func (c *EndpointSummary) add(e *endpoint, now time.Time) {
	c.Known++
	c.Runs += len(e.runs) + len(e.unknownRuns)
	idle := len(e.runs)+len(e.unknownRuns) == 0
	for _, f := range []struct {
		holds bool
		count *int
	}{
		{e.usable(), &c.Usable},
		{e.usable() && idle, &c.Idle},
		{!e.listed, &c.Unlisted},
		{!e.contacted, &c.Unread},
		{e.unresponsive(), &c.Unresponsive},
		{e.Draining, &c.Draining},
		{e.reservedForMaintenance, &c.Reserved},
		{e.moving, &c.Moving},
		{e.cordoned, &c.Cordoned},
		{now.Before(e.backoffUntil), &c.BackingOff},
		{now.Before(e.slowUntil), &c.Slow},
	} {
		if f.holds {
			*f.count++
		}
	}
}
