package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine's start, which goes on while the
// machine is suspended, unlike the clock behind time.Now. Leases in the store run
// on during a suspension.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Without this clock no lease can be trusted.
		panic(err)
	}
	return time.Duration(t.Nano())
}
