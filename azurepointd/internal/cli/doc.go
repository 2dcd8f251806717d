// Package cli parses the daemon's command line, connects its parts, and starts
// and stops them.
package cli
