// Package traffic counts the bytes on the daemon's connections, so that what a
// node spends on control can be read from its metrics.
package traffic
