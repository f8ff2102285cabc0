package beechquota

import (
	"time"
)

type (
	// Update is what a gate tells the others.
	Update struct {
		Host     uint64 // the gate, in all its lifetimes
		Lifetime uint64
		Age      time.Duration // of this lifetime
		Settled  bool          // its levels stand on what others told
		Full     bool          // all buckets that are not nearly full are listed
		Usages   []Usage
	}

	// Usage is what a gate has admitted of a workspace in its lifetime, and how full
	// it believes the whole bucket to be.
	Usage struct {
		Workspace uint64 // hash of its name
		Total     float64
		Level     float64
	}

	// peer is another gate.
	peer struct {
		host     uint64
		lifetime uint64
		former   []uint64 // lifetimes that this one has followed
		older    bool     // than this gate: what it used before is in the levels that others told
		heard    time.Time
		late     bool
		silent   bool
		gone     bool
		active   map[uint64]*use // by workspace, those with a pace
	}
)

const (
	// formerKept are more lifetimes than a host has in the time that words may be
	// under way.
	formerKept = 4
	// fullPart of a burst is nearly full: a gate that starts need not hear of it.
	fullPart = 0.9
	// partFresh since another gate was heard, this one's share is what the others believe
	// too: later it may see a rush that they have not been told of.
	partFresh = 350 * time.Millisecond
	// paceLeast of a limit is nothing.
	paceLeast = 0.001
)

// NextUpdate gives what the other gates are to be told now.
func (l *Limiter) NextUpdate() Update {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tick()
	w := Update{Host: l.host, Lifetime: l.lifetime, Age: l.now.Sub(l.started), Settled: l.settled, Full: l.asked && l.settled}
	l.asked = false
	for _, a := range l.accounts {
		if a.limit.Rate <= 0 {
			continue
		}
		a.refill(l)
		if !l.alone && l.now.Sub(l.heard) < partFresh {
			a.part = l.sharedOut(a)
		}
		if a.repeats > 0 || w.Full && a.level < fullPart*a.limit.Burst {
			w.Usages = append(w.Usages, Usage{Workspace: a.key, Total: a.total, Level: a.level})
			a.untold = 0
			a.repeats = max(a.repeats-1, 0)
		}
	}
	return w
}

// ApplyUpdate takes in another gate's word.
func (l *Limiter) ApplyUpdate(w Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.Host == l.host {
		l.dropped.Own++
		return
	}
	l.tick()
	p := l.speaker(w)
	if p == nil {
		l.dropped.Superseded++
		return
	}
	adopt := !l.settled && w.Settled && w.Full
	baseline := p.gone || adopt
	if l.alone {
		l.join()
	}
	l.heard, p.heard = l.now, l.now
	l.lastWords(p)
	l.words++
	for _, u := range w.Usages {
		a := l.byKey[u.Workspace]
		if a == nil || a.limit.Rate <= 0 || u.Total < 0 {
			continue
		}
		a.refill(l)
		if a.told(l, p, u.Total, baseline) && l.settled && w.Settled {
			a.level += (l.believable(a, u.Level) - a.level) * min(pullMost, 1/float64(2*l.gates))
		}
	}
	l.rested(p)
	if adopt {
		l.adopt(w)
	}
	if !w.Settled {
		l.asked = true
	}
}

// speaker gives the gate that a word is of, nil where the word is of a lifetime that
// is over.
func (l *Limiter) speaker(w Update) *peer {
	p := l.peers[w.Host]
	switch {
	case p == nil:
		p = &peer{host: w.Host, lifetime: w.Lifetime, older: w.Age > l.now.Sub(l.started), active: make(map[uint64]*use)}
		l.peers[w.Host] = p
		l.count()
		return p
	case p.lifetime == w.Lifetime:
		return p
	}
	for _, former := range p.former {
		if former == w.Lifetime {
			return nil
		}
	}
	p.former = append(p.former, p.lifetime)
	p.former = p.former[max(len(p.former)-formerKept, 0):]
	p.lifetime, p.older = w.Lifetime, false
	for _, a := range l.accounts {
		if u := a.uses[p.host]; u != nil {
			a.refill(l)
			a.speakAgain(u)
			u.total = 0
		}
	}
	p.gone = false
	return p
}

// believable bounds a level that another gate tells.
func (l *Limiter) believable(a *account, level float64) float64 {
	return min(max(level, l.least(a)), a.limit.Burst)
}

// rested takes in that a gate has not used workspaces that its word does not list, and
// that what was left to it while it was silent is free again.
func (l *Limiter) rested(p *peer) {
	now := l.second()
	for key, u := range p.active {
		a := l.byKey[key]
		if a == nil || a.uses[p.host] != u {
			delete(p.active, key)
			continue
		}
		if u.heard < now {
			a.setPace(l, u, 0)
		}
		if u.pace < paceLeast*a.limit.Rate {
			a.rest(u)
			delete(p.active, key)
		}
	}
	if !p.silent {
		return
	}
	p.silent, p.gone = false, false
	for _, a := range l.accounts {
		if u := a.uses[p.host]; u != nil {
			a.refill(l)
			a.settle(l, u)
		}
	}
}

// adopt takes over the levels of a gate that knows them.
func (l *Limiter) adopt(w Update) {
	told := make(map[uint64]float64, len(w.Usages))
	for _, u := range w.Usages {
		told[u.Workspace] = u.Level
	}
	for key, a := range l.byKey {
		level, ok := told[key]
		if !ok {
			level = fullPart * a.limit.Burst
		}
		a.level = l.believable(a, level) - a.untold
	}
	l.settle()
}

// lastWords takes back what was kept for a gate while its words were late.
func (l *Limiter) lastWords(p *peer) {
	if !p.late {
		return
	}
	p.late = false
	for _, a := range l.accounts {
		if u := a.uses[p.host]; u != nil {
			a.letGo(u)
		}
	}
}

func (l *Limiter) sweepPeer(p *peer) {
	quiet := l.now.Sub(p.heard)
	if !p.late && quiet > lateAfter(l.gates) {
		p.late = true
		for _, a := range l.accounts {
			if u := a.uses[p.host]; u != nil && a.limit.Rate > 0 {
				a.refill(l)
				a.keep(u)
			}
		}
	}
	if !p.silent && quiet > silentWords*UpdateInterval(l.gates) {
		p.silent = true
		for _, a := range l.accounts {
			if a.limit.Rate <= 0 {
				continue
			}
			a.refill(l)
			u := a.uses[p.host]
			if u == nil { // it may have used little: it has a share all the same
				u = &use{heard: l.second(), part: a.partOf(l, 0)}
				a.uses[p.host] = u
			}
			a.fallSilent(l, u)
		}
	}
	if p.silent && !p.gone && quiet > goneAfter {
		p.gone = true
		for _, a := range l.accounts {
			if u := a.uses[p.host]; u != nil {
				a.refill(l)
				a.others = max(a.others-u.usual, 0)
				u.usual = 0
				a.speakAgain(u)
			}
		}
	}
}

// second is the time since this ledger began.
func (l *Limiter) second() float64 { return l.now.Sub(l.started).Seconds() }
