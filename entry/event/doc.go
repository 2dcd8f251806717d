// Package event is the catalogue of the log events of an entry that manages
// jobs, and the bounded writer that they go through.
package event
