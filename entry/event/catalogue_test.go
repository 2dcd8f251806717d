package event

import (
	"flag"
	"testing"

	"github.com/azurepoint/azurepoint/coordination/event/catalogue"
)

var update = flag.Bool("update", false, "rewrite the table of the page from the code")

// Fails if docs/events-entry.md misses an event, lists one that does not exist or
// describes one differently, if two events share a number, or if a file mixes number
// ranges.
func TestCatalogue(t *testing.T) {
	catalogue.Check(t, "../../docs/events-entry.md", *update)
}
