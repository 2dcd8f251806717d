package event

import (
	"flag"
	"testing"

	"github.com/azurepoint/azurepoint/coordination/event/catalogue"
)

var update = flag.Bool("update", false, "rewrite the table of the page from the code")

// Guards against events that the catalogue leaves out or tells otherwise, rows
// without an event, and numbers that stand for two events or are in the file of
// another duty.
func TestCatalogue(t *testing.T) {
	catalogue.Check(t, "../../docs/events-entry.md", *update)
}
