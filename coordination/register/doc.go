// Package register decides whether a request may run. It defines the keys of
// requests and stores the claims and outcomes of a key at its primary and its
// backup entry.
//
// A record is kept in full until some time after the deadline of the request. After
// that, one bit per key remains until the key has expired, so that a late copy of
// the request is refused and never runs again.
package register
