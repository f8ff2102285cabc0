package beechlimit

import "time"

// hostCount is the number of entry hosts that the limits are divided by. It rises
// immediately when a host joins, but falls only after a delay and by at most half
// at a time: a host that is no longer seen may still be serving on the other side
// of a network partition, and both sides together would exceed the limit.
type hostCount struct {
	current      int
	pending      int       // highest count below current reported since pendingSince; 0 if none
	pendingSince time.Time // start of the delay before current falls
}

// observe records how many hosts are live, including this one. A count below 1
// means that the number is unknown, and changes nothing.
func (h *hostCount) observe(n int, now time.Time) {
	switch {
	case n < 1:
		return
	case n >= h.current:
		h.current, h.pending = n, 0
	case h.pending == 0:
		h.pending, h.pendingSince = n, now
	default:
		h.pending = max(h.pending, n)
	}
}

// shrink lowers the count if a lower one has been pending for the delay, and
// reports whether it did.
func (h *hostCount) shrink(now time.Time, delay time.Duration) bool {
	if h.pending == 0 || now.Sub(h.pendingSince) < delay {
		return false
	}
	h.current = max(h.pending, (h.current+1)/2)
	h.pendingSince = now
	if h.current == h.pending {
		h.pending = 0
	}
	return true
}
