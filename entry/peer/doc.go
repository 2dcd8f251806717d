// Package peer forwards job submissions, queries and cancellations from the entry
// that received them to the entry that owns the pools.
package peer
