// Package queue holds the operators' configuration of queues and pools, and selects
// the queue of a request by its host and path.
package queue
