package process

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// newSuspensionClock returns a function that reports for how long the machine has been suspended
// since the call of newSuspensionClock: the clock of the time since boot counts a suspension, the
// monotonic one does not.
func newSuspensionClock() (func() time.Duration, error) {
	before, err := suspendedSinceBoot()
	if err != nil {
		return nil, err
	}
	return func() time.Duration {
		total, err := suspendedSinceBoot()
		if err != nil {
			return 0 // these clocks do not fail once they have been read
		}
		return max(total-before, 0)
	}, nil
}

func suspendedSinceBoot() (time.Duration, error) {
	var boot, monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, errors.Wrap(err, "read the monotonic clock")
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, errors.Wrap(err, "read the clock of the time since boot")
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), nil
}
