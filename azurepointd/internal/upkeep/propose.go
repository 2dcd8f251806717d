package upkeep

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"strconv"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/fleet"
)

// maxProposals bounds the proposals that wait for their fate.
const maxProposals = 8

// firstBackoff and lastBackoff bound the time between proposals that got no
// answer; the service may be down for long.
const (
	firstBackoff = time.Second
	lastBackoff  = 16 * time.Second
)

// lastRefusalBackoff bounds the time between proposals that are refused again
// and again; their cause is seldom gone within seconds.
const lastRefusalBackoff = time.Minute

// holdsKept is for how long the last fate of a proposal is remembered; it only
// has to be longer than the log is likely to lag.
const holdsKept = time.Hour

// proposer sends changes to the log, at a bounded rate.
type proposer struct {
	limit   *rate.Limiter
	fates   chan fate
	running int
	holds   map[string]*hold
	// downUntil holds back new grants while the service gives no answers.
	downUntil time.Time
	backoff   time.Duration
}

// hold keeps a proposal from being repeated too early.
type hold struct {
	waiting bool
	// version is the one that has to be exceeded first: a refused change is
	// refused again in the same state, and an applied one is not yet in force.
	version int64
	// refused is the version of the last refusal; it makes a new change of what
	// would otherwise have the fate of the first.
	refused int64
	// refusals counts the refusals in a row, and again is when the next
	// proposal may be made.
	refusals int
	again    time.Time
	usedAt   time.Time
}

// proposal names what is proposed.
type proposal struct {
	// key is what is held back after a refusal.
	key string
	// salt makes the identifier of the change with the key. Two entries that
	// propose a step with the same salt propose the same change, so that it
	// takes effect once.
	salt string
}

// fate is the end of a proposal.
type fate struct {
	key    string
	begun  time.Time
	fate   fleet.Fate
	err    error
	done   event.Event
	fields log.Fields
}

// once is a step that is done once in the present phase of an instance.
func (u *Upkeep) once(what string, s *sight) proposal {
	return proposal{key: fmt.Sprintf("%s/%s/%d", what, s.instance.Name, s.instance.Since)}
}

// now is a step that may be needed again in the same phase.
func (u *Upkeep) now(what string, s *sight) proposal {
	return proposal{key: what + "/" + s.instance.Name, salt: strconv.FormatInt(u.state.Version, 10)}
}

// mine is a step that only this entry proposes in this way.
func (u *Upkeep) mine(what string) proposal {
	self := u.Peers.Self()
	return proposal{key: what, salt: fmt.Sprintf("%s/%d/%d", self.Name, self.Incarnation, u.state.Version)}
}

// propose sends a change unless it is held back or the rate is used up; then a
// later look proposes it again if it still is needed. An entry with an old view
// proposes nothing: the log checks a command against the state, but not against
// the phase that its proposer has seen.
func (u *Upkeep) propose(ctx context.Context, p proposal, done event.Event, fields log.Fields, commands ...fleet.Command) (sent bool) {
	q := &u.proposer
	now := time.Now()
	h := q.holds[p.key]
	if h == nil {
		h = &hold{}
		q.holds[p.key] = h
	}
	h.usedAt = now
	held := h.waiting || h.version >= u.state.Version || now.Before(h.again)
	if held || now.Before(q.downUntil) || !u.current() {
		return false
	}
	if q.running >= maxProposals || !q.limit.AllowN(now, 1) {
		return false
	}
	h.waiting = true
	q.running++
	c := fleet.Change{ID: identifier(p, h), Author: u.Peers.Self().Name, At: now, Commands: commands}
	timeout := u.settings.ProposeTimeout
	go func() {
		pc, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		f := fate{key: p.key, begun: now, done: done, fields: fields}
		f.fate, f.err = u.Fleet.Propose(pc, c)
		q.fates <- f
	}()
	return true
}

func identifier(p proposal, h *hold) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s/%s/%d", p.key, p.salt, h.refused))
	return "upkeep-" + hex.EncodeToString(sum[:16])
}

// decided takes in the fate of a proposal.
func (u *Upkeep) decided(f fate) {
	u.mu.Lock()
	defer u.mu.Unlock()
	q := &u.proposer
	q.running--
	h := q.holds[f.key]
	h.waiting = false
	if f.err != nil {
		q.backoff = min(lastBackoff, max(firstBackoff, 2*q.backoff))
		q.downUntil = time.Now().Add(q.backoff)
		unknowns().Inc(1)
		event.ProposalUnknown.Log(with(f.fields, "error", f.err.Error()))
		return
	}
	q.backoff = 0
	if f.fate.Refusal != "" {
		h.refuse(f.fate.Index, time.Now())
		refusals().Inc(1)
		event.ProposalRefused.Log(with(f.fields, "refusal", f.fate.Refusal))
		return
	}
	h.version, h.refusals = f.fate.Index-1, 0
	f.done.Log(f.fields)
}

// refuse holds a proposal back until a later version, and for longer with each
// refusal in a row: the records of refusals are versions too, so that several
// proposals that can never succeed would follow each other without end.
func (h *hold) refuse(index int64, now time.Time) {
	h.version, h.refused = index, index
	if h.refusals > 0 {
		h.again = now.Add(min(lastRefusalBackoff, firstBackoff<<min(h.refusals, 8)))
	}
	h.refusals++
}

func with(fields log.Fields, name, value string) log.Fields {
	fields = maps.Clone(fields)
	fields[name] = value
	return fields
}

// forget drops what was not proposed for long.
func (q *proposer) forget(now time.Time) {
	for key, h := range q.holds {
		if !h.waiting && now.Sub(h.usedAt) > holdsKept {
			delete(q.holds, key)
		}
	}
}
