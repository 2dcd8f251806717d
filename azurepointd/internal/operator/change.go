package operator

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/operatorapi"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
	"github.com/azurepoint/azurepoint/coordination/command"
	"github.com/azurepoint/azurepoint/coordination/fleet"
)

const (
	// proposeTimeout limits how long a call waits for the change log; it is shorter
	// than the 13 s within which an accepted change is in force everywhere.
	proposeTimeout = 10 * time.Second
	// maxSteps keeps a change with the longest possible names below 1 MB, the
	// largest value that the key-value service accepts.
	maxSteps = 4000
	// firstIndex is the index of the first change in the change log.
	firstIndex = 1
	// defaultAuthor is recorded for changes that name no author.
	defaultAuthor = "operator"
)

// runCommands submits the commands as one change and returns its result.
func (h handler) runCommands(
	ctx context.Context, r *operatorapi.Statements, text command.ParsedText,
) (reply *operatorapi.Reply, err error) {
	c, err := newChange(r, text)
	if err != nil {
		return nil, newStatusError(http.StatusBadRequest, err.Error())
	}
	result := h.proposeOrDryRun(ctx, c, r.DryRun.Value)
	return &operatorapi.Reply{
		Version: h.Fleet.State().Version,
		Change:  operatorapi.NewOptChangeFate(result),
	}, nil
}

// proposeOrDryRun returns the recorded result if the ID of the change is already
// known. Otherwise it proposes the change, or for a dry run only applies it to a
// copy of the version in force at this entry.
func (h handler) proposeOrDryRun(ctx context.Context, c fleet.Change, dryRun bool) (result operatorapi.ChangeFate) {
	s := h.Fleet.State()
	if f, known := s.ResultOf(c.ID); known {
		return newChangeResult(f)
	}
	if dryRun {
		return dryRunResult(s, c)
	}
	result = h.propose(ctx, c)
	h.recordResult(c, result)
	return result
}

// newChange builds a change from the commands and validates its ID, size and
// steps.
func newChange(r *operatorapi.Statements, text command.ParsedText) (c fleet.Change, err error) {
	c = fleet.Change{
		ID:       r.ID.Or(strings.ToLower(rand.Text())),
		Author:   r.Author.Or(defaultAuthor),
		At:       utcNow(),
		Commands: text.Steps(),
	}
	if !command.ValidChangeID(c.ID) {
		return c, errors.Errorf("id %q is not 1 to 64 printable ASCII characters without spaces and double quotes", c.ID)
	}
	if len(c.Commands) > maxSteps {
		return c, errors.Errorf("the change has %d steps, more than the maximum of %d", len(c.Commands), maxSteps)
	}
	return c, c.Check()
}

// propose writes the change to the change log and waits for its result. If the log
// returns an error, the result is looked up in the version in force at this entry.
func (h handler) propose(ctx context.Context, c fleet.Change) operatorapi.ChangeFate {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var logged fleet.ChangeResult
	var err error
	h.apiMetrics.propose.Time(func() { logged, err = h.Fleet.Propose(ctx, c) })
	if err == nil {
		return newChangeResult(logged)
	}
	found := h.lookUpChange(h.Fleet.State(), c.ID)
	if found.State == operatorapi.ChangeStateUnknown {
		found.Reason.SetTo(fmt.Sprintf("%v; %s; ask for the change, or send it again, with this id", err, found.Reason.Value))
	}
	return found
}

// recordResult counts and logs the result of a change.
func (h handler) recordResult(c fleet.Change, f operatorapi.ChangeFate) {
	fields := log.Fields{
		"change": c.ID, "author": c.Author, "steps": len(c.Commands), "index": f.Index.Value, "reason": f.Reason.Value,
	}
	switch f.State {
	case operatorapi.ChangeStateApplied:
		h.apiMetrics.applied.Inc(1)
		event.ChangeApplied.Log(fields)
	case operatorapi.ChangeStateRefused:
		h.apiMetrics.refused.Inc(1)
		event.ChangeRefused.Log(fields)
	default:
		h.apiMetrics.unknown.Inc(1)
		event.ChangeUnknown.Log(fields)
	}
}

func refusedResult(id, reason string) operatorapi.ChangeFate {
	return operatorapi.ChangeFate{
		ID:     id,
		State:  operatorapi.ChangeStateRefused,
		Reason: operatorapi.NewOptString(reason),
	}
}

// dryRunResult returns the result that the change would have if it were the next
// one applied to the state.
func dryRunResult(s *fleet.State, c fleet.Change) operatorapi.ChangeFate {
	next, err := fleet.Apply(*s, c)
	if err != nil {
		return refusedResult(c.ID, err.Error())
	}
	if f, _ := next.ResultOf(c.ID); f.Refusal != "" {
		return refusedResult(c.ID, f.Refusal)
	}
	return operatorapi.ChangeFate{ID: c.ID, State: operatorapi.ChangeStateWouldApply}
}

// newChangeResult converts a stored result to its API representation.
func newChangeResult(f fleet.ChangeResult) operatorapi.ChangeFate {
	result := operatorapi.ChangeFate{ID: f.ID, State: operatorapi.ChangeStateApplied}
	if f.Refusal != "" {
		result = refusedResult(f.ID, f.Refusal)
	}
	result.Index.SetTo(f.Index)
	return result
}

// lookUpChange returns the result of a change, or the state unknown if the result
// is not kept at this entry; the reason then states whether the change log may
// contain the change nevertheless.
func (h handler) lookUpChange(s *fleet.State, id string) operatorapi.ChangeFate {
	if f, known := s.ResultOf(id); known {
		return newChangeResult(f)
	}
	reason := fmt.Sprintf("ruled out up to version %d at entry %s; a later version may have it", s.Version, h.Peers.Self().Name)
	if !s.HasResultsSince(firstIndex) {
		reason = fmt.Sprintf("cannot be ruled out at entry %s, which keeps the fates from index %d to version %d only",
			h.Peers.Self().Name, s.Results[0].Index, s.Version)
	}
	return operatorapi.ChangeFate{
		ID:     id,
		State:  operatorapi.ChangeStateUnknown,
		Reason: operatorapi.NewOptString(reason),
	}
}
