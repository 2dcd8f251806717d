// Package report prints measured figures, one on each line, as name=value pairs
// that a script can compare between runs.
package report
