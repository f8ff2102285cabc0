// Package beechfresh keeps the age of what a process believes.
//
// A gate that has lost the store does not notice by itself: a watch that says
// nothing looks like a store without changes, a kept connection may have gone
// silent, and a process that was suspended finds its steady clock where it
// left it. A revoked key would then be served for as long as that lasts. So
// each belief carries the time of the read that last confirmed it, by a clock
// that counts suspensions, taken before the read was sent.
//
// # Usage
//
//	belief := beechfresh.New(clock)
//	asked := belief.Now()
//	// a linearizable read
//	belief.Confirm(asked)
//	if belief.Age() > bound {
//		// refuse what depends on it
//	}
package beechfresh

import (
	"math"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

type (
	// Clock gives the time since some start, suspensions included.
	Clock interface{ Now() time.Duration }

	// BootClock is the system's clock since boot.
	BootClock struct{}

	// Tracker is something that must be confirmed from time to time. It is safe
	// for concurrent use.
	Tracker struct {
		clock     Clock
		confirmed atomic.Int64 // math.MinInt64 is never
	}
)

// Never is the age of what was never confirmed.
const Never = time.Duration(math.MaxInt64)

// Now reads CLOCK_BOOTTIME, or where there is none the time of day.
func (BootClock) Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}

// New returns a belief that was never confirmed.
func New(c Clock) *Tracker {
	b := &Tracker{clock: c}
	b.confirmed.Store(math.MinInt64)
	return b
}

// Now is the time to give to Confirm; take it before asking.
func (b *Tracker) Now() time.Duration { return b.clock.Now() }

// Confirm tells that the belief was true at some moment after asked.
func (b *Tracker) Confirm(asked time.Duration) {
	for {
		old := b.confirmed.Load()
		if old >= int64(asked) || b.confirmed.CompareAndSwap(old, int64(asked)) {
			return
		}
	}
}

// Age is the time since the belief was last known to be true.
func (b *Tracker) Age() time.Duration {
	at := b.confirmed.Load()
	if at == math.MinInt64 {
		return Never
	}
	return b.clock.Now() - time.Duration(at)
}
