// Package upkeep carries out drains, moves and failure marks for the instances
// of the pools that this entry owns in its data centre.
//
// Nothing that it does depends on what an earlier owner remembered. Every step
// follows from the configuration in force, from what the endpoint reports and
// from what this entry has seen since, so that any entry can continue:
//
//   - A drain is recorded in the log, then the endpoint is told to refuse new
//     tasks, then to reboot, then the return is recorded. The endpoint refuses a
//     reboot unless it is draining and idle. An owner that gives a drain back
//     makes the endpoint serve before it records that, so that a reboot by an
//     entry with an old view is refused.
//   - An entry waits before it acts when it has just become the owner or when it
//     did not run for a while, and every call to an endpoint has a deadline.
//   - An entry that no longer hears any other one, or hears of a later version,
//     neither calls an endpoint except for its status nor proposes anything. When
//     the key-value service is down the entries hear each other and have the same
//     version, so drains go on up to the record of their end.
package upkeep
