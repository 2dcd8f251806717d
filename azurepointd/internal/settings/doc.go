// Package settings reads the daemon's INI file and checks it as a whole before
// the daemon starts.
package settings
