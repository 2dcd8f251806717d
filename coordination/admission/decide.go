package admission

import "time"

// overtakenPart is the most of the capacity that jobs which have not arrived yet are expected
// to take before a late job: they go first, but nobody knows for how long they come.
const overtakenPart = 0.5

// Outlook is what a job at the door can expect.
type Outlook int

// Outlooks of a job.
const (
	// OnTime means that the job can meet its objective.
	OnTime Outlook = iota
	// Late means that the job cannot, but can still be of use.
	Late
	// TooLate means neither.
	TooLate
)

// Reason is what a job would wait for too long.
type Reason string

// Reasons of refusals.
const (
	// Room means the endpoints of the pool.
	Room Reason = "room"
	// Limit means the limit of the organisation.
	Limit Reason = "limit"
	// Orders means the owner, which cannot send more starts.
	Orders Reason = "orders"
	// Time means that the job has spent its time on earlier refusals.
	Time Reason = "time"
	// Rate means a job beyond the rate of its organisation, for which there is no room
	// beside the others' work.
	Rate Reason = "rate"
	// Count means that there are too many jobs, whatever they need.
	Count Reason = "count"
)

// Request is a job at the door.
type Request struct {
	// Rank is the rank of the job if it is accepted.
	Rank Rank
	Work Amount
	// Run is how long the job takes if it never waits.
	Run time.Duration
	// OnTimeBy is when the job meets its objective, and UsefulUntil is when it is late but
	// still of use; zero for a job without an objective, which is always accepted.
	OnTimeBy, UsefulUntil time.Time
	// Surplus is set for a job beyond the rate of its organisation.
	Surplus bool
}

// Queue is a backlog that the job has to pass, and the reason to give if it is too long.
type Queue struct {
	*Backlog
	Reason Reason
}

// Decision is the answer to a request.
type Decision struct {
	Outlook Outlook
	Refused bool
	Reason  Reason
	// Estimate is when the job would end by the backlogs alone, and EndsAt by the error of
	// the last estimates too. Limit is the time after which it is refused.
	Estimate, EndsAt, Limit time.Time
	// RoomAt is when a refused job could be accepted.
	RoomAt time.Time
}

// Decide decides on a job that has to pass all the queues. A job within its organisation's
// rate is refused only if it would be of no use, and a surplus job if it could not be on time
// beside the work that is expected within the rates. Both are refused only if that holds even
// for an estimate that is too high by as much as the last ones were wrong.
func Decide(r Request, queues []Queue, c *Calibration, now time.Time) (d Decision) {
	if r.OnTimeBy.IsZero() {
		return Decision{Estimate: now, EndsAt: now, Limit: now}
	}
	if r.Surplus {
		ends, slowest := r.endsAt(queues, r.Rank, now)
		d = Decision{Estimate: ends, EndsAt: c.typical(now, ends), Limit: r.OnTimeBy}
		d.refuseAfterLimit(c.earliest(now, ends), slowest, now)
		if d.Refused && d.Reason == Room {
			d.Reason = Rate
		}
		return d
	}
	ends, _ := r.endsAt(queues, r.Rank, now)
	if d = (Decision{Estimate: ends, EndsAt: c.typical(now, ends), Limit: r.UsefulUntil}); !d.EndsAt.After(r.OnTimeBy) {
		return d
	}
	late := r.Rank
	late.Class = max(late.Class, ClassLate)
	ends, slowest := r.endsAt(queues, late, now)
	d = Decision{Outlook: Late, Estimate: ends, EndsAt: c.typical(now, ends), Limit: r.UsefulUntil}
	d.refuseAfterLimit(c.earliest(now, ends), slowest, now)
	return d
}

// refuseAfterLimit refuses a job that would end after the limit.
func (d *Decision) refuseAfterLimit(ends time.Time, slowest Reason, now time.Time) {
	if !ends.After(d.Limit) {
		return
	}
	d.Outlook, d.Refused, d.Reason = TooLate, true, slowest
	// The work ahead becomes less by what is done until then.
	d.RoomAt = now.Add(ends.Sub(d.Limit))
}

// endsAt returns when the job would end with a rank, and the reason of the slowest queue.
func (r Request) endsAt(queues []Queue, rank Rank, now time.Time) (ends time.Time, slowest Reason) {
	ends, slowest = now.Add(r.Run), Time
	for _, q := range queues {
		reserved := Amount{}
		switch {
		case r.Surplus:
			reserved = q.Reserved
		case rank.Class != ClassOnTime && len(q.Supplies) > 0:
			reserved = Amount{CPU: min(q.Reserved.CPU, overtakenPart*q.Supplies[0].Rate.CPU)}
		}
		ahead := q.Ahead(rank)
		if ahead == (Amount{}) && q.Reason != Limit {
			// The job is next, however little room there is.
			continue
		}
		done := latest(q.DoneAt(ahead.Plus(r.Work), reserved, now), q.DoneAt(ahead, reserved, now).Add(r.Run))
		if done.After(ends) {
			ends, slowest = done, q.Reason
		}
	}
	return ends, slowest
}
