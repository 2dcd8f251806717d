// Package peer speaks twirp with the other entries: it exchanges heartbeats,
// keeps the view of live entries, and connects to them.
package peer
