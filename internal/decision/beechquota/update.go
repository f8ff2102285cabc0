package beechquota

import (
	"time"
)

type (
	// Update is the state that a gate sends to the others.
	Update struct {
		Host     uint64 // identifies the gate over all its lifetimes
		Lifetime uint64
		Age      time.Duration // of this lifetime
		Settled  bool          // the gate's levels can be adopted by gates that start
		Full     bool          // all buckets that are not nearly full are listed
		Usages   []Usage
	}

	// Usage is what a gate has admitted for a workspace in its lifetime, and its estimate
	// of the level of the whole bucket.
	Usage struct {
		Workspace uint64 // hash of its name
		Total     float64
		Level     float64
	}

	// peer is another gate. Without updates it becomes late, then silent, then gone.
	peer struct {
		host            uint64
		lifetime        uint64
		formerLifetimes []uint64 // lifetimes that the current one has replaced
		older           bool     // it started before this gate: the levels that others send contain its usage
		lastReceived    time.Time
		late            bool
		silent          bool
		gone            bool
		active          map[uint64]*peerUsage // by workspace, those with a short rate
	}
)

const (
	// maxFormerLifetimes is more than the lifetimes a host can have while an update is in
	// transit.
	maxFormerLifetimes = 4
	// nearlyFullFraction is the fraction of a burst above which a bucket is left out of full
	// updates; a gate that starts assumes this level for it.
	nearlyFullFraction = 0.9
	// shareFreshFor is how long after an update the other gates still assume the same share
	// for this one as it computes itself. Later it may see a burst that they do not know of.
	shareFreshFor = 350 * time.Millisecond
	// minShortRate is the fraction of a limit below which a short rate counts as 0.
	minShortRate = 0.001
)

// NextUpdate returns the update to send to the other gates now.
func (l *Limiter) NextUpdate() Update {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateTime()
	update := Update{Host: l.host, Lifetime: l.lifetime, Age: l.now.Sub(l.started), Settled: l.settled, Full: l.levelsRequested && l.settled}
	l.levelsRequested = false
	for _, a := range l.accounts {
		if a.limit.Rate <= 0 {
			continue
		}
		a.refill(l)
		if !l.isolated && l.now.Sub(l.lastReceived) < shareFreshFor {
			a.lastShare = l.usageShare(a)
		}
		if a.sendsLeft > 0 || update.Full && a.level < nearlyFullFraction*a.limit.Burst {
			update.Usages = append(update.Usages, Usage{Workspace: a.hash, Total: a.total, Level: a.level})
			a.unsent = 0
			a.sendsLeft = max(a.sendsLeft-1, 0)
		}
	}
	return update
}

// ApplyUpdate applies an update received from another gate.
func (l *Limiter) ApplyUpdate(update Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if update.Host == l.host {
		l.discarded.Own++
		return
	}
	l.updateTime()
	p := l.sender(update)
	if p == nil {
		l.discarded.Superseded++
		return
	}
	adopt := !l.settled && update.Settled && update.Full
	baseline := p.gone || adopt
	if l.isolated {
		l.rejoin()
	}
	l.lastReceived, p.lastReceived = l.now, l.now
	l.endLateness(p)
	l.received++
	for _, u := range update.Usages {
		a := l.byHash[u.Workspace]
		if a == nil || a.limit.Rate <= 0 || u.Total < 0 {
			continue
		}
		a.refill(l)
		if a.applyTotal(l, p, u.Total, baseline) && l.settled && update.Settled {
			a.level += (l.boundLevel(a, u.Level) - a.level) * min(maxLevelCorrection, 1/float64(2*l.gates))
		}
	}
	l.applyIdle(p)
	if adopt {
		l.adoptLevels(update)
	}
	if !update.Settled {
		l.levelsRequested = true
	}
}

// sender returns the peer that sent an update, or nil if the update is from a lifetime that
// has ended.
func (l *Limiter) sender(update Update) *peer {
	p := l.peers[update.Host]
	switch {
	case p == nil:
		p = &peer{host: update.Host, lifetime: update.Lifetime, older: update.Age > l.now.Sub(l.started), active: make(map[uint64]*peerUsage)}
		l.peers[update.Host] = p
		l.countUnseen()
		return p
	case p.lifetime == update.Lifetime:
		return p
	}
	for _, former := range p.formerLifetimes {
		if former == update.Lifetime {
			return nil
		}
	}
	p.formerLifetimes = append(p.formerLifetimes, p.lifetime)
	p.formerLifetimes = p.formerLifetimes[max(len(p.formerLifetimes)-maxFormerLifetimes, 0):]
	p.lifetime, p.older = update.Lifetime, false
	for _, a := range l.accounts {
		if u := a.usages[p.host]; u != nil {
			a.refill(l)
			a.clearSilentShare(u)
			u.total = 0
		}
	}
	p.gone = false
	return p
}

// boundLevel limits a reported level to plausible values.
func (l *Limiter) boundLevel(a *account, level float64) float64 {
	return min(max(level, l.minLevel(a)), a.limit.Burst)
}

// applyIdle handles the workspaces that a peer's update does not list, and so has not used, and
// ends the peer's silence.
func (l *Limiter) applyIdle(p *peer) {
	now := l.elapsed()
	for key, u := range p.active {
		a := l.byHash[key]
		if a == nil || a.usages[p.host] != u {
			delete(p.active, key)
			continue
		}
		if u.updatedAt < now {
			a.updateRates(l, u, 0)
		}
		if u.shortRate < minShortRate*a.limit.Rate {
			a.clearShortRate(u)
			delete(p.active, key)
		}
	}
	if !p.silent {
		return
	}
	p.silent, p.gone = false, false
	for _, a := range l.accounts {
		if u := a.usages[p.host]; u != nil {
			a.refill(l)
			a.endSilence(l, u)
		}
	}
}

// adoptLevels takes over the levels of a settled gate.
func (l *Limiter) adoptLevels(update Update) {
	levels := make(map[uint64]float64, len(update.Usages))
	for _, u := range update.Usages {
		levels[u.Workspace] = u.Level
	}
	for key, a := range l.byHash {
		level, ok := levels[key]
		if !ok {
			level = nearlyFullFraction * a.limit.Burst
		}
		a.level = l.boundLevel(a, level) - a.unsent
	}
	l.markSettled()
}

// endLateness releases what was reserved for a peer while its updates were late.
func (l *Limiter) endLateness(p *peer) {
	if !p.late {
		return
	}
	p.late = false
	for _, a := range l.accounts {
		if u := a.usages[p.host]; u != nil {
			a.releaseReserve(u)
		}
	}
}

// checkPeer marks a peer as late, silent or gone by the time since its last update.
func (l *Limiter) checkPeer(p *peer) {
	silence := l.now.Sub(p.lastReceived)
	if !p.late && silence > lateAfter(l.gates) {
		p.late = true
		for _, a := range l.accounts {
			if u := a.usages[p.host]; u != nil && a.limit.Rate > 0 {
				a.refill(l)
				a.reserveForLate(u)
			}
		}
	}
	if !p.silent && silence > silentUpdates*UpdateInterval(l.gates) {
		p.silent = true
		for _, a := range l.accounts {
			if a.limit.Rate <= 0 {
				continue
			}
			a.refill(l)
			u := a.usages[p.host]
			if u == nil { // a peer that used little or nothing has a share too
				u = &peerUsage{updatedAt: l.elapsed(), share: a.shareOf(l, 0)}
				a.usages[p.host] = u
			}
			a.markSilent(l, u)
		}
	}
	if p.silent && !p.gone && silence > goneAfter {
		p.gone = true
		for _, a := range l.accounts {
			if u := a.usages[p.host]; u != nil {
				a.refill(l)
				a.longRateSum = max(a.longRateSum-u.longRate, 0)
				u.longRate = 0
				a.clearSilentShare(u)
			}
		}
	}
}

// elapsed returns the seconds since the limiter was created.
func (l *Limiter) elapsed() float64 { return l.now.Sub(l.started).Seconds() }
