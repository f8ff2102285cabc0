package beechquota

import (
	"cmp"
	"math"
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
		RandomDraw bool
		// Remember is how long an account without a limit keeps what was used; 0 is
		// rememberFor.
		Retention time.Duration
	}

	// Decision is the answer to Admit: Admitted or Refused.
	Decision interface{ decision() }

	// Admitted lets a request go on. Tell says that the other gates are to hear of
	// it at once.
	Admitted struct{ Urgent bool }

	// Refused turns a request away, not run. The rest is what decided it.
	Refused struct {
		After      time.Duration // when to come back
		Level      float64       // of the bucket, as believed
		Unreported float64       // reckoned to be admitted elsewhere since the last words
		Limit      Limit
		Isolated   bool          // no other gate is heard
		Starting   bool          // this gate has just started, and will hear the others soon
		UpdateAge  time.Duration // of the last word heard; 0 where there was none
	}

	// Limiter is one gate's view of all quotas. It is safe for concurrent use.
	Limiter struct {
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
		dropped  Discarded
		asked    bool // another gate does not know the levels
	}

	// State is what a ledger believes.
	State struct {
		Isolated        bool `json:"Alone"` // no other gate is heard
		Settled         bool // levels stand on what others told
		Gates           int
		UpdateAgeMillis int64     `json:"HeardMillis"` // since the last word
		Discarded       Discarded `json:"PassedOver"`
		Buckets         []Bucket  // those with most refusals first
	}

	// Bucket is the state of a workspace's bucket.
	Bucket struct {
		Workspace         string
		Level             float64 // believed to be left over all gates
		Unreported        float64 `json:"Unread"` // reckoned to be admitted elsewhere since the last words
		Rate, Burst       float64
		Used              float64 // here, in this lifetime
		Admitted, Refused int     // requests here
	}

	// Discarded counts words and totals that were passed over.
	Discarded struct {
		Superseded int `json:"Old"`     // of a lifetime that another one has followed
		Decreasing int `json:"Falling"` // totals that fell
		Own        int `json:"Own"`     // this gate's own
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

// UpdateInterval is the time between words that are not urgent, of so many gates.
func UpdateInterval(gates int) time.Duration {
	return wordInterval * time.Duration(max(gates, manyGates)) / manyGates
}

// lateAfter without a word a gate is late: a quarter of an interval covers its way.
func lateAfter(gates int) time.Duration { return UpdateInterval(gates) * 5 / 4 }

// New returns a ledger that knows no limits. Host names this gate, the same in all its
// lifetimes; lifetime tells this one from the others.
func New(host string, lifetime uint64, b Bounds, clock clockwork.Clock) *Limiter {
	now := clock.Now()
	return &Limiter{
		host: xxhash.Sum64String(host), lifetime: lifetime, bounds: b, clock: clock,
		now: now, started: now, swept: now, alone: true, gates: gatesUnknown,
		accounts: make(map[string]*account), byKey: make(map[uint64]*account), peers: make(map[uint64]*peer),
	}
}

// SetBounds changes what the operators tolerate.
func (l *Limiter) SetBounds(b Bounds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds = b
}

// SetGates tells how many gates there are, this one included.
func (l *Limiter) SetGates(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gates = max(n, 1)
}

// SetLimits puts the limits of a configuration in force. What was used stays used:
// a lower limit cuts the level at once, a higher one gives no burst. A workspace
// that is missing has no limit; one in unknown keeps what it has.
func (l *Limiter) SetLimits(limits map[string]Limit, unknown map[string]bool) {
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
func (l *Limiter) SetLimit(name string, limit Limit) {
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

func (l *Limiter) limit(name string, limit Limit) {
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
func (l *Limiter) start(limit Limit) float64 { return startPart * l.tolerance(limit) }

// tolerance is what the operators tolerate beyond a limit in a window.
func (l *Limiter) tolerance(limit Limit) float64 {
	return l.bounds.Overage*(limit.Rate*l.bounds.Window.Seconds()+limit.Burst) + l.bounds.Slack
}

// least is the lowest level that is believed. More is a fault of who tells it.
func (l *Limiter) least(a *account) float64 { return -(a.limit.Burst + l.tolerance(a.limit)) }

// Age is the time since this lifetime began.
func (l *Limiter) Age() time.Duration { return l.clock.Since(l.started) }

// HasLimits tells whether any workspace has a limit.
func (l *Limiter) HasLimits() bool {
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
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tick()
	s := State{Isolated: l.alone, Settled: l.settled, Gates: l.gates, Discarded: l.dropped}
	if !l.heard.IsZero() {
		s.UpdateAgeMillis = l.now.Sub(l.heard).Milliseconds()
	}
	for name, a := range l.accounts {
		if a.limit.Rate <= 0 || a.admitted+a.refused == 0 {
			continue
		}
		a.refill(l)
		s.Buckets = append(s.Buckets, Bucket{
			Workspace: name, Level: a.level, Unreported: a.unread(l), Rate: a.limit.Rate, Burst: a.limit.Burst,
			Used: a.total, Admitted: a.admitted, Refused: a.refused,
		})
	}
	slices.SortFunc(s.Buckets, func(x, y Bucket) int {
		return cmp.Or(cmp.Compare(y.Refused, x.Refused), cmp.Compare(y.Used, x.Used), cmp.Compare(x.Workspace, y.Workspace))
	})
	s.Buckets = s.Buckets[:min(len(s.Buckets), bucketsMost)]
	return s
}

func (x Limit) valid() bool {
	return x.Rate > 0 && x.Burst >= 0 && !math.IsInf(x.Rate, 0) && !math.IsInf(x.Burst, 0) && !math.IsNaN(x.Burst)
}
