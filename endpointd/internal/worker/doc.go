// Package worker runs tasks as an endpoint does: once per id, under a lease,
// within its slots, and with a drain and a reboot.
//
// A task id may end in "@" and a number, which names the incarnation that the
// task is meant for. An endpoint forgets its tasks and fences when it reboots,
// so that without this number a rebooted endpoint would report a task as never
// started that an earlier incarnation ran, or would start a fenced one.
package worker
