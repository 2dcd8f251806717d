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
	// proposeTimeout bounds the wait for the log; it is below the 13 s in which
	// an accepted change is in force everywhere.
	proposeTimeout = 10 * time.Second
	// maxSteps keeps a change with the longest names below the 1 MB that the
	// key-value service takes as a value.
	maxSteps = 4000
	// firstIndex is the index of the first change in the log.
	firstIndex = 1
	// defaultAuthor is the author of a change that names none.
	defaultAuthor = "operator"
)

// change answers with the fate of the commands as one change.
func (h handler) change(
	ctx context.Context, r *operatorapi.Statements, text command.Text,
) (reply *operatorapi.Reply, err error) {
	c, err := newChange(r, text)
	if err != nil {
		return nil, failure(http.StatusBadRequest, err.Error())
	}
	fate := h.decide(ctx, c, r.DryRun.Value)
	return &operatorapi.Reply{
		Version: h.Fleet.State().Version,
		Change:  operatorapi.NewOptChangeFate(fate),
	}, nil
}

// decide proposes a change that is not known yet; a dry run only applies it to
// the version in force here.
func (h handler) decide(ctx context.Context, c fleet.Change, dryRun bool) (fate operatorapi.ChangeFate) {
	s := h.Fleet.State()
	if f, known := s.FateOf(c.ID); known {
		return answerFate(f)
	}
	if dryRun {
		return wouldBe(s, c)
	}
	fate = h.propose(ctx, c)
	h.record(c, fate)
	return fate
}

// newChange returns the commands as a change that the log takes.
func newChange(r *operatorapi.Statements, text command.Text) (c fleet.Change, err error) {
	c = fleet.Change{
		ID:       r.ID.Or(strings.ToLower(rand.Text())),
		Author:   r.Author.Or(defaultAuthor),
		At:       now(),
		Commands: text.Steps(),
	}
	if !command.ValidChangeID(c.ID) {
		return c, errors.Errorf("id %q is not 1 to 64 printable ASCII characters without spaces and double quotes", c.ID)
	}
	if len(c.Commands) > maxSteps {
		return c, errors.Errorf("the change has %d steps, the most is %d", len(c.Commands), maxSteps)
	}
	return c, c.Check()
}

// propose waits for the log; if the log does not say what became of the change,
// the answer is what the version in force here has.
func (h handler) propose(ctx context.Context, c fleet.Change) operatorapi.ChangeFate {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var fate fleet.Fate
	var err error
	h.counts.propose.Time(func() { fate, err = h.Fleet.Propose(ctx, c) })
	if err == nil {
		return answerFate(fate)
	}
	answer := h.fateOf(h.Fleet.State(), c.ID)
	if answer.State == operatorapi.ChangeStateUnknown {
		answer.Reason.SetTo(fmt.Sprintf("%v; %s; ask for the change, or send it again, with this id", err, answer.Reason.Value))
	}
	return answer
}

// record counts and logs what became of a change.
func (h handler) record(c fleet.Change, f operatorapi.ChangeFate) {
	fields := log.Fields{
		"change": c.ID, "author": c.Author, "steps": len(c.Commands), "index": f.Index.Value, "reason": f.Reason.Value,
	}
	switch f.State {
	case operatorapi.ChangeStateApplied:
		h.counts.applied.Inc(1)
		event.ChangeApplied.Log(fields)
	case operatorapi.ChangeStateRefused:
		h.counts.refused.Inc(1)
		event.ChangeRefused.Log(fields)
	default:
		h.counts.unknown.Inc(1)
		event.ChangeUnknown.Log(fields)
	}
}

func refused(id, reason string) operatorapi.ChangeFate {
	return operatorapi.ChangeFate{
		ID:     id,
		State:  operatorapi.ChangeStateRefused,
		Reason: operatorapi.NewOptString(reason),
	}
}

// wouldBe is the fate that a change would have as the next one after the state.
func wouldBe(s *fleet.State, c fleet.Change) operatorapi.ChangeFate {
	next, err := fleet.Apply(*s, c)
	if err != nil {
		return refused(c.ID, err.Error())
	}
	if f, _ := next.FateOf(c.ID); f.Refusal != "" {
		return refused(c.ID, f.Refusal)
	}
	return operatorapi.ChangeFate{ID: c.ID, State: operatorapi.ChangeStateWouldApply}
}

func answerFate(f fleet.Fate) operatorapi.ChangeFate {
	answer := operatorapi.ChangeFate{ID: f.ID, State: operatorapi.ChangeStateApplied}
	if f.Refusal != "" {
		answer = refused(f.ID, f.Refusal)
	}
	answer.Index.SetTo(f.Index)
	return answer
}

// fateOf is unknown for a change whose fate is not kept here; the reason says
// whether the log may have the change all the same.
func (h handler) fateOf(s *fleet.State, id string) operatorapi.ChangeFate {
	if f, known := s.FateOf(id); known {
		return answerFate(f)
	}
	reason := fmt.Sprintf("ruled out up to version %d at entry %s; a later version may have it", s.Version, h.Peers.Self().Name)
	if !s.Recalls(firstIndex) {
		reason = fmt.Sprintf("cannot be ruled out at entry %s, which keeps the fates from index %d to version %d only",
			h.Peers.Self().Name, s.Fates[0].Index, s.Version)
	}
	return operatorapi.ChangeFate{
		ID:     id,
		State:  operatorapi.ChangeStateUnknown,
		Reason: operatorapi.NewOptString(reason),
	}
}
