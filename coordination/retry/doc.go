// Package retry limits retries to a fraction of the first attempts, so that
// they cannot multiply the load of an overloaded fleet.
package retry
