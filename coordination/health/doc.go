// Package health ejects bad endpoints on evidence against their peers. It does
// no I/O.
//
// An endpoint that fails every task at once looks free and attracts work, so
// failures are not compared in total: for each kind of request, the failure
// rate of an endpoint is compared with the median of its peers' rates. When the
// peers fail as well, the kind is at fault; it is reported and no endpoint is
// ejected for it. At most a third of the pool's instances in the data centre,
// and at least one, is ejected at any time.
//
// An ejected endpoint returns after a deadline, first with one task at a time.
// Each failure during that probe doubles the time until the next one.
package health
