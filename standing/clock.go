package standing

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime reads the clock by which credits and leases are counted. It goes on while the machine is suspended, as
// time.BootTime's monotonic reading does not, so a process that just woke finds what lapsed meanwhile.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has had this clock since 2.6.39
	}
	return time.Duration(t.Nano())
}
