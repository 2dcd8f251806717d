// Package worker runs tasks like an endpoint: once per id, under a lease, within
// its slots, and with a drain and a reboot.
//
// A task id may end in "@" and the number of the fence for which the task is
// meant. The fence rises with each reboot, which clears the endpoint's tasks.
// Without the number the endpoint would report a task that ran before the reboot
// as never started, or would start a task that was stopped before. The fence also
// rises with each end of a drain, so that a task that arrives late, for the pool
// that the instance has left, is refused.
package worker
