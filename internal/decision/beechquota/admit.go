package beechquota

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// debt is how far this gate may go beyond its share while it is alone. If each gate could
// let in one large request beyond it, many gates would exceed a small limit together:
// a lot that is drawn for each window lets some do so and not the others.
func (l *Limiter) debt(a *account) float64 {
	window := max(l.bounds.Window, time.Second)
	var text [16]byte
	binary.BigEndian.PutUint64(text[:8], l.lifetime)
	binary.BigEndian.PutUint64(text[8:], uint64(l.now.Sub(l.started)/window))
	return debtPart * l.tolerance(a.limit) / (float64(l.gates) * lot(text[:]))
}

// lot gives a number above 0 and up to 1, always the same for a text.
func lot(text []byte) float64 { return (float64(xxhash.Sum64(text)>>11) + 1) / (1 << 53) }

// draw is this gate's lot for an account, drawn anew in each lotTime.
func (l *Limiter) draw(a *account) float64 {
	var text [24]byte
	binary.BigEndian.PutUint64(text[:8], l.lifetime)
	binary.BigEndian.PutUint64(text[8:16], a.key)
	binary.BigEndian.PutUint64(text[16:], uint64(l.now.Sub(l.started)/lotTime))
	return lot(text[:])
}

// Admit asks whether a request of a size may go on.
func (l *Limiter) Admit(workspace string, size float64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil || a.limit.Rate <= 0 {
		return Admitted{}
	}
	size = min(max(size, 0), maxSize)
	if refused, ok := l.weigh(a, size).(Refused); ok {
		a.refused++
		return refused
	}
	a.admitted++
	a.take(size)
	a.deaf += size
	return Admitted{Urgent: a.untold > l.lump(a) && a.level < lowPart*a.limit.Burst || 2*a.untold > l.unheard(a)}
}

// Check tells what Admit would answer, and takes nothing.
func (l *Limiter) Check(workspace string, size float64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil || a.limit.Rate <= 0 {
		return Admitted{}
	}
	return l.weigh(a, min(max(size, 0), maxSize))
}

// weigh decides on a request of a size. The caller holds the lock.
func (l *Limiter) weigh(a *account, size float64) Decision {
	l.tick()
	a.refill(l)
	a.asked.sum += size
	a.asked.turn(l.now, shareTime)
	if left := a.left(l); left <= 0 || l.alone && size-left > l.debt(a) {
		return l.refuse(a, min(left, 0))
	}
	if !l.alone && !l.mayUnheard(a, size) {
		return l.refuse(a, 0) // until the others have heard
	}
	return Admitted{}
}

// mayUnheard tells whether a request may go on before the others hear of it.
func (l *Limiter) mayUnheard(a *account, size float64) bool {
	used := max(a.untold, a.sinceHeard(l))
	if !l.bounds.RandomDraw {
		return used < l.unheard(a)
	}
	return (used+size)*l.draw(a) <= l.unheard(a)/l.busy(a)
}

// lump is what a gate may admit untold where the bucket runs low.
func (l *Limiter) lump(a *account) float64 {
	return untoldPart * l.tolerance(a.limit) / float64(l.gates)
}

// busy is in how many of its draws this gate has a request.
func (l *Limiter) busy(a *account) float64 {
	return min(max(a.asked.rate*lotTime.Seconds(), busyLeast), 1)
}

// unheard is what a gate may admit before it has told the others, and before it has heard
// of them: with more, all gates together, or those that have just been cut off,
// would let in many times what is left before any knows.
func (l *Limiter) unheard(a *account) float64 {
	part, lumps := min(l.sharedOut(a)+1/float64(l.gates), 1), 2.0
	if l.bounds.RandomDraw {
		lumps = 1 // several requests may be let in by one lot
	}
	return max(part*a.level, lumps*l.lump(a))
}

// refuse tells when what is left will be above 0 again. Who comes back cannot be told
// from who is new, as another gate takes him; so nothing is kept for him, and a
// longer time would only make his answer later.
func (l *Limiter) refuse(a *account, left float64) Refused {
	rate := a.limit.Rate
	if l.alone {
		rate *= l.share(a)
	}
	wait := -left / rate
	wait += rand.Float64() * spreadPart * wait
	r := Refused{Level: a.level, Unreported: a.unread(l), Limit: a.limit, Isolated: l.alone, After: maxAfter}
	if wait < maxAfter.Seconds() {
		r.After = max(time.Duration(wait*float64(time.Second)), minAfter)
	}
	if !l.heard.IsZero() {
		r.UpdateAge = l.now.Sub(l.heard)
		return r
	}
	if r.Starting = l.alone && l.gates > 1 && l.now.Sub(l.started) < startTime; r.Starting {
		r.After = min(r.After, startAfter+time.Duration(spreadPart*rand.Float64()*float64(startAfter)))
	}
	return r
}

// Refund returns what a request was admitted with that was proved not run.
func (l *Limiter) Refund(workspace string, size float64) {
	l.with(workspace, func(a *account) { a.giveBack(min(max(size, 0), maxSize)) })
}

// Charge takes what a request has used beyond its admission, as it ran once more.
func (l *Limiter) Charge(workspace string, size float64) {
	l.with(workspace, func(a *account) { a.take(min(max(size, 0), maxSize)) })
}

func (l *Limiter) with(workspace string, change func(*account)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil || a.limit.Rate <= 0 {
		return
	}
	l.tick()
	a.refill(l)
	change(a)
}
