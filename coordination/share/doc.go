// Package share divides the slots of one pool in a data centre among the
// requests that wait for them. It does no I/O: callers pass the current time
// and carry out the decisions.
//
// # Order of service
//
// A free slot goes to the request that is first by these rules:
//
//  1. Requests of members that use less than their guaranteed minimum.
//  2. Urgent requests, as long as the slots of urgent requests that were served
//     ahead of their fair turn are at most a quarter of the pool
//     (urgentAheadDivisor).
//  3. Weighted max-min: the group, then the member, then the urgency class that
//     has the fewest slots in use for its weight. A group is the pool that the
//     request was submitted to, so that in the spare pool the overflow of each
//     pool counts as one party.
//
// Unused shares are lent without a limit, because a slot is free again after
// one task. Long tasks are the exception: for some time after the last urgent
// request (urgentReserveTime), an eighth of the slots (longReserveDivisor) is
// kept from tasks of unknown run time and from those that are expected to run
// longer than urgent requests may wait.
//
// # Alternatives
//
// Strict priority by urgency starves all other requests during a flood of
// urgent ones. Weighted max-min alone starts urgent requests late when their
// member has a small share. Preemption by checkpoint was not chosen: a
// dispatcher issues grants and does not know the tasks that were sent under
// them, and for a checkpointed task the primary has to request a slot again.
// That costs more than the wait for the next slot while tasks take seconds.
//
// # Limits
//
// A request is refused on arrival if its estimated wait exceeds the limit of
// its urgency or the time that its deadline leaves. A queued request is refused
// later if the estimate for the last request of its class no longer meets the
// limit, and in any case when its latest start has passed. The queue is limited
// by the number of requests and their memory; when it is full, the member that
// has the most requests queued for its weight loses its newest one.
package share
