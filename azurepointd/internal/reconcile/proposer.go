package reconcile

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

// maxPendingProposals bounds the proposals that wait for their result.
const maxPendingProposals = 8

// minBackoff and maxBackoff bound the delay between proposals that got no answer;
// the key-value service may be down for a long time.
const (
	minBackoff = time.Second
	maxBackoff = 16 * time.Second
)

// maxRefusalBackoff bounds the delay between proposals that are refused repeatedly; the
// cause rarely disappears within seconds.
const maxRefusalBackoff = time.Minute

// historyRetention is how long the history of an unused proposal is kept. It only has
// to exceed the likely lag of the log.
const historyRetention = time.Hour

// proposer proposes changes to the log at a bounded rate.
type proposer struct {
	limit     *rate.Limiter
	results   chan proposalResult
	pending   int
	histories map[string]*proposalHistory
	// unavailableUntil delays all proposals while the key-value service does not
	// answer.
	unavailableUntil time.Time
	backoff          time.Duration
}

// proposalHistory records the earlier attempts at a proposal, so that it is not
// repeated too early.
type proposalHistory struct {
	pending bool
	// afterVersion has to be exceeded before the next attempt: a refused change would
	// be refused again in the same state, and an applied one is not in force yet.
	afterVersion int64
	// refusedVersion is the version of the last refusal. It is part of the identifier,
	// so that the next attempt is a new change and does not get the result of the
	// refused one.
	refusedVersion int64
	// consecutiveRefusals counts the refusals in a row. retryAt is when the next
	// attempt may be made.
	consecutiveRefusals int
	retryAt             time.Time
	lastUsedAt          time.Time
}

// proposal identifies a proposed step.
type proposal struct {
	// key identifies the history of the step.
	key string
	// The identifier of the change is derived from key and salt. Two entries that
	// propose a step with the same key and salt propose the same change, so that it
	// takes effect once.
	salt string
}

// proposalResult is the result of a proposal, or the error after which its result is
// unknown.
type proposalResult struct {
	key        string
	proposedAt time.Time
	result     fleet.ChangeResult
	err        error
	applied    event.Event
	fields     log.Fields
}

// proposalPerPhase identifies a step that is done once in the current phase of an
// instance.
func (u *Controller) proposalPerPhase(step string, s *instanceStatus) proposal {
	return proposal{key: fmt.Sprintf("%s/%s/%d", step, s.instance.Name, s.instance.PhaseVersion)}
}

// proposalPerIncarnation identifies a step that is done once for an incarnation of the
// endpoint in the current phase of its instance.
func (u *Controller) proposalPerIncarnation(step string, s *instanceStatus) proposal {
	return u.proposalPerPhase(fmt.Sprintf("%s/%d", step, s.endpointStatus.Incarnation), s)
}

// proposalPerVersion identifies a step that may be needed again in the same phase.
func (u *Controller) proposalPerVersion(step string, s *instanceStatus) proposal {
	return proposal{key: step + "/" + s.instance.Name, salt: strconv.FormatInt(u.fleetState.Version, 10)}
}

// proposalPerEntry identifies a step that other entries do not propose with the same
// identifier.
func (u *Controller) proposalPerEntry(step string) proposal {
	self := u.Peers.Self()
	return proposal{key: step, salt: fmt.Sprintf("%s/%d/%d", self.Name, self.Incarnation, u.fleetState.Version)}
}

// propose sends a change unless its history or the rate limit delays it; a later
// reconciliation then proposes it again if it is still needed. An entry with an
// outdated view proposes nothing: the log checks a command against the state, but not
// against the phase that the proposer has seen.
func (u *Controller) propose(ctx context.Context, p proposal, applied event.Event, fields log.Fields, commands ...fleet.Command) (sent bool) {
	q := &u.proposer
	now := time.Now()
	h := q.histories[p.key]
	if h == nil {
		h = &proposalHistory{}
		q.histories[p.key] = h
	}
	h.lastUsedAt = now
	delayed := h.pending || h.afterVersion >= u.fleetState.Version || now.Before(h.retryAt)
	if delayed || now.Before(q.unavailableUntil) || !u.viewIsCurrent() {
		return false
	}
	if q.pending >= maxPendingProposals || !q.limit.AllowN(now, 1) {
		return false
	}
	h.pending = true
	q.pending++
	c := fleet.Change{ID: changeID(p, h), Author: u.Peers.Self().Name, At: now, Commands: commands}
	timeout := u.settings.ProposeTimeout
	go func() {
		proposeCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		r := proposalResult{key: p.key, proposedAt: now, applied: applied, fields: fields}
		r.result, r.err = u.Fleet.Propose(proposeCtx, c)
		q.results <- r
	}()
	return true
}

func changeID(p proposal, h *proposalHistory) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s/%s/%d", p.key, p.salt, h.refusedVersion))
	return "upkeep-" + hex.EncodeToString(sum[:16])
}

// handleProposalResult records the result of a proposal and decides when it may be
// repeated.
func (u *Controller) handleProposalResult(r proposalResult) {
	u.mu.Lock()
	defer u.mu.Unlock()
	q := &u.proposer
	q.pending--
	h := q.histories[r.key]
	h.pending = false
	if r.err != nil {
		q.backoff = min(maxBackoff, max(minBackoff, 2*q.backoff))
		q.unavailableUntil = time.Now().Add(q.backoff)
		proposalsUnknown().Inc(1)
		event.ProposalUnknown.Log(withField(r.fields, "error", r.err.Error()))
		return
	}
	q.backoff = 0
	if r.result.Refusal != "" {
		h.recordRefusal(r.result.Index, time.Now())
		proposalsRefused().Inc(1)
		event.ProposalRefused.Log(withField(r.fields, "refusal", r.result.Refusal))
		return
	}
	h.afterVersion, h.consecutiveRefusals = r.result.Index-1, 0
	r.applied.Log(r.fields)
}

// recordRefusal delays a proposal until a later version, and for longer with each
// refusal in a row. Refusals are recorded as versions too, so several proposals that
// can never succeed would otherwise trigger each other endlessly.
func (h *proposalHistory) recordRefusal(index int64, now time.Time) {
	h.afterVersion, h.refusedVersion = index, index
	if h.consecutiveRefusals > 0 {
		h.retryAt = now.Add(min(maxRefusalBackoff, minBackoff<<min(h.consecutiveRefusals, 8)))
	}
	h.consecutiveRefusals++
}

func withField(fields log.Fields, name, value string) log.Fields {
	fields = maps.Clone(fields)
	fields[name] = value
	return fields
}

// pruneHistories deletes the histories that have not been used for historyRetention.
func (q *proposer) pruneHistories(now time.Time) {
	for key, h := range q.histories {
		if !h.pending && now.Sub(h.lastUsedAt) > historyRetention {
			delete(q.histories, key)
		}
	}
}
