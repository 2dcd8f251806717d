// Package endpoint is the client of the endpoint API. It converts every response,
// refusal, broken connection and timeout into a Result, which only states what is
// certain about the task, and repeats the call while nothing is certain.
//
// A task id ends in "@" and the endpoint's fence, which increases with each reboot
// and each end of a drain. An endpoint loses its record of tasks when it reboots.
// The fence makes it refuse a task that was sent for an earlier incarnation, and
// prevents it from reporting such a task as never started.
package endpoint
