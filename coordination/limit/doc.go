// Package limit learns what endpoints and requests can take: an adaptive
// concurrency limit of each endpoint, and the run times and sizes of each
// member's requests. It does no I/O.
//
// # Limiter
//
// The limit follows the published Gradient2 scheme: a short-term and a
// long-term mean of the latency are compared, and the limit shrinks by their
// ratio. Run times of different requests differ by more than load changes them,
// so the latency of a task is taken relative to its expected run time, and the
// means are geometric. A refusal for lack of room lowers the limit at once.
//
// # Estimator
//
// Declared run times may be off by a factor of ten, for some members always in
// the same direction. Two predictors are kept for each member and pool: the
// distribution of the run times, and that of their ratio to the declared ones.
// The one with the smaller spread is used.
package limit
