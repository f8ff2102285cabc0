package beechquota

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxDebt returns how far a request may exceed an isolated gate's share. If each gate could
// admit one large request, many gates together would exceed a small limit. A number drawn for
// each gate and window therefore gives a large debt to few gates and a small one to most.
func (l *Limiter) maxDebt(a *account) float64 {
	window := max(l.bounds.Window, time.Second)
	var seed [16]byte
	binary.BigEndian.PutUint64(seed[:8], l.lifetime)
	binary.BigEndian.PutUint64(seed[8:], uint64(l.now.Sub(l.started)/window))
	return debtFraction * l.tolerance(a.limit) / (float64(l.gates) * hashFraction(seed[:]))
}

// hashFraction returns a number above 0 and up to 1 that depends only on the seed.
func hashFraction(seed []byte) float64 { return (float64(xxhash.Sum64(seed)>>11) + 1) / (1 << 53) }

// draw returns this gate's random number for an account, a new one in each drawInterval.
func (l *Limiter) draw(a *account) float64 {
	var seed [24]byte
	binary.BigEndian.PutUint64(seed[:8], l.lifetime)
	binary.BigEndian.PutUint64(seed[8:16], a.hash)
	binary.BigEndian.PutUint64(seed[16:], uint64(l.now.Sub(l.started)/drawInterval))
	return hashFraction(seed[:])
}

// Admit decides whether a request of the given size may pass, and consumes the size if so.
func (l *Limiter) Admit(workspace string, size float64) Decision {
	return l.AdmitAbove(workspace, size, 0)
}

// AdmitAbove admits a request only while more than reserve is available over all gates: that much
// was promised to others.
func (l *Limiter) AdmitAbove(workspace string, size, reserve float64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil || a.limit.Rate <= 0 {
		return Admitted{}
	}
	size = min(max(size, 0), maxSize)
	if refused, ok := l.decide(a, size, max(reserve, 0)).(Refused); ok {
		a.refused++
		return refused
	}
	a.admitted++
	a.consume(size)
	a.sinceReceived += size
	return Admitted{Urgent: a.unsent > l.unsentAllowance(a) && a.level < lowFraction*a.limit.Burst || 2*a.unsent > l.unsentLimit(a)}
}

// Check returns what Admit would, without consuming anything.
func (l *Limiter) Check(workspace string, size float64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil || a.limit.Rate <= 0 {
		return Admitted{}
	}
	return l.decide(a, min(max(size, 0), maxSize), 0)
}

// decide decides on a request of the given size. The caller holds the lock.
func (l *Limiter) decide(a *account, size, reserve float64) Decision {
	l.updateTime()
	a.refill(l)
	a.demandRate.pending += size
	a.meanSize += (size - a.meanSize) / sizeSamples
	a.demandRate.update(l.now, longRateTime)
	left := a.available(l)
	if l.isolated {
		reserve *= l.localShare(a)
	}
	if left <= reserve || l.isolated && size-left > l.maxDebt(a) {
		return l.refusal(a, left)
	}
	if !l.isolated && (!l.mayAdmitUnsent(a, size) || reserve > 0 && !l.mayAdmitExcess(a, left-reserve)) {
		return l.refusal(a, max(left, 0)) // until the other gates are informed
	}
	return Admitted{}
}

// mayAdmitExcess reports whether a request may take of what is left beyond a reserve. A draw lets
// few gates do so where little is left: each may see the same excess, and together they would take
// the reserve. It goes by the mean size, so that large requests pass as often as small ones.
func (l *Limiter) mayAdmitExcess(a *account, excess float64) bool {
	used := max(a.unsent, a.admittedSinceReceived(l))
	part := min(l.usageShare(a)+1/float64(l.gates), 1)
	return (used+a.meanSize)*l.draw(a) <= excess*part/l.requestProbability(a)
}

// mayAdmitUnsent reports whether a request may pass before the other gates are informed of it.
func (l *Limiter) mayAdmitUnsent(a *account, size float64) bool {
	used := max(a.unsent, a.admittedSinceReceived(l))
	if !l.bounds.RandomDraw {
		return used < l.unsentLimit(a)
	}
	return (used+size)*l.draw(a) <= l.unsentLimit(a)/l.requestProbability(a)
}

// unsentAllowance returns what a gate may admit without an update even where the bucket is
// nearly empty.
func (l *Limiter) unsentAllowance(a *account) float64 {
	return unsentFraction * l.tolerance(a.limit) / float64(l.gates)
}

// requestProbability estimates the probability that this gate gets a request within a
// drawInterval.
func (l *Limiter) requestProbability(a *account) float64 {
	return min(max(a.demandRate.rate*drawInterval.Seconds(), minRequestProbability), 1)
}

// unsentLimit returns how much a gate may admit before it has sent an update, and before it
// has received one. With more, all gates together, or those that have just lost contact, would
// admit many times the remaining level before any of them knows.
func (l *Limiter) unsentLimit(a *account) float64 {
	part, allowances := min(l.usageShare(a)+1/float64(l.gates), 1), 2.0
	if l.bounds.RandomDraw {
		allowances = 1 // one draw may admit several requests
	}
	return max(part*a.level, allowances*l.unsentAllowance(a))
}

// refusal returns a refusal with the time at which the available amount, which is left now, will
// be above 0 again if no others come.
func (l *Limiter) refusal(a *account, left float64) Refused {
	rate := a.limit.Rate
	if l.isolated {
		rate *= l.localShare(a)
	}
	wait := -min(left, 0) / rate
	wait += rand.Float64() * jitterFraction * wait
	r := Refused{Level: a.level, Unreported: a.unreported(l), Limit: a.limit, Isolated: l.isolated, Settled: l.settled, After: maxAfter, Available: left, Rate: rate}
	if !l.isolated {
		r.Undisclosed = l.unsentAllowance(a) * float64(l.gates-1)
	}
	if wait < maxAfter.Seconds() {
		r.After = max(time.Duration(wait*float64(time.Second)), minAfter)
	}
	if !l.lastReceived.IsZero() {
		r.UpdateAge = l.now.Sub(l.lastReceived)
		return r
	}
	if r.Starting = l.isolated && l.gates > 1 && l.now.Sub(l.started) < startupTime; r.Starting {
		r.After = min(r.After, startupRetryAfter+time.Duration(jitterFraction*rand.Float64()*float64(startupRetryAfter)))
	}
	return r
}

// Refund returns the size of an admitted request that is known not to have run.
func (l *Limiter) Refund(workspace string, size float64) {
	l.withAccount(workspace, func(a *account) { a.refund(min(max(size, 0), maxSize)) })
}

// Charge consumes a further size for an admitted request that ran more than once.
func (l *Limiter) Charge(workspace string, size float64) {
	l.withAccount(workspace, func(a *account) { a.consume(min(max(size, 0), maxSize)) })
}

func (l *Limiter) withAccount(workspace string, change func(*account)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil || a.limit.Rate <= 0 {
		return
	}
	l.updateTime()
	a.refill(l)
	change(a)
}
