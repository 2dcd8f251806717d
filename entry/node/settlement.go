package node

import (
	"strings"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/peer"
	"github.com/azurepoint/azurepoint/entry/store"
)

// attempt is what one attempt to store a job has shown.
type attempt int

const (
	// noOwner: no call was made, as no owner is known or it may not be called now.
	noOwner attempt = iota
	// notSent: no connection was established before the call ended.
	notSent
	// notOwner, ownerRefused, ownerUnsettled and ownerAccepted are answers of an owner.
	notOwner
	ownerRefused
	ownerUnsettled
	ownerAccepted
	// noAnswer: the call may have reached the owner.
	noAnswer
	// storeRejected, storeUnanswered, storeFound and storeCommitted are results of a write to
	// the store; storeFound means that a record of the job is there.
	storeRejected
	storeUnanswered
	storeFound
	storeCommitted

	attemptCount
)

// settlement is what the attempts to store one job have shown so far. The zero value is a job
// that is certainly not stored.
type settlement struct {
	// mayBeStored is set by each attempt that may have stored the job, now or later.
	mayBeStored bool
	accepted    bool
	// possible are the attempts, as bits, that may have stored it.
	possible uint
}

// add adds an attempt.
func (s *settlement) add(a attempt) {
	switch a {
	case ownerAccepted, storeCommitted:
		s.accepted = true
	case ownerUnsettled, noAnswer, storeUnanswered, storeFound:
		s.mayBeStored = true
		s.possible |= 1 << a
	case noOwner, notSent, notOwner, ownerRefused, storeRejected, attemptCount:
	}
}

// String names the attempts that may have stored the job.
func (s *settlement) String() string {
	var names []string
	for _, p := range []struct {
		attempt attempt
		name    string
	}{{ownerUnsettled, "an unsettled answer of the owner"}, {noAnswer, "no answer of the owner"}, {storeUnanswered, "no answer of the store"}, {storeFound, "a record that was found"}} {
		if s.possible&(1<<p.attempt) != 0 {
			names = append(names, p.name)
		}
	}
	return strings.Join(names, ", ")
}

// outcome returns the answer for the caller.
func (s *settlement) outcome() manager.Outcome {
	switch {
	case s.accepted:
		return manager.Accepted
	case s.mayBeStored:
		return manager.Unsettled
	default:
		return manager.Refused
	}
}

// CorrectRefusal returns the reply to a submission that is refused before it is read: one with the outcome Unsettled if
// an earlier attempt may have stored the job.
func (n *Node) CorrectRefusal(id string, r manager.Reply) manager.Reply {
	return n.correctOutcome(id, r)
}

// correctOutcome returns the reply with the outcome Unsettled in place of a refusal, if another attempt may
// have stored the job or its mark shows that one has.
func (n *Node) correctOutcome(id string, r manager.Reply) manager.Reply {
	r = n.unsettled.correct(id, r)
	if r.Outcome == manager.Accepted || r.Outcome == manager.Unsettled {
		return r
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, stored := n.inbox[id]; stored {
		r.Outcome, r.Reason = manager.Unsettled, "another entry has stored the job"
	}
	return r
}

// ownerAttempt returns what a call of the owner has shown.
func ownerAttempt(r manager.Reply, err error) attempt {
	switch {
	case errors.Is(err, errNoOwner):
		return noOwner
	case errors.Is(err, peer.ErrNotSent):
		return notSent
	case err != nil:
		return noAnswer
	case r.Outcome == manager.Accepted:
		return ownerAccepted
	case r.Outcome == manager.Refused:
		return ownerRefused
	case r.Outcome == manager.Unsettled:
		return ownerUnsettled
	default:
		return notOwner
	}
}

// storeAttempt returns what a write to the store has shown.
func storeAttempt(err error) attempt {
	var conflict *store.ConflictError
	switch {
	case err == nil:
		return storeCommitted
	case errors.As(err, &conflict):
		return storeFound
	case errors.Is(err, store.ErrRejected), errors.Is(err, store.ErrInvalid):
		return storeRejected
	default:
		return storeUnanswered
	}
}
