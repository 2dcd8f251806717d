// Package traffic counts the bytes on the daemon's connections, so that the control
// traffic of a node can be read from its metrics.
package traffic
