// Package manager runs the pools of an owner: it stores jobs, sends the
// scheduler's orders to endpoints, renews their leases and applies what they
// report.
package manager
