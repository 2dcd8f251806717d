// Package retry bounds retries to a fraction of the first attempts, so that
// retries cannot multiply the load of an overloaded fleet.
package retry
