// Package spare decides how large the spare pool should be and which instances
// to move between pools. It is deterministic and does no I/O.
//
// The spare pool serves the overflow of all pools and replaces failed
// instances. A move pays only when the shortage outlasts it, so bursts that are
// shorter than a move are queued or served by the spare pool.
package spare
