package beechreturns

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// Supply is what an account can serve, in the unit of its callers' sizes.
	Supply struct {
		Available float64       // at once; negative is a debt
		Rate      float64       // per second
		Burst     float64       // the most that accumulates; 0: not bounded
		Gates     int           // that promise parts of it, this one included
		Earliest  time.Duration // nothing is available before
		// Undisclosed is what may be missing of Available when a rush begins, as gates have not
		// told each other yet what they admitted.
		Undisclosed float64
	}

	// Caller is a call that is refused now.
	Caller struct {
		Account  uint32
		Class    uint8  // callers of a class wait for about as long, such as those of one urgency
		Call     uint32 // a fingerprint that is the same when it comes back
		Size     float64
		Useful   time.Duration // when it comes back until then, its answer can be in time
		Patience time.Duration // the longest time that it honours
	}

	// Offer is what a refused caller is told.
	Offer struct {
		After    time.Duration
		Promised bool // it will be served then, as far as is known
	}

	// Arrival is New, Early or Returned.
	Arrival interface{ arrival() }

	// New is a caller that was told no time, or too long ago.
	New struct{}

	// Early is a caller that does not wait for its time.
	Early struct{ Left time.Duration }

	// Returned is a caller that comes at the time that it was told.
	Returned struct{ Promised bool }

	// Promise is what a gate tells the others of a caller that it has refused.
	Promise struct {
		Account, Call uint32
		Class         uint8
		After         time.Duration // from the time of the message
		Size          float64
		Kept          bool // false: the time was told, but nothing is reserved
	}

	// Book holds what was promised by all gates. It is safe for concurrent use.
	Book struct {
		clock   clockwork.Clock
		random  func() float64 // in [0, 1)
		started time.Time

		mu       sync.Mutex
		accounts map[uint32]*calendar
		unsent   []unsentPromise
		swept    time.Duration
		calls    int // entered in calendars, as of the last sweep and since
	}

	// unsentPromise is one that the other gates have not been told often enough.
	unsentPromise struct {
		Promise
		due       time.Duration
		sendsLeft int
	}
)

const (
	// Shares of the refill that are promised, see the package comment.
	usefulShare = 0.7
	lateShare   = 0.1

	// messageTime is longer than a promise takes to reach the other gates.
	messageTime = 100 * time.Millisecond
	// lateness is how long after its time a caller is still expected: it makes a new connection.
	lateness = 150 * time.Millisecond
	// recognizedFor is how long after its time a caller is recognized.
	recognizedFor = time.Second
	// earliness is how long before its time a caller counts as in time: times are rounded on the
	// way.
	earliness = 20 * time.Millisecond
	// lead is how long before a caller's time its size is kept from others.
	lead = 100 * time.Millisecond
	// maxReserveFraction of a burst is kept from new callers at most.
	maxReserveFraction = 0.25
	// yieldFraction of a burst is left by callers that come back without a promise.
	yieldFraction = 0.1
	// lastPart is the last part of a caller's patience, for callers to whom nothing is promised.
	lastPart = 0.2
	// spread is the random part that is added to a time, so that gates that do not know of each
	// other's promises yet do not choose the same moment.
	spread = 0.25

	// onsetTime is how long after the first refusal gates may not know what others admitted.
	onsetTime = 500 * time.Millisecond

	sends       = 2     // messages that tell a promise, as one may be lost
	maxPerSend  = 400   // promises in a message, of some 20 bytes each
	maxAccounts = 256   // accounts with promises, of 25 KB each
	maxCalls    = 20000 // of all accounts
)

func (New) arrival()      {}
func (Early) arrival()    {}
func (Returned) arrival() {}

// NewBook returns an empty book. random returns numbers in [0, 1).
func NewBook(clock clockwork.Clock, random func() float64) *Book {
	return &Book{clock: clock, random: random, started: clock.Now(), accounts: make(map[uint32]*calendar)}
}

// now returns the time since the book was created.
func (b *Book) now() time.Duration { return b.clock.Since(b.started) }

// Arrive says whether a call was refused before, and whether it comes at its time.
func (b *Book) Arrive(account, call uint32) Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	c := b.calendar(account, now)
	if c == nil {
		return New{}
	}
	e, ok := c.calls[call]
	switch {
	case !ok:
		return New{}
	case now < e.due-earliness:
		return Early{Left: e.due - now}
	}
	e.returned = true
	return Returned{Promised: e.kept}
}

// Served ends what was promised to a call.
func (b *Book) Served(account, call uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.calendar(account, b.now()); c != nil {
		c.remove(call)
	}
}

// Reserve returns how much must be available to a caller to whom nothing was promised, so that
// promises hold. One that comes back without a promise yields to new ones, as its answer would be
// late: it is served once the rush is over.
func (b *Book) Reserve(account uint32, s Supply, cameBack bool) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	c := b.calendar(account, now)
	if c == nil {
		return 0
	}
	reserve := c.reserve(now, s.Rate)
	if s.Burst > 0 {
		reserve = min(reserve, s.Burst*maxReserveFraction)
	}
	if cameBack {
		reserve += s.Burst * yieldFraction
	}
	return reserve
}

// Offer decides what a refused caller is told, and reserves it.
func (b *Book) Offer(caller Caller, s Supply) Offer {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	caller.Patience, caller.Useful = min(caller.Patience, horizon), min(caller.Useful, horizon)
	c := b.ensureCalendar(caller.Account, now)
	if c == nil {
		return Offer{After: b.unpromised(caller)}
	}
	again := false
	if e, ok := c.calls[caller.Call]; ok {
		if now < e.due-earliness { // it did not wait, and keeps the time that it has
			return Offer{After: min(e.due-now, caller.Patience), Promised: e.kept}
		}
		again = e.returned
		c.remove(caller.Call)
	}
	c.refused(caller.Class, caller.Size, now)
	after, kept := b.place(c, caller, s, again, now)
	if !kept {
		after = b.unpromised(caller)
	}
	p := Promise{Account: caller.Account, Call: caller.Call, Class: caller.Class, Size: caller.Size, Kept: kept}
	if !b.add(c, p, now+after) {
		return Offer{After: after}
	}
	b.unsent = append(b.unsent, unsentPromise{Promise: p, due: now + after, sendsLeft: sends})
	return Offer{After: after, Promised: kept}
}

// add enters a call, unless there are too many.
func (b *Book) add(c *calendar, p Promise, due time.Duration) bool {
	if b.calls >= maxCalls {
		return false
	}
	b.calls++
	c.add(p, due)
	return true
}

// unpromised returns the time for a caller for whom no slot is free.
func (b *Book) unpromised(caller Caller) time.Duration {
	return time.Duration((1 - lastPart*b.random()) * float64(caller.Patience))
}

// place returns the first time at which a caller can be served without breaking a promise.
func (b *Book) place(c *calendar, caller Caller, s Supply, again bool, now time.Duration) (time.Duration, bool) {
	if s.Rate <= 0 || math.IsNaN(s.Available) {
		return 0, false
	}
	part := c.part(caller.Class, now)
	available := s.Available - s.Undisclosed*max(1-float64(now-c.began)/float64(onsetTime), 0)
	available = available*part - b.unheard(c, caller, s)
	attempt := func(from, to time.Duration, share float64) (time.Duration, bool) {
		from, to = max(from, s.Earliest, messageTime), min(to, caller.Patience)
		at, ok := c.free(caller.Class, now, from, to, available, s.Rate*part*share)
		return min(at+time.Duration(spread*b.random()*float64(at)), to), ok
	}
	if again {
		return attempt(0, caller.Patience, 1)
	}
	if at, ok := attempt(0, caller.Useful, usefulShare); ok {
		return at, true
	}
	return attempt(caller.Useful, caller.Patience, lateShare)
}

// unheard estimates what other gates have promised and not told yet: as much as this one each, or
// at random a part of what they usually promise in that time. When a rush begins, all of them may
// be making their first promise, and a random part of these may come before this one.
func (b *Book) unheard(c *calendar, caller Caller, s Supply) float64 {
	own := 0.0
	for _, u := range b.unsent {
		if u.Account == caller.Account && u.Class == caller.Class && u.Kept && u.sendsLeft == sends {
			own += u.Size
		}
	}
	others := float64(s.Gates - 1)
	if b.now()-c.began < messageTime {
		own += caller.Size * b.random()
	}
	return max(own*others, b.random()*c.classes[caller.Class].heard.rate(b.now())*messageTime.Seconds())
}

// Empty reports whether nothing was told to anyone lately.
func (b *Book) Empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.accounts) == 0
}

// Unsent reports whether Next has something to return.
func (b *Book) Unsent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.unsent) > 0
}

// Next returns the promises that the other gates are to be told now.
func (b *Book) Next() []Promise {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var told []Promise
	var later []unsentPromise
	for i, u := range b.unsent {
		if len(told) == maxPerSend {
			later = append(later, b.unsent[i:]...)
			break
		}
		if u.due+recognizedFor < now {
			continue
		}
		u.After = u.due - now
		told = append(told, u.Promise)
		if u.sendsLeft--; u.sendsLeft > 0 {
			later = append(later, u)
		}
	}
	b.unsent = later
	return told
}

// Apply takes over what another gate has promised.
func (b *Book) Apply(promises []Promise) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, p := range promises {
		if !p.valid() {
			continue
		}
		c := b.ensureCalendar(p.Account, now)
		if c == nil {
			continue
		}
		due := now + p.After
		if known, ok := c.calls[p.Call]; ok {
			if due < known.due+messageTime {
				continue // told before, or replaced since
			}
			c.remove(p.Call)
		}
		if b.add(c, p, due) {
			c.refused(p.Class, p.Size, now)
			if p.Kept {
				c.classes[p.Class].heard.add(now, p.Size)
			}
		}
	}
}

func (p Promise) valid() bool {
	return p.Class < classes && p.After <= horizon && p.After >= -recognizedFor && p.Size >= 0 && !math.IsInf(p.Size, 0)
}

// ensureCalendar returns an account's calendar, or nil if there are too many.
func (b *Book) ensureCalendar(account uint32, now time.Duration) *calendar {
	c := b.calendar(account, now)
	if c == nil && len(b.accounts) < maxAccounts {
		c = newCalendar(now)
		b.accounts[account] = c
	}
	return c
}

// calendar returns an account's calendar at the given time, or nil if it has none.
func (b *Book) calendar(account uint32, now time.Duration) *calendar {
	if now-b.swept >= recognizedFor {
		b.swept, b.calls = now, 0
		for key, c := range b.accounts {
			if c.advance(now); len(c.calls) == 0 {
				delete(b.accounts, key)
			}
			b.calls += len(c.calls)
		}
	}
	c := b.accounts[account]
	if c != nil {
		c.advance(now)
	}
	return c
}
