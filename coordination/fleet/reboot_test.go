package fleet

import (
	"strings"
	"testing"
)

// Guards against budget that is freed while an instance reboots: if an operator
// could cancel the drain, a second instance could be drained at the same time.
func TestDrainCannotBeCancelledOnceTheRebootBegan(t *testing.T) {
	s := mustApply(t, baseState(t), grantDrain("w2", "spring"))
	cancel := Command{CancelDrain: &CancelDrain{Instance: "w2"}}
	if next := mustApply(t, s, cancel); next.Instances["w2"].Phase != Serving {
		t.Errorf("drain whose reboot had not begun was not cancelled: %+v", next.Instances["w2"])
	}
	s = mustApply(t, s, Command{StartReboot: &StartReboot{Instance: "w2"}})
	next, err := Apply(s, Change{ID: "cancel", Commands: []Command{cancel}})
	if err != nil {
		t.Fatal(err)
	}
	result, _ := next.ResultOf("cancel")
	if !strings.Contains(result.Refusal, "begun to reboot") || next.Instances["w2"].Phase != Draining {
		t.Errorf("refusal %q, instance %+v", result.Refusal, next.Instances["w2"])
	}
	next = mustApply(t, next, Command{FinishDrain: &FinishDrain{Instance: "w2"}})
	if i := next.Instances["w2"]; i.Rebooting || i.Phase != Serving {
		t.Errorf("instance after its reboot is %+v", i)
	}
}
