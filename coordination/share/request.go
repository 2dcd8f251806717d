package share

import (
	"fmt"
	"time"
)

// Urgency is how soon a request has to start.
type Urgency int

// Urgencies, most urgent first.
const (
	Urgent Urgency = iota
	Normal
	Batch
	urgencyCount
)

// ParseUrgency returns the urgency with that name; it fails for other names.
func ParseUrgency(name string) (u Urgency, err error) {
	for u := range urgencyCount {
		if u.String() == name {
			return u, nil
		}
	}
	return Batch, fmt.Errorf("share: urgency %q is none of urgent, normal, batch", name)
}

// String returns the name that the protocols use.
func (u Urgency) String() string {
	switch u {
	case Urgent:
		return "urgent"
	case Normal:
		return "normal"
	default:
		return "batch"
	}
}

// weight determines how the slots of a member are divided among its classes.
// Batch requests keep at least a seventh during a flood of urgent and normal
// ones.
func (u Urgency) weight() int {
	return [urgencyCount]int{4, 2, 1}[u]
}

// Request asks for slots on one endpoint.
type Request struct {
	ID string
	// Group is the pool that the request was submitted to; empty means the pool
	// of the queue.
	Group   string
	Member  string
	Urgency Urgency
	// Slots is how many slots the request takes on one endpoint; zero counts
	// as one.
	Slots int
	// Run is the expected run time; zero means unknown.
	Run time.Duration
	// LongestRun is a run time that few requests of this kind exceed; zero counts
	// as Run. The lease of a grant is derived from it.
	LongestRun time.Duration
	Deadline   time.Time
	// Avoid names endpoints on which the request was refused or failed before.
	Avoid []string
	// Arrived is set by Queue.Push.
	Arrived time.Time
}

// Grant permits one request to run on one endpoint.
type Grant struct {
	Request  Request
	Endpoint string
	// Until is the end of the task's lease.
	Until time.Time
	// At is when the grant was issued.
	At time.Time
	// Ahead marks an urgent request that was served before its fair turn.
	Ahead bool
	// Long marks a task that may hold its slots longer than an urgent request
	// may wait.
	Long bool
	// Outside marks a grant on an endpoint of another pool.
	Outside bool
}

// Reason is the cause of a refusal.
type Reason string

// Reasons of a refusal.
const (
	// TooLarge means that no endpoint of the pool has that many slots.
	TooLarge Reason = "tooLarge"
	// NoEndpoint means that no open endpoint of the pool can take the request.
	NoEndpoint Reason = "noEndpoint"
	// DeadlinePassed means that the request arrived after its deadline.
	DeadlinePassed Reason = "deadlinePassed"
	// WaitTooLong means that the estimated wait exceeds the allowed one.
	WaitTooLong Reason = "waitTooLong"
	// WaitedTooLong means that the latest start of the request passed while it
	// was queued.
	WaitedTooLong Reason = "waitedTooLong"
	// QueueFull means that the limits of the queue leave no room for another
	// request.
	QueueFull Reason = "queueFull"
	// Duplicate means that a request with this ID is queued or granted.
	Duplicate Reason = "duplicate"
)

// Refusal reports why a request was not granted, with the figures that the
// decision was based on.
type Refusal struct {
	Request Request
	Reason  Reason
	// Estimate is the estimated wait; for WaitedTooLong, it is the actual one.
	Estimate time.Duration
	// Allowed is the longest wait that meets the deadline and the urgency.
	Allowed time.Duration
	// Queued is the number of requests in the queue.
	Queued int
	// Slots is the capacity of the pool in slots; for TooLarge, it is that of
	// the largest endpoint.
	Slots int
}

// String returns the reason with its figures.
func (r Refusal) String() string {
	switch r.Reason {
	case TooLarge:
		return fmt.Sprintf("%s: %d slots asked, the largest endpoint has %d", r.Reason, r.Request.slots(), r.Slots)
	case WaitTooLong:
		return fmt.Sprintf("%s: estimated wait %s, allowed %s, %d queued, %d slots",
			r.Reason, roundToMillis(r.Estimate), roundToMillis(r.Allowed), r.Queued, r.Slots)
	case WaitedTooLong:
		return fmt.Sprintf("%s: waited %s, allowed %s, %d queued, %d slots",
			r.Reason, roundToMillis(r.Estimate), roundToMillis(r.Allowed), r.Queued, r.Slots)
	case QueueFull:
		return fmt.Sprintf("%s: %d queued", r.Reason, r.Queued)
	case NoEndpoint:
		return fmt.Sprintf("%s: %d slots open, %d endpoints to avoid", r.Reason, r.Slots, len(r.Request.Avoid))
	default:
		return string(r.Reason)
	}
}

func (r Request) slots() int {
	return max(r.Slots, 1)
}

func (r Request) longestRun() time.Duration {
	return max(r.LongestRun, r.Run)
}

func roundToMillis(d time.Duration) time.Duration {
	return d.Round(time.Millisecond)
}
