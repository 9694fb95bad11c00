// Package uptime tells the time for leases and confirmations, which must end on
// time even while this host is suspended. Go's monotonic clock stands still then,
// and the time of day may be set at any moment.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns a time that also advances while the host is suspended, and that
// does not follow changes of the time of day. It must only be compared with other
// times of this function.
func Now() time.Time {
	return origin.Add(sinceBoot())
}

// origin makes Now start at the time of day at which the process started.
var origin = time.Now().Round(0).Add(-sinceBoot()) //nolint:gochecknoglobals // a constant of the process

// sinceBoot returns the time since the host started, suspensions included.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The clock exists on every supported kernel, and leases cannot be kept
		// without it.
		panic(err)
	}
	return time.Duration(now.Nano())
}
