// Package health ejects failing endpoints from a pool by comparison with their
// peers. It performs no I/O.
//
// An endpoint that fails every task at once appears free and attracts more work, so
// total failure counts are not compared. Instead, for each kind of request, the
// failure rate of an endpoint is compared with the median failure rate of its
// peers. If the peers fail as well, the kind is at fault: it is reported, and no
// endpoint is ejected for it. At most a third of the pool's instances in the data
// centre, but at least one, may be ejected at any time.
//
// An ejected endpoint is probed after a deadline, with one task at a time. Each
// failed probe doubles the time until the next one.
package health
