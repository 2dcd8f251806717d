// Package register decides whether a request may run: it describes the keys of
// requests, and keeps the claims and outcomes of keys at the two entries that a
// key names.
//
// A record is kept in full until some time after the request's deadline. After
// that one bit for each key remains until the key has expired, so that a late
// copy of the request is refused and never runs again.
package register
