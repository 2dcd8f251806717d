// Package dispatch queues requests for the pools that this entry owns and
// grants them slots on the endpoints of its data centre.
//
// # Ownership
//
// The owner of pool/<name> serves the grants of that pool; every other entry
// answers with the owner that it knows of. When the owner changes, waiting
// requests are answered with the new owner at once, and the state of the pool
// is kept until its grants have ended, so that releases still count.
//
// # Taking over
//
// A new owner does not know which slots the grants of its predecessor use. It
// reads the status of each endpoint before the first grant there and counts the
// tasks that it did not grant as busy slots until they end. Grants of the
// predecessor whose tasks start later are not seen, nor are any when the status
// cannot be read: the endpoint itself refuses work above its slots, and such a
// refusal makes the dispatcher read the status again.
//
// # Endpoints
//
// Work goes only to instances in phase serving that are not marked as failed,
// are not on the platform's list as leaving and did not refuse work. A refusal
// closes the endpoint until its own status says that it is serving.
package dispatch
