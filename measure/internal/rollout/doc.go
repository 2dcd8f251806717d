// Package rollout measures maintenance waves under virtual time: the planner that
// the daemon calls, beside simpler orders, on the same fleets and faults.
//
// The model has only what the planner sees: instances with tasks that end some
// time after the grant, reboots of varying length, and failures. Every grant goes
// through fleet.Apply, as in the log. Left out are the network, the time of the
// log, and the work that waits for the drained instances.
package rollout
