package event

import "github.com/azurepoint/azurepoint/coordination/event"

// Event is a log event; its number does not change between releases.
type Event = event.Event
