package cli

import (
	"testing"

	"github.com/azurepoint/azurepoint/api/callerapi"
	"github.com/azurepoint/azurepoint/demo/internal/caller"
	"github.com/azurepoint/azurepoint/demo/internal/endpoint"
)

// Guards against a check that accepts wrong histories: each wrong history must be
// reported, and the right one must not.
func TestCheckCatchesWrongHistories(t *testing.T) {
	start := endpoint.Event{Task: "k~1", Kind: endpoint.Started}
	done := endpoint.Event{Task: "k~1", Kind: endpoint.Ended, State: endpoint.StateDone, Answer: "p answered"}
	for name, c := range map[string]struct {
		state  callerapi.OutcomeState
		answer string
		events []endpoint.Event
		broken bool
	}{
		"right":           {callerapi.OutcomeStateDone, "p answered", []endpoint.Event{start, done}, false},
		"doubled":         {callerapi.OutcomeStateDone, "p answered", []endpoint.Event{start, start, done}, true},
		"lost":            {callerapi.OutcomeStateDone, "p answered", []endpoint.Event{start}, true},
		"wrong answer":    {callerapi.OutcomeStateDone, "q answered", []endpoint.Event{start, done}, true},
		"started, notRun": {callerapi.OutcomeStateNotRun, "", []endpoint.Event{start}, true},
	} {
		r := caller.Record{Key: "k", Payload: "p", State: c.state, Answer: c.answer}
		if _, violations := checkHistory([]caller.Record{r}, c.events); len(violations) > 0 != c.broken {
			t.Errorf("%s: %v", name, violations)
		}
	}
}
