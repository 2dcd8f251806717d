// Package dispatch queues requests for the pools that are assigned to this
// entry, and grants them slots on the endpoints of its data centre.
//
// # Assignment of pools
//
// The entry that is assigned the duty pool/<name> is the dispatcher of that
// pool in its data centre. Every other entry redirects requests to the
// dispatcher that it observes. When the assignment changes, waiting requests
// are redirected at once. The state of the pool is kept until its grants have
// ended, so that releases still free their slots.
//
// # Takeover
//
// A new dispatcher has no record of the grants of its predecessor. It reads the
// status of each endpoint before the first grant there, and counts the tasks
// that it did not grant as busy slots until they end. It misses tasks that
// start later under grants of the predecessor, and all of them if the status
// cannot be read. The endpoint itself then refuses work beyond its slots, and
// such a refusal makes the dispatcher read the status again.
//
// # Endpoints
//
// Work is granted only on instances in phase serving that are not marked as
// failed, not on the platform's list of leaving instances, not ejected by the
// failure detector, and that did not refuse work. A refusal closes the endpoint
// until its own status reports that it is serving.
package dispatch
