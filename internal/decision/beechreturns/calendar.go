package beechreturns

import (
	"math"
	"time"
)

type (
	// calendar holds what was promised of one account. Times are since the book was created.
	calendar struct {
		began   time.Duration // of the rush: when the first caller was refused
		refusal time.Duration // when the last one was
		first   int           // number of the first slot that is kept
		last    int           // number of the last slot with a promise
		slots   [slotCount]slot
		calls   map[uint32]*entry
		classes [classes]class
	}

	slot struct {
		sizes [classes]float64
		calls []uint32 // some of them may have been removed
	}

	entry struct {
		due      time.Duration
		size     float64
		class    uint8
		kept     bool // size is reserved
		returned bool
	}

	// class measures what callers of a class are refused by all gates, and what the other gates
	// have promised to them.
	class struct{ refused, heard decayingSum }

	// decayingSum is an exponentially decaying sum, as a measure of a rate.
	decayingSum struct {
		sum float64
		at  time.Duration
	}
)

const (
	// classes is the number of classes of callers.
	classes  = 10
	slotTime = 50 * time.Millisecond
	// horizon is the longest time that callers are told.
	horizon   = 10 * time.Second
	slotCount = int((horizon+recognizedFor)/slotTime) + 2
	decayTime = time.Second
)

func newCalendar(now time.Duration) *calendar {
	return &calendar{began: now, refusal: now, first: slotOf(now - recognizedFor), last: slotOf(now), calls: make(map[uint32]*entry)}
}

func slotOf(at time.Duration) int { return int(math.Floor(float64(at) / float64(slotTime))) }

func (c *calendar) slot(n int) *slot { return &c.slots[((n%slotCount)+slotCount)%slotCount] }

func (s *slot) total() float64 {
	sum := 0.0
	for _, size := range s.sizes {
		sum += size
	}
	return sum
}

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

func (c *calendar) add(p Promise, due time.Duration) {
	n := min(max(slotOf(due), c.first), c.first+slotCount-1)
	due = min(due, time.Duration(n+1)*slotTime-1) // or advance would not find it in its slot
	s := c.slot(n)
	s.calls = append(s.calls, p.Call)
	c.calls[p.Call] = &entry{due: due, size: p.Size, class: p.Class, kept: p.Kept}
	if p.Kept {
		s.sizes[p.Class] += p.Size
		c.last = max(c.last, n)
	}
}

func (c *calendar) remove(call uint32) {
	e, ok := c.calls[call]
	if !ok {
		return
	}
	delete(c.calls, call)
	if n := slotOf(e.due); e.kept && n >= c.first && n < c.first+slotCount {
		s := c.slot(n)
		s.sizes[e.class] = max(s.sizes[e.class]-e.size, 0)
	}
}

// refused counts what a caller of a class was refused.
func (c *calendar) refused(class uint8, size float64, now time.Duration) {
	if now-c.refusal > onsetTime {
		c.began = now
	}
	c.refusal = now
	c.classes[class].refused.add(now, size)
}

// part returns the part of what is promised that callers of a class get: that of what they are
// refused. Otherwise those who can wait for longer would take all later slots.
func (c *calendar) part(class uint8, now time.Duration) float64 {
	sum := 0.0
	for i := range c.classes {
		sum += c.classes[i].refused.rate(now)
	}
	if sum <= 0 {
		return 1
	}
	return c.classes[class].refused.rate(now) / sum
}

// reserve returns how much must be left so that all promises hold if rate refills per second.
func (c *calendar) reserve(now time.Duration, rate float64) float64 {
	sum, most := 0.0, 0.0
	begin := slotOf(now)
	for n := max(slotOf(now-lateness), c.first); n <= c.last; n++ {
		sum += c.slot(n).total()
		wait := time.Duration(n-begin) * slotTime
		if wait <= lead {
			most = max(most, sum)
		} else {
			most = max(most, sum-rate*wait.Seconds())
		}
	}
	return most
}

// free returns the first time between from and to from which on something is left at each promise
// to the class, of what is available and of what refills at the given rate. As in the bucket, a
// larger caller leaves a debt that all others wait for: it would never find all of its size.
func (c *calendar) free(class uint8, now, from, to time.Duration, available, rate float64) (time.Duration, bool) {
	if to < from {
		return 0, false
	}
	begin := slotOf(now)
	first, end := slotOf(now+from), slotOf(now+to)
	sum := available
	best := -1
	for n := max(slotOf(now-lateness), c.first); n <= max(c.last, first); n++ {
		promised := c.slot(n).sizes[class]
		sum -= promised
		switch left := sum + rate*(time.Duration(max(n-begin, 0))*slotTime).Seconds(); {
		case n < first:
		case best < 0 && left > 0:
			best = n
		case best >= 0 && promised > 0 && left <= 0:
			best = -1
		}
	}
	if best < 0 { // after the last promise, once the debt is paid
		best = max(c.last+1, first)
		wait := (time.Duration(best-begin) * slotTime).Seconds()
		if left := sum + rate*wait; left <= 0 {
			best += int(math.Ceil(min(-left/rate, horizon.Seconds()) / slotTime.Seconds()))
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
	d.sum *= math.Exp(-(now - d.at).Seconds() / decayTime.Seconds())
	d.at = now
}

// rate returns the rate per second.
func (d *decayingSum) rate(now time.Duration) float64 {
	d.decay(now)
	return d.sum / decayTime.Seconds()
}
