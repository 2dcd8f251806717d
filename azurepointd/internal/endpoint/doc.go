// Package endpoint is the client of endpoints. It turns every answer, refusal,
// broken connection and silence of an endpoint into what is certain about the
// task, and asks again while that is open.
//
// A task id ends in "@" and the endpoint's fence, which rises with each reboot and
// each end of a drain. An endpoint forgets its tasks when it reboots; the number
// makes it refuse a task that was meant for the time before, and keeps it from
// reporting one as never started.
package endpoint
