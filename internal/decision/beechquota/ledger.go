package beechquota

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

type (
	// Limit of a workspace over all gates together, in its own unit (tokens or
	// requests). A Rate of 0 is no limit.
	Limit struct {
		Rate  float64 // a second
		Burst float64
	}

	// Bounds are what the operators tolerate beyond a limit: in no Window more than
	// the limit times 1 + Overage, plus Slack.
	Bounds struct {
		Window  time.Duration
		Overage float64
		Slack   float64
		// Lots has gates draw who admits a request that is more than a gate's part of
		// what may be admitted unheard. Where a limit is below a request a second and
		// gate, every gate would otherwise let one in at the same moment.
		Lots bool
		// Remember is how long an account without a limit keeps what was used; 0 is
		// rememberFor.
		Remember time.Duration
	}

	// Decision is the answer to Admit: Admitted or Refused.
	Decision interface{ decision() }

	// Admitted lets a request go on. Tell says that the other gates are to hear of
	// it at once.
	Admitted struct{ Tell bool }

	// Refused turns a request away, not run. The rest is what decided it.
	Refused struct {
		After  time.Duration // when to come back
		Level  float64       // of the bucket, as believed
		Unread float64       // reckoned to be admitted elsewhere since the last words
		Limit  Limit
		Alone  bool          // no other gate is heard
		Starts bool          // this gate has just started, and will hear the others soon
		Age    time.Duration // of the last word heard; 0 where there was none
	}

	// Ledger is one gate's view of all quotas. It is safe for concurrent use.
	Ledger struct {
		host, lifetime uint64
		clock          clockwork.Clock

		mu       sync.Mutex
		bounds   Bounds
		now      time.Time // never steps back
		started  time.Time
		swept    time.Time
		heard    time.Time // of the last word of another gate
		alone    bool
		words    int     // heard so far
		missing  float64 // part of the gates that count and have not been heard
		settled  bool    // the levels are others' or old enough to be right
		gates    int
		accounts map[string]*account
		byKey    map[uint64]*account
		peers    map[uint64]*peer // by host
		dropped  Dropped
		asked    bool // another gate does not know the levels
	}

	// State is what a ledger believes.
	State struct {
		Alone       bool // no other gate is heard
		Settled     bool // levels stand on what others told
		Gates       int
		HeardMillis int64 // since the last word
		PassedOver  Dropped
		Buckets     []Bucket // those with most refusals first
	}

	// Bucket is the state of a workspace's bucket.
	Bucket struct {
		Workspace         string
		Level             float64 // believed to be left over all gates
		Unread            float64 // reckoned to be admitted elsewhere since the last words
		Rate, Burst       float64
		Used              float64 // here, in this lifetime
		Admitted, Refused int     // requests here
	}

	// Dropped counts words and totals that were passed over.
	Dropped struct {
		Old     int // of a lifetime that another one has followed
		Falling int // totals that fell
		Own     int // this gate's own
	}
)

const (
	// gatesUnknown is assumed until somebody has told how many gates there are: the
	// shares of gates that all start at once must not add up to more than the limit.
	gatesUnknown = 32
	// aloneAfter without any word a gate keeps to its share; some words may be lost.
	aloneAfter = 700 * time.Millisecond
	// silentWords that do not come leave a gate its share; more than one in a row may be
	// lost.
	silentWords = 5
	// goneAfter a silent gate's share is free for the others.
	goneAfter = 12 * time.Second
	// startTime is longer than a gate takes from its start until it hears the others.
	startTime = time.Second
	// startAfter is when to come back to a gate that starts.
	startAfter = 200 * time.Millisecond
	// settledAfter a gate that knew nothing has seen what others use.
	settledAfter = 2 * time.Second
	// rememberFor is how long a workspace without a limit keeps its level: one that
	// comes back has no new burst.
	rememberFor = time.Minute
	// lotTime is in which a gate draws once: a word reaches all others in it.
	lotTime = 150 * time.Millisecond
	// busyLeast of its draws a gate is taken to have a request in: all may have one at
	// once when a rush begins.
	busyLeast = 0.5
	// wordInterval is the time between words of up to manyGates; with more of them words
	// become rarer, or what each hears would grow with their square.
	wordInterval = 300 * time.Millisecond
	manyGates    = 100

	// What the operators tolerate is divided: startPart is there when nobody knows a
	// level, gracePart may be admitted beyond an empty bucket, since a
	// refusal below the limit costs a caller his answer, and untoldPart may be
	// admitted by all gates together before they tell. The rest is for what is on its
	// way meanwhile.
	startPart  = 0.25
	gracePart  = 0.125
	untoldPart = 0.25
	// debtPart is for requests larger than what is left, of gates that are alone.
	debtPart = 0.3
	// lowPart of a burst: below it words are urgent.
	lowPart = 0.5

	maxSize     = 1 << 30 // more is a fault of who tells it
	maxAfter    = 10 * time.Second
	minAfter    = 50 * time.Millisecond
	spreadPart  = 0.25 // of a time to come back, drawn, so that callers do not return together
	sharePrior  = 0.1  // of the rate, divided equally, where nobody has used much
	pullMost    = 0.25
	bucketsMost = 32 // that metrics show
	sweepEvery  = 100 * time.Millisecond
)

func (Admitted) decision() {}
func (Refused) decision()  {}

// Interval is the time between words that are not urgent, of so many gates.
func Interval(gates int) time.Duration {
	return wordInterval * time.Duration(max(gates, manyGates)) / manyGates
}

// lateAfter without a word a gate is late: a quarter of an interval covers its way.
func lateAfter(gates int) time.Duration { return Interval(gates) * 5 / 4 }

// New returns a ledger that knows no limits. Host names this gate, the same in all its
// lifetimes; lifetime tells this one from the others.
func New(host string, lifetime uint64, b Bounds, clock clockwork.Clock) *Ledger {
	now := clock.Now()
	return &Ledger{
		host: xxhash.Sum64String(host), lifetime: lifetime, bounds: b, clock: clock,
		now: now, started: now, swept: now, alone: true, gates: gatesUnknown,
		accounts: make(map[string]*account), byKey: make(map[uint64]*account), peers: make(map[uint64]*peer),
	}
}

// SetBounds changes what the operators tolerate.
func (l *Ledger) SetBounds(b Bounds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds = b
}

// SetGates tells how many gates there are, this one included.
func (l *Ledger) SetGates(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gates = max(n, 1)
}

// SetLimits puts the limits of a configuration in force. What was used stays used:
// a lower limit cuts the level at once, a higher one gives no burst. A workspace
// that is missing has no limit; one in unknown keeps what it has.
func (l *Ledger) SetLimits(limits map[string]Limit, unknown map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tick()
	for name, a := range l.accounts {
		if _, ok := limits[name]; !ok && !unknown[name] && a.limit.Rate > 0 {
			a.end(l)
		}
	}
	for name, limit := range limits {
		if !limit.valid() {
			continue
		}
		l.limit(name, limit)
	}
}

// SetLimit puts the limit of one account in force, as SetLimits does for all. A limit
// that is not valid takes it away.
func (l *Ledger) SetLimit(name string, limit Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tick()
	if limit.valid() {
		l.limit(name, limit)
		return
	}
	if a := l.accounts[name]; a != nil && a.limit.Rate > 0 {
		a.end(l)
	}
}

func (l *Ledger) limit(name string, limit Limit) {
	a := l.accounts[name]
	if a == nil {
		a = newAccount(name, l.now)
		l.accounts[name], l.byKey[a.key] = a, a
		a.limit = limit
		a.level = min(l.start(limit), limit.Burst)
		a.local = a.level * l.share(a)
		a.aside = a.level * l.missing
		a.level -= a.aside
		return
	}
	a.refill(l)
	a.limit = limit
	a.level = min(a.level, limit.Burst)
	a.local = min(a.local, limit.Burst*l.share(a))
}

// start is the level of a bucket of which nobody knows what was used.
func (l *Ledger) start(limit Limit) float64 { return startPart * l.tolerance(limit) }

// tolerance is what the operators tolerate beyond a limit in a window.
func (l *Ledger) tolerance(limit Limit) float64 {
	return l.bounds.Overage*(limit.Rate*l.bounds.Window.Seconds()+limit.Burst) + l.bounds.Slack
}

// least is the lowest level that is believed. More is a fault of who tells it.
func (l *Ledger) least(a *account) float64 { return -(a.limit.Burst + l.tolerance(a.limit)) }

// debt is how far this gate may go beyond its share while it is alone. If each gate could
// let in one large request beyond it, many gates would exceed a small limit together:
// a lot that is drawn for each window lets some do so and not the others.
func (l *Ledger) debt(a *account) float64 {
	window := max(l.bounds.Window, time.Second)
	var text [16]byte
	binary.BigEndian.PutUint64(text[:8], l.lifetime)
	binary.BigEndian.PutUint64(text[8:], uint64(l.now.Sub(l.started)/window))
	return debtPart * l.tolerance(a.limit) / (float64(l.gates) * lot(text[:]))
}

// lot gives a number above 0 and up to 1, always the same for a text.
func lot(text []byte) float64 { return (float64(xxhash.Sum64(text)>>11) + 1) / (1 << 53) }

// draw is this gate's lot for an account, drawn anew in each lotTime.
func (l *Ledger) draw(a *account) float64 {
	var text [24]byte
	binary.BigEndian.PutUint64(text[:8], l.lifetime)
	binary.BigEndian.PutUint64(text[8:16], a.key)
	binary.BigEndian.PutUint64(text[16:], uint64(l.now.Sub(l.started)/lotTime))
	return lot(text[:])
}

// Admit asks whether a request of a size may go on.
func (l *Ledger) Admit(workspace string, size float64) Decision {
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
	return Admitted{Tell: a.untold > l.lump(a) && a.level < lowPart*a.limit.Burst || 2*a.untold > l.unheard(a)}
}

// Ask tells what Admit would answer, and takes nothing.
func (l *Ledger) Ask(workspace string, size float64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil || a.limit.Rate <= 0 {
		return Admitted{}
	}
	return l.weigh(a, min(max(size, 0), maxSize))
}

// weigh decides on a request of a size. The caller holds the lock.
func (l *Ledger) weigh(a *account, size float64) Decision {
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
func (l *Ledger) mayUnheard(a *account, size float64) bool {
	used := max(a.untold, a.sinceHeard(l))
	if !l.bounds.Lots {
		return used < l.unheard(a)
	}
	return (used+size)*l.draw(a) <= l.unheard(a)/l.busy(a)
}

// lump is what a gate may admit untold where the bucket runs low.
func (l *Ledger) lump(a *account) float64 {
	return untoldPart * l.tolerance(a.limit) / float64(l.gates)
}

// busy is in how many of its draws this gate has a request.
func (l *Ledger) busy(a *account) float64 {
	return min(max(a.asked.rate*lotTime.Seconds(), busyLeast), 1)
}

// unheard is what a gate may admit before it has told the others, and before it has heard
// of them: with more, all gates together, or those that have just been cut off,
// would let in many times what is left before any knows.
func (l *Ledger) unheard(a *account) float64 {
	part, lumps := min(l.sharedOut(a)+1/float64(l.gates), 1), 2.0
	if l.bounds.Lots {
		lumps = 1 // several requests may be let in by one lot
	}
	return max(part*a.level, lumps*l.lump(a))
}

// refuse tells when what is left will be above 0 again. Who comes back cannot be told
// from who is new, as another gate takes him; so nothing is kept for him, and a
// longer time would only make his answer later.
func (l *Ledger) refuse(a *account, left float64) Refused {
	rate := a.limit.Rate
	if l.alone {
		rate *= l.share(a)
	}
	wait := -left / rate
	wait += rand.Float64() * spreadPart * wait
	r := Refused{Level: a.level, Unread: a.unread(l), Limit: a.limit, Alone: l.alone, After: maxAfter}
	if wait < maxAfter.Seconds() {
		r.After = max(time.Duration(wait*float64(time.Second)), minAfter)
	}
	if !l.heard.IsZero() {
		r.Age = l.now.Sub(l.heard)
		return r
	}
	if r.Starts = l.alone && l.gates > 1 && l.now.Sub(l.started) < startTime; r.Starts {
		r.After = min(r.After, startAfter+time.Duration(spreadPart*rand.Float64()*float64(startAfter)))
	}
	return r
}

// GiveBack returns what a request was admitted with that was proved not run.
func (l *Ledger) GiveBack(workspace string, size float64) {
	l.with(workspace, func(a *account) { a.giveBack(min(max(size, 0), maxSize)) })
}

// Charge takes what a request has used beyond its admission, as it ran once more.
func (l *Ledger) Charge(workspace string, size float64) {
	l.with(workspace, func(a *account) { a.take(min(max(size, 0), maxSize)) })
}

func (l *Ledger) with(workspace string, change func(*account)) {
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

// Age is the time since this lifetime began.
func (l *Ledger) Age() time.Duration { return l.clock.Since(l.started) }

// Limited tells whether any workspace has a limit.
func (l *Ledger) Limited() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		if a.limit.Rate > 0 {
			return true
		}
	}
	return false
}

// State gives the buckets that are asked most of, for metrics.
func (l *Ledger) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tick()
	s := State{Alone: l.alone, Settled: l.settled, Gates: l.gates, PassedOver: l.dropped}
	if !l.heard.IsZero() {
		s.HeardMillis = l.now.Sub(l.heard).Milliseconds()
	}
	for name, a := range l.accounts {
		if a.limit.Rate <= 0 || a.admitted+a.refused == 0 {
			continue
		}
		a.refill(l)
		s.Buckets = append(s.Buckets, Bucket{
			Workspace: name, Level: a.level, Unread: a.unread(l), Rate: a.limit.Rate, Burst: a.limit.Burst,
			Used: a.total, Admitted: a.admitted, Refused: a.refused,
		})
	}
	slices.SortFunc(s.Buckets, func(x, y Bucket) int {
		return cmp.Or(cmp.Compare(y.Refused, x.Refused), cmp.Compare(y.Used, x.Used), cmp.Compare(x.Workspace, y.Workspace))
	})
	s.Buckets = s.Buckets[:min(len(s.Buckets), bucketsMost)]
	return s
}

// tick takes over the time, and looks now and then who has fallen silent.
func (l *Ledger) tick() {
	if now := l.clock.Now(); now.After(l.now) {
		l.now = now
	}
	if l.now.Sub(l.swept) < sweepEvery {
		return
	}
	l.swept = l.now
	l.sweep()
}

func (l *Ledger) sweep() {
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
		if a.limit.Rate <= 0 && l.now.Sub(a.ended) > cmp.Or(l.bounds.Remember, rememberFor) {
			delete(l.accounts, name)
			delete(l.byKey, a.key)
		}
	}
}

// settle ends that the levels are those of a gate that has just started.
func (l *Ledger) settle() {
	l.settled = true
	for _, a := range l.accounts {
		a.aside = 0
	}
}

// count works out which part of the gates is not heard.
func (l *Ledger) count() {
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
func (l *Ledger) goAlone() {
	for _, a := range l.accounts {
		a.refill(l)
		a.local = (a.level - a.unread(l)) * a.part
	}
	l.alone, l.settled = true, false
}

// join ends that this gate is alone. The others have probably left as much of their
// shares as it has of its own; but a debt is of one large request here, and those of the
// others are told.
func (l *Ledger) join() {
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
func (l *Ledger) share(a *account) float64 {
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
func (l *Ledger) sharedOut(a *account) float64 {
	a.own.turn(l.now, shareTime)
	return a.partOf(l, a.own.rate)
}

func (x Limit) valid() bool {
	return x.Rate > 0 && x.Burst >= 0 && !math.IsInf(x.Rate, 0) && !math.IsInf(x.Burst, 0) && !math.IsNaN(x.Burst)
}
