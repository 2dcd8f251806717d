// Package rollout simulates maintenance waves under virtual time. It compares the
// planner of the daemon with simpler policies on the same fleets and faults.
//
// The model has only the inputs of the planner: instances whose tasks end some
// time after the grant, reboots of varying length, and failures. Every grant goes
// through fleet.Apply, as in the change log. Not modelled are the network, the
// latency of the change log, and the work that waits for the drained instances.
package rollout
