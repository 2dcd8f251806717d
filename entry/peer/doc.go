// Package peer carries submissions and questions about jobs from the entry that
// a caller has reached to the entry that owns the pools.
package peer
