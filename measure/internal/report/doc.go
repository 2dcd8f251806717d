// Package report prints measured figures, one a line, in a form that a script
// can compare between runs.
package report
