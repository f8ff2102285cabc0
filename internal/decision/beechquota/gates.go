package beechquota

import "cmp"

// tick takes over the time, and looks now and then who has fallen silent.
func (l *Limiter) tick() {
	if now := l.clock.Now(); now.After(l.now) {
		l.now = now
	}
	if l.now.Sub(l.swept) < sweepEvery {
		return
	}
	l.swept = l.now
	l.sweep()
}

func (l *Limiter) sweep() {
	if !l.alone && l.now.Sub(l.heard) > aloneAfter && l.gates > 1 {
		l.goAlone()
	}
	if !l.settled && !l.alone && l.now.Sub(l.started) > settledAfter {
		l.settle()
	}
	for _, p := range l.peers {
		l.sweepPeer(p)
	}
	l.count()
	for name, a := range l.accounts {
		if a.limit.Rate <= 0 && l.now.Sub(a.ended) > cmp.Or(l.bounds.Retention, rememberFor) {
			delete(l.accounts, name)
			delete(l.byKey, a.key)
		}
	}
}

// settle ends that the levels are those of a gate that has just started.
func (l *Limiter) settle() {
	l.settled = true
	for _, a := range l.accounts {
		a.aside = 0
	}
}

// count works out which part of the gates is not heard.
func (l *Limiter) count() {
	present := 1
	for _, p := range l.peers {
		if !p.gone {
			present++
		}
	}
	missing := max(1-float64(present)/float64(l.gates), 0)
	if missing == l.missing {
		return
	}
	for _, a := range l.accounts {
		a.refill(l)
		a.setAside(l, missing)
	}
	l.missing = missing
}

// goAlone keeps this gate to its share: it has lost the others.
func (l *Limiter) goAlone() {
	for _, a := range l.accounts {
		a.refill(l)
		a.local = (a.level - a.unread(l)) * a.part
	}
	l.alone, l.settled = true, false
}

// join ends that this gate is alone. The others have probably left as much of their
// shares as it has of its own; but a debt is of one large request here, and those of the
// others are told.
func (l *Limiter) join() {
	for _, a := range l.accounts {
		if a.limit.Rate > 0 {
			a.refill(l)
			a.level = min(a.level, max(a.local, 0)/l.share(a)+min(a.local, 0))
		}
	}
	l.alone = false
}

// share is the part of a workspace's limit that is this gate's while it hears no
// other. It is what it was when the others were last heard; a gate that has not heard
// any has an equal one.
func (l *Limiter) share(a *account) float64 {
	if !l.alone {
		return l.sharedOut(a)
	}
	share := 1 / float64(l.gates)
	if a.part > 0 {
		share = a.part
	}
	if !l.heard.IsZero() && l.now.Sub(l.heard) > goneAfter {
		share /= 2 // the others no longer leave it free
	}
	return share
}

// sharedOut is this gate's part of what all use lately, with a little for each.
func (l *Limiter) sharedOut(a *account) float64 {
	a.own.turn(l.now, shareTime)
	return a.partOf(l, a.own.rate)
}
