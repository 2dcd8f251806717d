// Package reconcile drains and moves the instances of the pools that this entry owns in
// its data centre, and marks them as failed.
//
// No step depends on state that an earlier owner kept. Every step follows from the
// configuration in force, from the status that the endpoint reports and from what
// this entry has observed since it became the owner, so that any entry can continue:
//
//   - A drain is recorded in the log before the endpoint is told to refuse new tasks,
//     the reboot is recorded before the endpoint is told to reboot, and the return is
//     recorded last. The endpoint refuses a reboot unless it is draining and idle. An
//     owner that cancels a drain makes the endpoint serve before it records the
//     cancellation, so that a reboot call from an entry with an outdated view is
//     refused.
//   - An entry waits before it acts when it has just become the owner or did not run
//     for a while, and every call to an endpoint has a deadline.
//   - An entry that no longer reaches any other, or receives a later version number,
//     neither calls an endpoint except for its status nor proposes anything. When the
//     key-value service is down the entries still reach each other and have the same
//     version, so a drain proceeds up to its next record.
package reconcile
