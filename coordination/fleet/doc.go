// Package fleet models the configuration of the shared fleet and applies
// changes to it; it is deterministic and does no I/O.
package fleet
