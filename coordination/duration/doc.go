// Package duration estimates how long a task will run from the runs that have finished. It
// performs no I/O and keeps no clock.
package duration
