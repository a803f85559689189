package uptime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted, with the time for which it was suspended. Go's monotonic clock leaves
// that out.
func Now() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, fmt.Errorf("read the boot-time clock: %w", err)
	}
	return time.Duration(ts.Nano()), nil
}
