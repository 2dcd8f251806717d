package event

import "github.com/azurepoint/azurepoint/coordination/event"

// Event is a kind of log entry with a number that stays the same over releases.
type Event = event.Event
