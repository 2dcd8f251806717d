// Package cli reads the flags of measure and runs the measurements.
package cli
