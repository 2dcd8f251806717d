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
	urgencies
)

// ParseUrgency returns the urgency with that name; it fails for other names.
func ParseUrgency(name string) (u Urgency, err error) {
	for u := range urgencies {
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

// weight divides the slots of a member between its classes. Batch keeps at
// least a seventh while urgent and normal work flood.
func (u Urgency) weight() int {
	return [urgencies]int{4, 2, 1}[u]
}

// Request waits for slots on one endpoint.
type Request struct {
	ID string
	// Group is the pool that the request was submitted to; empty means the
	// pool of the queue.
	Group   string
	Member  string
	Urgency Urgency
	// Slots is how many slots the request takes on one endpoint; zero counts
	// as one.
	Slots int
	// Run is the expected run time; zero means unknown.
	Run time.Duration
	// Longest is a run time that few requests of this kind exceed; zero counts
	// as Run. The lease of a grant is derived from it.
	Longest  time.Duration
	Deadline time.Time
	// Avoid names endpoints that already refused or failed the request.
	Avoid []string
	// Arrived is set by Queue.Push.
	Arrived time.Time
}

// Grant is the permission to run one request on one endpoint.
type Grant struct {
	Request  Request
	Endpoint string
	// Until is when the task's lease ends.
	Until time.Time
	// At is when the grant was issued.
	At time.Time
	// Ahead marks urgent work that was served before its fair turn.
	Ahead bool
	// Long marks work that may hold its slots longer than urgent work may wait.
	Long bool
	// Away marks a grant on an endpoint of another pool.
	Away bool
}

// Reason tells why a request was refused.
type Reason string

// Reasons of a refusal.
const (
	// TooLarge means that no endpoint of the pool has as many slots.
	TooLarge Reason = "tooLarge"
	// NoEndpoint means that no endpoint of the pool may take the request.
	NoEndpoint Reason = "noEndpoint"
	// DeadlinePassed means that the request arrived after its deadline.
	DeadlinePassed Reason = "deadlinePassed"
	// WaitTooLong means that the estimated wait exceeds the allowed one.
	WaitTooLong Reason = "waitTooLong"
	// WaitedTooLong means that the request was queued and its latest start passed.
	WaitedTooLong Reason = "waitedTooLong"
	// QueueFull means that the queue has no room for another request.
	QueueFull Reason = "queueFull"
	// Duplicate means that a request with this ID is queued or granted.
	Duplicate Reason = "duplicate"
)

// Refusal tells that a request was not granted and why, with the figures that
// the decision was based on.
type Refusal struct {
	Request Request
	Reason  Reason
	// Estimate is the estimated wait, or the time waited for WaitedTooLong.
	Estimate time.Duration
	// Allowed is the longest wait that meets the deadline and the urgency.
	Allowed time.Duration
	// Queued is how many requests were in the queue.
	Queued int
	// Slots is how many slots the pool had in all, for TooLarge on one endpoint.
	Slots int
}

// String returns the reason with its figures.
func (r Refusal) String() string {
	switch r.Reason {
	case TooLarge:
		return fmt.Sprintf("%s: %d slots asked, the largest endpoint has %d", r.Reason, r.Request.slots(), r.Slots)
	case WaitTooLong:
		return fmt.Sprintf("%s: estimated wait %s, allowed %s, %d queued, %d slots",
			r.Reason, rounded(r.Estimate), rounded(r.Allowed), r.Queued, r.Slots)
	case WaitedTooLong:
		return fmt.Sprintf("%s: waited %s, allowed %s, %d queued, %d slots",
			r.Reason, rounded(r.Estimate), rounded(r.Allowed), r.Queued, r.Slots)
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

func (r Request) longest() time.Duration {
	return max(r.Longest, r.Run)
}

func rounded(d time.Duration) time.Duration {
	return d.Round(time.Millisecond)
}
