package beechquota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// account is this gate's estimate of a workspace's bucket.
	account struct {
		hash         uint64 // of the workspace's name, as sent in updates
		limit        Limit
		refilledAt   time.Time
		limitEndedAt time.Time // when the limit was removed

		level         float64 // of the whole bucket; negative is a debt
		unseenReserve float64 // part of the bucket kept for gates not heard from since this one started
		localLevel    float64 // level of this gate's share, used while it is isolated
		lastShare     float64 // this gate's share when updates were last received; 0 before

		total         float64  // admitted in this lifetime; never decreases
		credit        float64  // refunded; consumed before the total grows
		unsent        float64  // part of the total that no update has reported yet
		sinceReceived float64  // admitted since the last update was received
		receivedCount int      // Limiter.received when sinceReceived was reset
		sendsLeft     int      // further updates that report the total
		admitRate     meanRate // admitted by this gate
		demandRate    meanRate // requested at this gate, including what it refused
		meanSize      float64  // of the requests at this gate

		usages           map[uint64]*peerUsage // of the other gates, by host
		longRateSum      float64               // sum of the peers' long rates
		shortRateSum     float64               // sum of the short rates of peers that are not silent
		shortRateTimeSum float64               // sum of each short rate times its updatedAt
		silentShare      float64               // sum of the shares left to silent peers
		lateReserve      float64               // sum of the reserves for late peers

		admitted, refused int
	}

	// peerUsage is what one other gate reported for a workspace. Times are in seconds since
	// the limiter was created.
	peerUsage struct {
		total       float64
		updatedAt   float64 // when the rates were last updated
		shortRate   float64 // mean over shortRateTime
		longRate    float64 // mean over longRateTime
		share       float64 // of the usage of all gates, at its last update
		silentShare float64 // part of the limit left to it while it is silent
		silentSince float64 // when the silence began
		reserve     float64 // part of the level reserved for it while it is late
	}

	// meanRate is an exponentially decaying mean rate.
	meanRate struct {
		rate      float64 // per second
		pending   float64 // used since updatedAt
		updatedAt time.Time
	}
)

const (
	// shortRateTime is short enough to follow a workspace that suddenly sends many times
	// its usual rate.
	shortRateTime = 300 * time.Millisecond
	// longRateTime is the period over which the gates' usage is compared to divide shares.
	longRateTime = 4 * time.Second
	// minRateInterval is the shortest interval over which a rate is computed.
	minRateInterval = 50 * time.Millisecond
	// sizeSamples is the number of requests that the mean size follows.
	sizeSamples = 20
	// updateSends is the number of updates that report each change of a total, because
	// updates may be lost.
	updateSends = 3
)

func newAccount(name string, now time.Time) *account {
	return &account{hash: xxhash.Sum64String(name), refilledAt: now, admitRate: meanRate{updatedAt: now}, demandRate: meanRate{updatedAt: now}, usages: make(map[uint64]*peerUsage)}
}

// refill adds what has accrued since the last call, except for the shares of silent and
// unseen gates.
func (a *account) refill(l *Limiter) {
	passed := l.now.Sub(a.refilledAt).Seconds()
	if passed <= 0 || a.limit.Rate <= 0 {
		return
	}
	a.refilledAt = l.now
	rate, share := a.limit.Rate, l.localShare(a)
	// Silent gates keep their part of the burst too.
	heard := max(1-l.unseenShare-a.silentShare, 0)
	a.level = min(a.level+rate*heard*passed, a.limit.Burst*heard)
	if !l.settled {
		a.unseenReserve = min(a.unseenReserve+rate*l.unseenShare*passed, a.limit.Burst*l.unseenShare)
	}
	a.localLevel = min(a.localLevel+rate*share*passed, a.limit.Burst*share)
}

// reserveForUnseen moves a part of the level into the reserve for gates that have not been
// heard from since this one started, and back as they are heard from: they report what they
// have used of it. unseen is the new value of Limiter.unseenShare.
func (a *account) reserveForUnseen(l *Limiter, unseen float64) {
	before := l.unseenShare
	switch {
	case l.settled:
	case unseen > before && a.level > 0:
		part := a.level * (unseen - before) / (1 - before)
		a.level, a.unseenReserve = a.level-part, a.unseenReserve+part
	case unseen < before:
		part := a.unseenReserve * (before - unseen) / before
		a.level, a.unseenReserve = a.level+part, a.unseenReserve-part
	}
}

// removeLimit removes the limit. The usage is kept for Bounds.Retention.
func (a *account) removeLimit(l *Limiter) {
	a.refill(l)
	a.limit, a.limitEndedAt = Limit{}, l.now
}

// available returns how much may still be admitted. A request may pass while it is above 0,
// whatever its size.
func (a *account) available(l *Limiter) float64 {
	grace := graceFraction * l.tolerance(a.limit)
	if l.isolated {
		return min(a.localLevel+grace*l.localShare(a), a.level+grace)
	}
	return a.level - a.unreported(l) - a.lateReserve + grace
}

// unreported estimates what the other gates have admitted since their last updates, from
// their short rates.
func (a *account) unreported(l *Limiter) float64 {
	return max(a.shortRateSum*l.elapsed()-a.shortRateTimeSum, 0)
}

// admittedSinceReceived returns what was admitted since an update was last received.
func (a *account) admittedSinceReceived(l *Limiter) float64 {
	if a.receivedCount != l.received {
		a.receivedCount, a.sinceReceived = l.received, 0
	}
	return a.sinceReceived
}

func (a *account) consume(size float64) {
	a.level -= size
	a.localLevel -= size
	a.admitRate.pending += size
	fromCredit := min(a.credit, size)
	a.credit -= fromCredit
	a.total += size - fromCredit
	a.unsent += size - fromCredit
	a.sendsLeft = updateSends
}

func (a *account) refund(size float64) {
	a.level = min(a.level+size, a.limit.Burst)
	a.localLevel += size
	a.credit += size
}

// deduct subtracts what other gates have admitted. The debt is bounded, so that one faulty
// update cannot block a workspace for long.
func (a *account) deduct(l *Limiter, size float64) {
	a.level = max(a.level-size, min(l.minLevel(a), a.level))
}

// applyTotal applies a total reported by a peer. baseline means that the peer's usage so far
// is already contained in the level. It returns false if the total is lower than the last one,
// as in an update that arrives late.
func (a *account) applyTotal(l *Limiter, p *peer, total float64, baseline bool) bool {
	now := l.elapsed()
	u := a.usages[p.host]
	if u == nil {
		u = &peerUsage{updatedAt: now}
		a.usages[p.host] = u
		if baseline || p.older {
			u.total = total
		}
	}
	if total < u.total {
		l.discarded.Decreasing++
		return false
	}
	more := total - u.total
	u.total = total
	a.endSilence(l, u)
	if !baseline {
		a.deduct(l, more)
	}
	a.updateRates(l, u, more)
	p.active[a.hash] = u
	return true
}

// updateRates updates a peer's rates with its usage since its last update.
func (a *account) updateRates(l *Limiter, u *peerUsage, more float64) {
	now := l.elapsed()
	passed := max(now-u.updatedAt, minRateInterval.Seconds())
	a.longRateSum -= u.longRate
	a.shortRateSum -= u.shortRate
	a.shortRateTimeSum -= u.shortRate * u.updatedAt
	u.shortRate = decay(u.shortRate, more/passed, passed, shortRateTime)
	u.longRate = decay(u.longRate, more/passed, passed, longRateTime)
	u.updatedAt = now
	a.longRateSum += u.longRate
	a.shortRateSum += u.shortRate
	a.shortRateTimeSum += u.shortRate * u.updatedAt
	a.admitRate.update(l.now, longRateTime)
	u.share = a.shareOf(l, u.longRate)
}

// clearShortRate removes a peer's short rate from the estimate of unreported usage.
func (a *account) clearShortRate(u *peerUsage) {
	a.shortRateSum -= u.shortRate
	a.shortRateTimeSum -= u.shortRate * u.updatedAt
	u.shortRate = 0
}

// shareOf returns the share of a gate with the given long rate in the usage of all gates,
// with a minimum for each gate. Until the limiter is settled all shares are equal.
func (a *account) shareOf(l *Limiter, used float64) float64 {
	if !l.settled {
		return 1 / float64(l.gates)
	}
	prior := sharePrior * a.limit.Rate
	return (used + prior/float64(l.gates)) / (a.admitRate.rate + a.longRateSum + prior)
}

// reserveForLate reserves a late peer's share of the level: a burst may reach that peer, and
// its update would arrive here too late.
func (a *account) reserveForLate(u *peerUsage) {
	u.reserve = max(a.level, 0) * u.share
	a.lateReserve += u.reserve
}

// releaseReserve releases the reserve for a late peer.
func (a *account) releaseReserve(u *peerUsage) {
	a.lateReserve = max(a.lateReserve-u.reserve, 0)
	u.reserve = 0
}

// markSilent leaves a silent peer its share of the rate, and deducts what that amounts to since
// its last update.
func (a *account) markSilent(l *Limiter, u *peerUsage) {
	a.clearShortRate(u)
	a.deduct(l, u.reserve)
	a.releaseReserve(u)
	u.silentShare = u.share
	u.silentSince = u.updatedAt
	a.deduct(l, a.limit.Rate*u.silentShare*(l.elapsed()-u.silentSince))
	a.silentShare += u.silentShare
}

// endSilence returns what was left to a peer while it was silent: the peer reports what it has
// used of it.
func (a *account) endSilence(l *Limiter, u *peerUsage) {
	a.level = min(a.level+a.limit.Rate*u.silentShare*(l.elapsed()-u.silentSince), a.limit.Burst)
	a.clearSilentShare(u)
}

// clearSilentShare ends the share of a peer that is no longer silent, or is gone.
func (a *account) clearSilentShare(u *peerUsage) {
	a.silentShare = max(a.silentShare-u.silentShare, 0)
	u.silentShare = 0
}

func (p *meanRate) update(now time.Time, over time.Duration) {
	passed := now.Sub(p.updatedAt)
	if passed < minRateInterval {
		return
	}
	p.rate = decay(p.rate, p.pending/passed.Seconds(), passed.Seconds(), over)
	p.pending, p.updatedAt = 0, now
}

func decay(old, seen, passed float64, over time.Duration) float64 {
	keep := math.Exp(-passed / over.Seconds())
	return old*keep + seen*(1-keep)
}
