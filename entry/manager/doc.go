// Package manager runs the pools of the owner: it stores jobs, sends the scheduler's
// orders to endpoints, renews their leases and applies their reports.
package manager
