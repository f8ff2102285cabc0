package beechfresh

import (
	"math"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

type (
	// Clock returns the time since some fixed point, including suspensions.
	Clock interface{ Now() time.Duration }

	// BootClock is the system's clock since boot.
	BootClock struct{}

	// Tracker tracks when data was last confirmed. It is safe for concurrent use.
	Tracker struct {
		clock     Clock
		confirmed atomic.Int64 // math.MinInt64: never
	}
)

// Never is the age of data that was never confirmed.
const Never = time.Duration(math.MaxInt64)

// Now reads CLOCK_BOOTTIME, or the wall clock where that is not available.
func (BootClock) Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}

// New returns a tracker of data that was never confirmed.
func New(c Clock) *Tracker {
	t := &Tracker{clock: c}
	t.confirmed.Store(math.MinInt64)
	return t
}

// Now returns the time to pass to Confirm; call it before the read is sent.
func (t *Tracker) Now() time.Duration { return t.clock.Now() }

// Confirm records that the data was valid at some moment after requestedAt.
func (t *Tracker) Confirm(requestedAt time.Duration) {
	for {
		previous := t.confirmed.Load()
		if previous >= int64(requestedAt) || t.confirmed.CompareAndSwap(previous, int64(requestedAt)) {
			return
		}
	}
}

// Age returns the time since the data was last known to be valid.
func (t *Tracker) Age() time.Duration {
	at := t.confirmed.Load()
	if at == math.MinInt64 {
		return Never
	}
	return t.clock.Now() - time.Duration(at)
}
