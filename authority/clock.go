package authority

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime reads the clock that measures authority leases and quota leases. Unlike the monotonic clock of time.Now, it
// advances while the machine is suspended, so that a process that resumes sees which leases expired meanwhile.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has had this clock since 2.6.39
	}
	return time.Duration(t.Nano())
}
