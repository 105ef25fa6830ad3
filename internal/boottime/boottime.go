// Package boottime reads a clock that runs while the machine is suspended. The
// monotonic clock of package time stands still meanwhile, and the time of day jumps.
package boottime

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

var logFailure sync.Once

// Now returns the time since the machine was booted, as a time after the Unix epoch. It
// can only be compared with other times that Now returned.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		logFailure.Do(func() { klog.ErrorS(err, "boot clock could not be read, using the monotonic clock") })
		return time.Now()
	}
	return time.Unix(t.Unix())
}
