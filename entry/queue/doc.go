// Package queue holds the operators' configuration of queues and pools, and finds
// the queue of a caller's request.
package queue
