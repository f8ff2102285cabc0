package beechquota

import "cmp"

// updateTime advances the limiter's time, which never goes back, and sweeps at intervals of
// sweepInterval.
func (l *Limiter) updateTime() {
	if now := l.clock.Now(); now.After(l.now) {
		l.now = now
	}
	if l.now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = l.now
	l.sweep()
}

// sweep checks which gates have stopped sending updates, and deletes expired accounts.
func (l *Limiter) sweep() {
	if !l.isolated && l.now.Sub(l.lastReceived) > isolatedAfter && l.gates > 1 {
		l.isolate()
	}
	if !l.settled && !l.isolated && l.now.Sub(l.started) > settledAfter {
		l.markSettled()
	}
	for _, p := range l.peers {
		l.checkPeer(p)
	}
	l.countUnseen()
	for name, a := range l.accounts {
		if a.limit.Rate <= 0 && l.now.Sub(a.limitEndedAt) > cmp.Or(l.bounds.Retention, defaultRetention) {
			delete(l.accounts, name)
			delete(l.byHash, a.hash)
		}
	}
}

// markSettled drops the reserves for unseen gates and uses actual shares from here on.
func (l *Limiter) markSettled() {
	l.settled = true
	for _, a := range l.accounts {
		a.unseenReserve = 0
	}
}

// countUnseen updates the fraction of the gates that have not been heard from, or are gone.
func (l *Limiter) countUnseen() {
	present := 1
	for _, p := range l.peers {
		if !p.gone {
			present++
		}
	}
	unseen := max(1-float64(present)/float64(l.gates), 0)
	if unseen == l.unseenShare {
		return
	}
	for _, a := range l.accounts {
		a.refill(l)
		a.reserveForUnseen(l, unseen)
	}
	l.unseenShare = unseen
}

// isolate restricts this gate to its own share because no updates arrive any more.
func (l *Limiter) isolate() {
	for _, a := range l.accounts {
		a.refill(l)
		a.localLevel = (a.level - a.unreported(l)) * a.lastShare
	}
	l.isolated, l.settled = true, false
}

// rejoin ends the isolation. The other gates have probably left as much of their shares as
// this one has of its own, so its level is scaled up. A debt is not: it stems from one large
// request here, and the other gates report their own.
func (l *Limiter) rejoin() {
	for _, a := range l.accounts {
		if a.limit.Rate > 0 {
			a.refill(l)
			a.level = min(a.level, max(a.localLevel, 0)/l.localShare(a)+min(a.localLevel, 0))
		}
	}
	l.isolated = false
}

// localShare returns this gate's share of a workspace's limit. While the gate is isolated, it
// is the share at the time of the last update received, or an equal one if there was none.
func (l *Limiter) localShare(a *account) float64 {
	if !l.isolated {
		return l.usageShare(a)
	}
	share := 1 / float64(l.gates)
	if a.lastShare > 0 {
		share = a.lastShare
	}
	if !l.lastReceived.IsZero() && l.now.Sub(l.lastReceived) > goneAfter {
		share /= 2 // the other gates no longer leave it unused
	}
	return share
}

// usageShare returns this gate's share in the recent usage of all gates, see shareOf.
func (l *Limiter) usageShare(a *account) float64 {
	a.admitRate.update(l.now, longRateTime)
	return a.shareOf(l, a.admitRate.rate)
}
