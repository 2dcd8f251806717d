// Package worker runs tasks as an endpoint does: once per id, under a lease,
// within its slots, and with a drain and a reboot.
//
// A task id may end in "@" and a number, which names the fence that the task is
// meant for. The fence rises with each reboot: an endpoint then forgets its
// tasks, and without the number it would report a task as never started that it
// ran before, or would start one that was stopped. It also rises with each end of
// a drain, so that a task sent late, for the pool that the instance has left, is
// refused.
package worker
