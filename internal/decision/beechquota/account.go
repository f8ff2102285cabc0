package beechquota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// account is a workspace's bucket as this gate believes it.
	account struct {
		key   uint64
		limit Limit
		at    time.Time // refilled
		ended time.Time // the limit

		level float64 // of the whole bucket; below 0 is a debt
		aside float64 // of it, for gates that this one has not heard since it started
		local float64 // of this gate's share, in force while it is alone
		part  float64 // this gate's share when others were last heard; 0 before

		total   float64 // admitted in this lifetime, never falls
		credit  float64 // given back, taken before the total grows
		untold  float64
		deaf    float64 // admitted since a word was heard
		words   int     // of the ledger, when that was begun
		repeats int     // words that still tell the total
		own     pace    // of this gate
		asked   pace    // of it, what it refused too

		uses    map[uint64]*use // of the other gates, by host
		others  float64         // sum of what they use lately
		speed   float64         // sum of the paces of those that are heard
		speedAt float64         // sum of pace times the second of its last word
		silent  float64         // sum of the parts left to those that are not heard
		kept    float64         // sum of what is kept of the level for those that are late

		admitted, refused int
	}

	// use is what one other gate told of a workspace.
	use struct {
		total    float64
		heard    float64 // second of the last word that told it
		pace     float64 // over the last words
		usual    float64 // over some seconds
		part     float64 // of what all used, when it was heard last
		withheld float64 // part of the limit left to it while it is silent
		since    float64 // second from which on that is so
		kept     float64 // of the level, for it, while it is late
	}

	// pace is a mean rate that fades.
	pace struct {
		rate float64 // a second
		sum  float64 // used since at
		at   time.Time
	}
)

const (
	// paceTime is short enough to follow a workspace that sends many times its usual
	// all at once.
	paceTime = 300 * time.Millisecond
	// shareTime is over how long what gates use is compared.
	shareTime = 4 * time.Second
	// turnLeast is the shortest time over which a pace is taken.
	turnLeast = 50 * time.Millisecond
	// repeats of a total, as words are lost.
	repeats = 3
)

func newAccount(name string, now time.Time) *account {
	return &account{key: xxhash.Sum64String(name), at: now, own: pace{at: now}, asked: pace{at: now}, uses: make(map[uint64]*use)}
}

// refill lets the bucket fill by the time that has passed. What silent gates may use
// is left to them.
func (a *account) refill(l *Limiter) {
	passed := l.now.Sub(a.at).Seconds()
	if passed <= 0 || a.limit.Rate <= 0 {
		return
	}
	a.at = l.now
	rate, share := a.limit.Rate, l.share(a)
	// Silent gates have their part of the burst too.
	heard := max(1-l.missing-a.silent, 0)
	a.level = min(a.level+rate*heard*passed, a.limit.Burst*heard)
	if !l.settled {
		a.aside = min(a.aside+rate*l.missing*passed, a.limit.Burst*l.missing)
	}
	a.local = min(a.local+rate*share*passed, a.limit.Burst*share)
}

// setAside leaves gates that are not heard since this one started their part of the
// level, and takes it back as they are heard: what they have used of it they tell.
func (a *account) setAside(l *Limiter, missing float64) {
	was := l.missing
	switch {
	case l.settled:
	case missing > was && a.level > 0:
		part := a.level * (missing - was) / (1 - was)
		a.level, a.aside = a.level-part, a.aside+part
	case missing < was:
		part := a.aside * (was - missing) / was
		a.level, a.aside = a.level+part, a.aside-part
	}
}

// end takes the limit away. What was used stays known for a while.
func (a *account) end(l *Limiter) {
	a.refill(l)
	a.limit, a.ended = Limit{}, l.now
}

// left is what may still be admitted; a request goes on while it is above 0.
func (a *account) left(l *Limiter) float64 {
	grace := gracePart * l.tolerance(a.limit)
	if l.alone {
		return min(a.local+grace*l.share(a), a.level+grace)
	}
	return a.level - a.unread(l) - a.kept + grace
}

// unread is what the other gates have probably admitted since their last words.
func (a *account) unread(l *Limiter) float64 {
	return max(a.speed*l.second()-a.speedAt, 0)
}

// sinceHeard is what was admitted since another gate was heard.
func (a *account) sinceHeard(l *Limiter) float64 {
	if a.words != l.words {
		a.words, a.deaf = l.words, 0
	}
	return a.deaf
}

func (a *account) take(size float64) {
	a.level -= size
	a.local -= size
	a.own.sum += size
	fromCredit := min(a.credit, size)
	a.credit -= fromCredit
	a.total += size - fromCredit
	a.untold += size - fromCredit
	a.repeats = repeats
}

func (a *account) giveBack(size float64) {
	a.level = min(a.level+size, a.limit.Burst)
	a.local += size
	a.credit += size
}

// spent takes off what another gate has admitted. A debt is bounded: one faulty
// word must not shut a workspace out for long.
func (a *account) spent(l *Limiter, size float64) {
	a.level = max(a.level-size, min(l.least(a), a.level))
}

// told takes in another gate's total. Baseline says that what it used so far is in the
// level already. It is false for a total of an older word.
func (a *account) told(l *Limiter, p *peer, total float64, baseline bool) bool {
	now := l.second()
	u := a.uses[p.host]
	if u == nil {
		u = &use{heard: now}
		a.uses[p.host] = u
		if baseline || p.older {
			u.total = total
		}
	}
	if total < u.total {
		l.dropped.Decreasing++
		return false
	}
	more := total - u.total
	u.total = total
	a.settle(l, u)
	if !baseline {
		a.spent(l, more)
	}
	a.setPace(l, u, more)
	p.active[a.key] = u
	return true
}

// setPace takes in what a gate used since its last word.
func (a *account) setPace(l *Limiter, u *use, more float64) {
	now := l.second()
	passed := max(now-u.heard, turnLeast.Seconds())
	a.others -= u.usual
	a.speed -= u.pace
	a.speedAt -= u.pace * u.heard
	u.pace = faded(u.pace, more/passed, passed, paceTime)
	u.usual = faded(u.usual, more/passed, passed, shareTime)
	u.heard = now
	a.others += u.usual
	a.speed += u.pace
	a.speedAt += u.pace * u.heard
	a.own.turn(l.now, shareTime)
	u.part = a.partOf(l, u.usual)
}

// rest takes a gate's pace off what is reckoned to be used.
func (a *account) rest(u *use) {
	a.speed -= u.pace
	a.speedAt -= u.pace * u.heard
	u.pace = 0
}

// partOf is the part of what all use lately that one gate uses, with a little for each.
// All have the same until it is known who uses what.
func (a *account) partOf(l *Limiter, used float64) float64 {
	if !l.settled {
		return 1 / float64(l.gates)
	}
	prior := sharePrior * a.limit.Rate
	return (used + prior/float64(l.gates)) / (a.own.rate + a.others + prior)
}

// keep leaves a gate whose words are late its share of what is left: a rush may come to it
// of which this one would hear too late.
func (a *account) keep(u *use) {
	u.kept = max(a.level, 0) * u.part
	a.kept += u.kept
}

// letGo ends that.
func (a *account) letGo(u *use) {
	a.kept = max(a.kept-u.kept, 0)
	u.kept = 0
}

// fallSilent leaves a gate that is not heard its share of the rate.
func (a *account) fallSilent(l *Limiter, u *use) {
	a.rest(u)
	a.spent(l, u.kept)
	a.letGo(u)
	u.withheld = u.part
	u.since = u.heard
	a.spent(l, a.limit.Rate*u.withheld*(l.second()-u.since))
	a.silent += u.withheld
}

// settle gives back what was left to a gate while it was silent: what it has used of it, it
// tells.
func (a *account) settle(l *Limiter, u *use) {
	a.level = min(a.level+a.limit.Rate*u.withheld*(l.second()-u.since), a.limit.Burst)
	a.speakAgain(u)
}

// speakAgain ends what was left to a silent gate, or what one that is gone had.
func (a *account) speakAgain(u *use) {
	a.silent = max(a.silent-u.withheld, 0)
	u.withheld = 0
}

func (p *pace) turn(now time.Time, over time.Duration) {
	passed := now.Sub(p.at)
	if passed < turnLeast {
		return
	}
	p.rate = faded(p.rate, p.sum/passed.Seconds(), passed.Seconds(), over)
	p.sum, p.at = 0, now
}

func faded(old, seen, passed float64, over time.Duration) float64 {
	keep := math.Exp(-passed / over.Seconds())
	return old*keep + seen*(1-keep)
}
