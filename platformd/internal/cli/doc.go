// Package cli parses the flags of platformd and serves until it is stopped.
package cli
