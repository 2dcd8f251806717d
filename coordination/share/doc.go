// Package share divides the slots of one pool in a data centre among the
// requests that wait for them. It does no I/O: callers pass the current time
// and carry out the decisions.
//
// # Order of service
//
// A free slot goes to the request that is first by these rules.
//
//  1. Members that use less than their guaranteed minimum.
//  2. Urgent work, as long as the slots that urgent work took ahead of its fair
//     turn are at most a quarter of the pool (leadFraction).
//  3. Weighted max-min: the group, then the member, then the urgency class that
//     has the fewest slots in use for its weight. A group is the pool that the
//     work was submitted to, so that the overflow of one pool into the spare
//     pool competes with that of the other pools as one party.
//
// Unused shares are lent without a limit, because a slot is free again after
// one task. Slots lent to long tasks are the exception: while urgent work has
// been seen lately, an eighth of the slots (longReserve) is kept from tasks of
// unknown length and from those that are expected to run longer than urgent
// work may wait.
//
// # Alternatives
//
// Strict priority by urgency starves everything else during a flood of urgent
// work. Weighted max-min alone starts urgent work late when its member has few
// slots. Reclaiming slots by checkpoint was not chosen: a dispatcher issues
// grants and does not know the tasks that were sent under them, and a
// checkpointed task needs its home to ask again, which costs more than the wait
// for the next slot while tasks take seconds.
//
// # Bounds
//
// A request is refused on arrival when its estimated wait exceeds the bound of
// its urgency or the time that its deadline leaves. An accepted request is
// refused later when the estimate of the last request in its class no longer
// meets the bound, and at the latest start that still meets it. The queue is
// bounded by count and memory; when it is full, the member that has the most
// requests queued for its weight loses its newest one.
package share
