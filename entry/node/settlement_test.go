package node

import (
	"testing"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/peer"
	"github.com/azurepoint/azurepoint/entry/store"
)

// Guards, over all sequences of attempts, against a refusal of a job that an attempt may have
// stored, and against an unsettled answer to a job that is certainly not stored.
func TestOutcomeOfAllSequences(t *testing.T) {
	const longest = 5
	may := map[attempt]bool{ownerUnsettled: true, noAnswer: true, storeUnanswered: true, storeFound: true}
	var try func(s settlement, stored, possible bool, length int)
	count := 0
	try = func(s settlement, stored, possible bool, length int) {
		count++
		want := manager.Refused
		switch {
		case stored:
			want = manager.Accepted
		case possible:
			want = manager.Unsettled
		}
		if got := s.outcome(); got != want {
			t.Fatalf("outcome %s, want %s: stored %v, may be stored %v", got, want, stored, possible)
		}
		if length == longest || stored {
			return
		}
		for a := range attemptCount {
			next := s
			next.add(a)
			try(next, a == ownerAccepted || a == storeCommitted, possible || may[a], length+1)
		}
	}
	try(settlement{}, false, false, 0)
	t.Logf("%d sequences", count)
}

// Guards against a call that may have stored the job being taken for one that has not: each
// result of a call is only certain if it proves that nothing was stored.
func TestAttemptsAreClassified(t *testing.T) {
	lost := errors.New("connection reset")
	for _, c := range []struct {
		reply manager.Reply
		err   error
		want  attempt
	}{
		{err: errNoOwner, want: noOwner},
		{err: errors.Wrap(peer.ErrNotSent, "refused"), want: notSent},
		{err: lost, want: noAnswer},
		{reply: manager.Reply{Outcome: manager.Accepted}, err: lost, want: noAnswer},
		{reply: manager.Reply{Outcome: manager.NotOwner}, want: notOwner},
		{reply: manager.Reply{Outcome: manager.Accepted}, want: ownerAccepted},
		{reply: manager.Reply{Outcome: manager.Refused}, want: ownerRefused},
		{reply: manager.Reply{Outcome: manager.Unsettled}, want: ownerUnsettled},
	} {
		if got := ownerAttempt(c.reply, c.err); got != c.want {
			t.Errorf("%s, %v: attempt %d, want %d", c.reply.Outcome, c.err, got, c.want)
		}
	}
	for _, c := range []struct {
		err  error
		want attempt
	}{
		{nil, storeCommitted},
		{&store.ConflictError{}, storeFound},
		{errors.Wrap(store.ErrRejected, "busy"), storeRejected},
		{errors.Wrap(store.ErrNoAnswer, "lost"), storeUnanswered},
		{lost, storeUnanswered},
	} {
		if got := storeAttempt(c.err); got != c.want {
			t.Errorf("%v: attempt %d, want %d", c.err, got, c.want)
		}
	}
}
