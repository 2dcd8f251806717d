// Package clock bounds the clocks of other processes, so that leases that are measured by them
// end in time. It does no I/O and reads no clock.
package clock
