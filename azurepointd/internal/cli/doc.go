// Package cli parses the daemon's command line, and wires, starts and stops the parts
// of the daemon.
package cli
