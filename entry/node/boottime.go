package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine was booted. Unlike the clock behind
// time.Now it continues while the machine is suspended, as leases in the store do.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// No lease can be trusted without this clock.
		panic(err)
	}
	return time.Duration(t.Nano())
}
