// Package event defines the numbered log events of the daemon; docs/events.md is
// their catalogue. Each file has a range of a thousand numbers for one part of the
// daemon.
package event
