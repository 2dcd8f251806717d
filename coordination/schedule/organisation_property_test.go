package schedule

import (
	"testing"

	"pgregory.net/rapid"
)

// No sequence of reports, orders, lost answers, lost endpoints, owners and configurations
// brings what counts against a limit below what runs, and no start exceeds a limit by more
// than a tenth and one task.
func TestOrganisationUseProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t, 4)
		t.Repeat(m.actions())
	})
}
