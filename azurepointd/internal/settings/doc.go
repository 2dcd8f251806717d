// Package settings loads and validates the daemon's INI file before the daemon
// starts.
package settings
