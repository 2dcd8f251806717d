// Package event numbers the log events of the daemon; docs/events.md is their
// catalogue. Each range of a thousand numbers belongs to one duty.
package event
