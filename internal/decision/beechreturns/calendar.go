package beechreturns

import (
	"math"
	"time"
)

type (
	// calendar holds what was promised of one account. Times are since the book was created.
	calendar struct {
		first int // number of the first slot that is kept
		slots [slotCount]slot
		last  int // number of the last slot with a promise
		calls map[uint32]*entry
		heard decayingSum
	}

	slot struct {
		size  float64
		calls []uint32 // some of them may have been removed
	}

	entry struct {
		due      time.Duration
		size     float64
		returned bool
	}

	// decayingSum is an exponentially decaying sum, as a measure of a rate.
	decayingSum struct {
		sum float64
		at  time.Duration
	}
)

const (
	slotTime = 50 * time.Millisecond
	// horizon is the longest time that callers are told.
	horizon   = 10 * time.Second
	slotCount = int((horizon+recognizedFor)/slotTime) + 2
	heardTime = 300 * time.Millisecond
)

func newCalendar(now time.Duration) *calendar {
	return &calendar{first: slotOf(now - recognizedFor), last: slotOf(now), calls: make(map[uint32]*entry)}
}

func slotOf(at time.Duration) int { return int(math.Floor(float64(at) / float64(slotTime))) }

func (c *calendar) slot(n int) *slot { return &c.slots[((n%slotCount)+slotCount)%slotCount] }

// advance drops the slots whose callers are no longer recognized.
func (c *calendar) advance(now time.Duration) {
	for to := slotOf(now - recognizedFor); c.first < to; c.first++ {
		s := c.slot(c.first)
		for _, call := range s.calls {
			if e, ok := c.calls[call]; ok && slotOf(e.due) <= c.first {
				delete(c.calls, call)
			}
		}
		*s = slot{calls: s.calls[:0]}
	}
	c.last = max(c.last, c.first)
}

func (c *calendar) add(call uint32, due time.Duration, size float64) {
	n := min(max(slotOf(due), c.first), c.first+slotCount-1)
	s := c.slot(n)
	s.size += size
	s.calls = append(s.calls, call)
	c.calls[call] = &entry{due: due, size: size}
	if size > 0 {
		c.last = max(c.last, n)
	}
}

func (c *calendar) remove(call uint32) {
	e, ok := c.calls[call]
	if !ok {
		return
	}
	delete(c.calls, call)
	if n := slotOf(e.due); n >= c.first && n < c.first+slotCount {
		s := c.slot(n)
		s.size = max(s.size-e.size, 0)
	}
}

// overdue returns what was promised for the time just before now.
func (c *calendar) overdue(now time.Duration) float64 {
	sum := 0.0
	for n := max(slotOf(now-lateness), c.first); n < slotOf(now); n++ {
		sum += c.slot(n).size
	}
	return sum
}

// reserve returns how much must be left so that all promises hold if rate refills per second.
func (c *calendar) reserve(now time.Duration, rate float64) float64 {
	sum, most := c.overdue(now), 0.0
	begin := slotOf(now)
	for n := begin; n <= c.last; n++ {
		sum += c.slot(n).size
		wait := time.Duration(n-begin) * slotTime
		if wait <= lead {
			most = max(most, sum)
		} else {
			most = max(most, sum-rate*wait.Seconds())
		}
	}
	return most
}

// free returns the first time between from and to at which something is left of what is available
// and of what refills at the rate of share, and from which on size is left at each later promise
// of what refills at the rate of total.
func (c *calendar) free(now, from, to time.Duration, available, share, total, size float64) (time.Duration, bool) {
	if to < from {
		return 0, false
	}
	begin := slotOf(now)
	first, end := slotOf(now+from), slotOf(now+to)
	sum := available - c.overdue(now)
	best := -1
	for n := begin; n <= max(c.last, first); n++ {
		wait := (time.Duration(n-begin) * slotTime).Seconds()
		promised := c.slot(n).size
		sum -= promised
		switch {
		case n >= first && best < 0 && sum+share*wait > 0:
			best = n
		case n > first && best >= 0 && promised > 0 && sum+total*wait < size:
			best = -1
		}
	}
	if best < 0 { // after the last promise, once the debt is paid
		best = max(c.last+1, first)
		wait := (time.Duration(best-begin) * slotTime).Seconds()
		if left := sum + share*wait; left <= 0 {
			best += int(math.Ceil(min(-left/share, horizon.Seconds()) / slotTime.Seconds()))
		}
	}
	if best > end {
		return 0, false
	}
	return max(time.Duration(best)*slotTime-now, from), true
}

func (d *decayingSum) add(now time.Duration, size float64) {
	d.decay(now)
	d.sum += size
}

func (d *decayingSum) decay(now time.Duration) {
	d.sum *= math.Exp(-(now - d.at).Seconds() / heardTime.Seconds())
	d.at = now
}

// rate returns the rate per second.
func (d *decayingSum) rate(now time.Duration) float64 {
	d.decay(now)
	return d.sum / heardTime.Seconds()
}
