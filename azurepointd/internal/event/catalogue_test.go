package event

import (
	"flag"
	"testing"

	"github.com/azurepoint/azurepoint/coordination/event/catalogue"
)

var update = flag.Bool("update", false, "rewrite the table of docs/events.md from the code")

// Guards against events that docs/events.md omits or describes differently, rows
// without an event, and numbers that are used twice or lie outside the range of
// their file.
func TestCatalogue(t *testing.T) {
	catalogue.Check(t, "../../../docs/events.md", *update)
}
