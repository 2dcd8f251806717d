// Package schedule decides which task of which job runs on which endpoint. It does
// no I/O: its callers pass in the reports of endpoints and carry out the orders that
// it returns.
//
// It maintains these invariants. A task has at most one run at a time unless its
// step allows duplicates. A run counts as ended only if the endpoint reports its
// end, if a poll that was sent after the start was confirmed no longer lists the
// run, or if the lease of an unresponsive endpoint must have expired. The end of a
// run is acknowledged to the endpoint only after the job record that contains its
// effect is stored, and a final state is reported to callers only after it is
// stored.
package schedule
