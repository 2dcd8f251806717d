// Package event defines the numbered log events of an entry that manages jobs, and
// the non-blocking writer that outputs them.
package event
