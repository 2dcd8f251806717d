// Package limit adapts to what endpoints and requests can take: it computes a
// concurrency limit for each endpoint, and estimates the run times and sizes of
// each member's requests. It does no I/O.
//
// # Limiter
//
// The limit follows the published Gradient2 algorithm: it compares a short-term
// and a long-term mean of the latency, and reduces the limit by their ratio.
// Run times of different requests differ by more than load changes them, so the
// latency of a task is taken relative to its expected run time, and the means
// are geometric. A refusal for lack of slots reduces the limit at once.
//
// # Estimator
//
// Declared run times may be off by a factor of ten, for some members always in
// the same direction. Two predictors are kept for each member and pool: the
// distribution of the run times, and that of their ratio to the declared ones.
// The one with the smaller variance is used.
package limit
