package manager

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/schedule"
)

// errOtherOrganisation means that the identifier of a submission is in use.
var errOtherOrganisation = errors.New("another organisation's job has this identifier")

// Outcome is the result of a job submission.
type Outcome int

// Outcomes of a submission.
const (
	// NotOwner means that this entry does not own the pools and has done nothing.
	NotOwner Outcome = iota
	// Accepted means that the job is stored.
	Accepted
	// Refused means that the job is not stored and will never run.
	Refused
	// Unsettled means that the job may be stored.
	Unsettled
)

// String returns the outcome as it is used in metric names.
func (o Outcome) String() string {
	names := [...]string{"notOwner", "accepted", "refused", "unsettled"}
	if o < 0 || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// creation is a new job whose submitters wait for the outcome.
type creation struct {
	// refuseAt is when a job that is certainly not stored gets the outcome Refused;
	// until is when a job that may be stored gets the outcome Unsettled.
	refuseAt, until time.Time
	// cancelled is set if the job was cancelled while its submitters wait.
	cancelled bool
	// organisation is the organisation of the job.
	organisation string
	outcome      Outcome
	// tombstone is set if the job is refused because it was cancelled before it was stored.
	tombstone bool
	done      chan struct{}
	// sent is set while a transaction may store the job, and settled once the outcome is
	// known.
	sent, settled bool
}

// errEnded means that the term is over, so that the job is not written.
var errEnded = errors.New("manager: the term has ended")

// withdraw ends a new job whose submitter no longer waits, and returns its outcome: Refused if
// no transaction of it was sent.
func (rw *recordWriter) withdraw(c *creation, id string) (outcome Outcome) {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	if !c.settled && c.sent {
		return Unsettled
	}
	rw.settle(c, id, Refused)
	return c.outcome
}

// settle sets the outcome of a new job unless it has one; rw.mu is held.
func (rw *recordWriter) settle(c *creation, id string, outcome Outcome) {
	if c.settled {
		return
	}
	delete(rw.creations, id)
	c.settled, c.outcome = true, outcome
	if outcome == Unsettled {
		rw.late.add(id, time.Now())
	}
	close(c.done)
}

// claim returns the writes of a batch without those of settled new jobs, and marks the others
// as sent.
func (rw *recordWriter) claim(batch []*recordWrite) (claimed []*recordWrite) {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	for _, w := range batch {
		if w.creation != nil {
			if w.creation.settled {
				continue
			}
			w.creation.sent = true
		}
		claimed = append(claimed, w)
	}
	return claimed
}

// recordRejection marks the new jobs of a rejected transaction as not sent, unless an earlier
// one may have stored them.
func (rw *recordWriter) recordRejection(batch []*recordWrite) {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	for _, w := range batch {
		if w.creation != nil && !w.uncertain {
			w.creation.sent = false
		}
	}
}

// create queues a new job, or returns the pending creation with the same identifier.
func (rw *recordWriter) create(r job.Record, until time.Time) (c *creation, err error) {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	if rw.ended {
		return nil, errEnded
	}
	if c, waiting := rw.creations[r.ID]; waiting {
		if !job.MayBeSameJob(c.organisation, r.Organisation) {
			return nil, errOtherOrganisation
		}
		return c, nil
	}
	value, err := r.Encode()
	if err == nil && rw.maxValueBytes > 0 && len(value) > rw.maxValueBytes {
		err = job.ErrTooLong
	}
	if err != nil {
		return nil, err
	}
	c = &creation{organisation: r.Organisation, refuseAt: time.Now().Add(refuseAfter), until: until, done: make(chan struct{})}
	rw.creations[r.ID] = c
	rw.queue = append(rw.queue, &recordWrite{Write: schedule.Write{Record: r}, value: value, creation: c})
	rw.trigger()
	return c, nil
}

// cancelCreation makes a pending creation that the caller may see add a cancelled job, and
// returns it.
func (rw *recordWriter) cancelCreation(id string, caller job.Caller) (c *creation, pending bool) {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	c, pending = rw.creations[id]
	pending = pending && caller.MaySee(c.organisation)
	if pending {
		c.cancelled = true
	}
	return c, pending
}

// isCancelled reports whether a job was cancelled before its creation had an outcome.
func (rw *recordWriter) isCancelled(c *creation) bool {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	return c.cancelled
}

// refuseCancelled sets the outcome of a new job that was cancelled before it was stored.
func (rw *recordWriter) refuseCancelled(w *recordWrite) {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	w.creation.tombstone = !w.creation.settled
	rw.settle(w.creation, w.Record.ID, Refused)
}

func (rw *recordWriter) finishCreation(w *recordWrite, outcome Outcome) {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	rw.settle(w.creation, w.Record.ID, outcome)
}

// abandonCreations ends all pending creations: those that a transaction may have stored with
// the outcome Unsettled, the others with NotOwner.
func (rw *recordWriter) abandonCreations() {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	for id, c := range rw.creations {
		outcome := NotOwner
		if c.sent {
			outcome = Unsettled
		}
		rw.settle(c, id, outcome)
	}
	rw.queue, rw.ended = nil, true
}
