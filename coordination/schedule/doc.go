// Package schedule decides which task of which job runs on which endpoint. It
// does no I/O: callers report what endpoints answered, and carry out the orders
// that it returns.
//
// The rules that it keeps hold for every order. A task has one run at a time
// unless its step allows duplicates; a run ends when the endpoint lists its end,
// when a report sent after the confirmed start no longer lists it, or when the
// lease of a silent endpoint must have lapsed. An end is acknowledged to the
// endpoint only after the job's record with its effect is stored, and a final
// state is shown only after it is stored.
package schedule
