// Package peer implements the Twirp communication between entries: it exchanges
// heartbeats, maintains the view of live entries, and connects to them.
package peer
