package node

import (
	"testing"

	"github.com/azurepoint/azurepoint/entry/manager"
)

// Guards against a refusal for want of memory or connections of a job that an earlier attempt may have stored.
func TestRefusalBeforeReadingIsTrue(t *testing.T) {
	var n Node
	n.unsettled.correct("a", manager.Reply{Outcome: manager.Unsettled})
	n.inbox = map[string]int64{"b": 1}
	for id, want := range map[string]manager.Outcome{"a": manager.Unsettled, "b": manager.Unsettled, "c": manager.Refused} {
		if r := n.CorrectRefusal(id, manager.Reply{Outcome: manager.Refused}); r.Outcome != want {
			t.Errorf("%s: outcome %v, want %v", id, r.Outcome, want)
		}
	}
}
