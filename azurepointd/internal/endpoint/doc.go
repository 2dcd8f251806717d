// Package endpoint is the client of endpoints. It turns every answer, refusal,
// broken connection and silence of an endpoint into what is certain about the
// task, and asks again while that is open.
//
// A task id ends in "@" and the endpoint's incarnation. An endpoint forgets its
// tasks and fences when it restarts; the number makes it refuse a task that was
// meant for an earlier incarnation, and keeps it from reporting one as never
// started.
package endpoint
