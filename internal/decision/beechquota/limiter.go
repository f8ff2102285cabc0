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
	// Limit is the limit of a workspace over all gates together, in the unit of its
	// requests' sizes (tokens or requests). A Rate of 0 means no limit.
	Limit struct {
		Rate  float64 // per second
		Burst float64
	}

	// Bounds say how far a limit may be exceeded: the requests admitted in any Window add
	// up to at most (Rate * Window + Burst) * (1 + Overage) + Slack.
	Bounds struct {
		Window  time.Duration
		Overage float64
		Slack   float64
		// RandomDraw selects at random which gates may admit a request that exceeds a gate's
		// part of what may be admitted before the others are informed. Without it, where a
		// limit is below one request per second and gate, either no gate or all gates at once
		// would admit one.
		RandomDraw bool
		// Retention is how long the usage of an account is kept after its limit was removed;
		// 0 selects defaultRetention.
		Retention time.Duration
	}

	// Decision is the answer to Admit: Admitted or Refused.
	Decision interface{ decision() }

	// Admitted lets a request through. Urgent means that the other gates must be sent an
	// update at once.
	Admitted struct{ Urgent bool }

	// Refused rejects a request before it has run. The fields below After are the values
	// that led to the decision.
	Refused struct {
		After     time.Duration // when something will be available, if no others come
		Available float64       // what may be admitted now; negative is a debt
		Rate      float64       // at which it grows: the limit's, or the share of an isolated gate
		// Undisclosed is what the other gates may have admitted without having told this one.
		Undisclosed float64
		Level       float64 // estimated level of the bucket
		Unreported  float64 // estimated usage at other gates since their last updates
		Limit       Limit
		Isolated    bool          // no updates arrive from other gates
		Starting    bool          // this gate has just started and is about to receive updates
		Settled     bool          // the level is known, see Update.Settled; until then it rises as the gate hears the others
		UpdateAge   time.Duration // time since the last update was received; 0 if there was none
	}

	// Limiter enforces all quotas at one gate. It is safe for concurrent use.
	Limiter struct {
		host, lifetime uint64
		clock          clockwork.Clock

		mu              sync.Mutex
		bounds          Bounds
		now             time.Time // never steps back
		started         time.Time
		limited         bool // limits were set once
		lastSweep       time.Time
		lastReceived    time.Time // when another gate's update was last received
		isolated        bool
		received        int     // number of updates received
		unseenShare     float64 // fraction of the gates that have not been heard from, or are gone
		settled         bool    // the levels were adopted from another gate, or are based on settledAfter of updates
		gates           int
		accounts        map[string]*account
		byHash          map[uint64]*account
		peers           map[uint64]*peer // by host
		discarded       Discarded
		levelsRequested bool // another gate does not know the levels yet
	}

	// State is a snapshot of a limiter for metrics.
	State struct {
		Isolated        bool `json:"Alone"` // no updates arrive from other gates
		Settled         bool // see Update.Settled
		Gates           int
		UpdateAgeMillis int64     `json:"HeardMillis"` // since the last update was received
		Discarded       Discarded `json:"PassedOver"`
		Buckets         []Bucket  // those with the most refusals first
	}

	// Bucket is the state of a workspace's bucket.
	Bucket struct {
		Workspace         string
		Level             float64 // estimated remainder over all gates
		Unreported        float64 `json:"Unread"` // estimated usage at other gates since their last updates
		Rate, Burst       float64
		Used              float64 // at this gate, in this lifetime
		Admitted, Refused int     // requests at this gate
	}

	// Discarded counts updates and totals that were ignored.
	Discarded struct {
		Superseded int `json:"Old"`     // updates of a lifetime that a later one has replaced
		Decreasing int `json:"Falling"` // totals that are lower than an earlier one
		Own        int `json:"Own"`     // this gate's own updates
	}
)

const (
	// assumedGates is the number of gates until SetGates is called. The shares of gates
	// that all start at once must not add up to more than the limit.
	assumedGates = 32
	// isolatedAfter is the time without any update after which a gate limits itself to its
	// own share. It is longer than updateInterval because some updates may be lost.
	isolatedAfter = 700 * time.Millisecond
	// silentUpdates is the number of missing updates after which a peer counts as silent
	// and its share of the rate is left to it. Several updates in a row may be lost.
	silentUpdates = 5
	// goneAfter is the time after which a silent gate's share is used by the others.
	goneAfter = 12 * time.Second
	// startupTime is longer than a gate takes from its start until it receives updates.
	startupTime = time.Second
	// startupRetryAfter is when callers should retry at a gate that is starting.
	startupRetryAfter = 200 * time.Millisecond
	// settledAfter is the time after which a gate that adopted no levels has observed the
	// others' usage for long enough to rely on its own.
	settledAfter = 2 * time.Second
	// defaultRetention is how long the level of a workspace without a limit is kept, so
	// that removing a limit and restoring it does not grant another burst.
	defaultRetention = time.Minute
	// drawInterval is the interval in which a gate draws once. An update reaches all other
	// gates within it.
	drawInterval = 150 * time.Millisecond
	// minRequestProbability is the lowest probability that is assumed for a gate to have a
	// request within a drawInterval: when a burst begins, all gates may have one at once.
	minRequestProbability = 0.5
	// updateInterval is the time between the updates of each of up to baseGates gates.
	// With more gates updates become less frequent; otherwise the number of updates
	// received by all gates together would grow with the square of the number of gates.
	updateInterval = 300 * time.Millisecond
	baseGates      = 100

	// The tolerance (what Bounds allow beyond a limit) is divided up. initialFraction of
	// it is the initial level when no gate knows the level. graceFraction may be admitted
	// beyond an empty bucket, because a refusal below the limit costs a caller its answer.
	// unsentFraction may be admitted by all gates together before they send updates. The
	// rest covers requests admitted while updates are in transit.
	initialFraction = 0.25
	graceFraction   = 0.125
	unsentFraction  = 0.25
	// debtFraction of the tolerance is for requests larger than the remaining level that
	// isolated gates admit.
	debtFraction = 0.3
	// lowFraction is the fraction of a burst below which usage is reported at once.
	lowFraction = 0.5

	maxSize        = 1 << 30 // larger sizes are errors of the caller
	maxAfter       = 10 * time.Second
	minAfter       = 50 * time.Millisecond
	jitterFraction = 0.25 // random part that is added to a retry time, so that callers do not return together
	sharePrior     = 0.1  // fraction of the rate that is divided equally, for shares where little has been used
	// maxLevelCorrection is the largest part of the difference to a peer's level that one
	// of its updates corrects.
	maxLevelCorrection = 0.25
	maxBuckets         = 32 // in State
	sweepInterval      = 100 * time.Millisecond
)

func (Admitted) decision() {}
func (Refused) decision()  {}

// UpdateInterval returns the time between two updates of a gate that are not urgent, for
// the given number of gates.
func UpdateInterval(gates int) time.Duration {
	return updateInterval * time.Duration(max(gates, baseGates)) / baseGates
}

// lateAfter returns the time without an update after which a peer counts as late. A quarter
// of an interval allows for transit.
func lateAfter(gates int) time.Duration { return UpdateInterval(gates) * 5 / 4 }

// New returns a limiter without limits. host identifies this gate and stays the same over
// restarts; lifetime is unique to this run of it.
func New(host string, lifetime uint64, b Bounds, clock clockwork.Clock) *Limiter {
	now := clock.Now()
	return &Limiter{
		host: xxhash.Sum64String(host), lifetime: lifetime, bounds: b, clock: clock,
		now: now, started: now, lastSweep: now, isolated: true, gates: assumedGates,
		accounts: make(map[string]*account), byHash: make(map[uint64]*account), peers: make(map[uint64]*peer),
	}
}

// SetBounds replaces the bounds on how far limits may be exceeded.
func (l *Limiter) SetBounds(b Bounds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds = b
}

// SetGates sets the number of gates, including this one.
func (l *Limiter) SetGates(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gates = max(n, 1)
}

// SetLimits applies the limits of a configuration. Usage is kept: a lower limit cuts the
// level at once, and a higher one does not grant a burst. Workspaces missing from limits
// have no limit, except that those in unknown (their configured quota cannot be used) keep
// their current one. Invalid limits are ignored.
func (l *Limiter) SetLimits(limits map[string]Limit, unknown map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateTime()
	for name, a := range l.accounts {
		if _, ok := limits[name]; !ok && !unknown[name] && a.limit.Rate > 0 {
			a.removeLimit(l)
		}
	}
	for name, limit := range limits {
		if !limit.valid() {
			continue
		}
		l.setLimit(name, limit)
	}
	l.limited = true
}

// SetLimit applies the limit of one account in the same way. An invalid limit, such as the
// zero Limit, removes it.
func (l *Limiter) SetLimit(name string, limit Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateTime()
	if limit.valid() {
		l.setLimit(name, limit)
		return
	}
	if a := l.accounts[name]; a != nil && a.limit.Rate > 0 {
		a.removeLimit(l)
	}
}

func (l *Limiter) setLimit(name string, limit Limit) {
	a := l.accounts[name]
	if a == nil {
		a = newAccount(name, l.now)
		if !l.limited {
			a.refilledAt = l.started // this gate has granted nothing since
		}
		l.accounts[name], l.byHash[a.hash] = a, a
		a.limit = limit
		a.level = min(l.initialLevel(limit), limit.Burst)
		a.localLevel = a.level * l.localShare(a)
		a.unseenReserve = a.level * l.unseenShare
		a.level -= a.unseenReserve
		return
	}
	a.refill(l)
	a.limit = limit
	a.level = min(a.level, limit.Burst)
	a.localLevel = min(a.localLevel, limit.Burst*l.localShare(a))
}

// initialLevel returns the level of a new bucket whose usage no gate knows.
func (l *Limiter) initialLevel(limit Limit) float64 { return initialFraction * l.tolerance(limit) }

// tolerance returns how much may be admitted beyond a limit in one window.
func (l *Limiter) tolerance(limit Limit) float64 {
	return l.bounds.Overage*(limit.Rate*l.bounds.Window.Seconds()+limit.Burst) + l.bounds.Slack
}

// minLevel returns the lowest plausible level. Lower ones come from faulty peers.
func (l *Limiter) minLevel(a *account) float64 { return -(a.limit.Burst + l.tolerance(a.limit)) }

// Age returns the time since the limiter was created.
func (l *Limiter) Age() time.Duration { return l.clock.Since(l.started) }

// Limit returns the limit of a workspace, and false if it has none.
func (l *Limiter) Limit(workspace string) (Limit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil || a.limit.Rate <= 0 {
		return Limit{}, false
	}
	return a.limit, true
}

// HasLimits reports whether any account has a limit.
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

// State returns a snapshot with the buckets that had the most requests refused or admitted.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateTime()
	s := State{Isolated: l.isolated, Settled: l.settled, Gates: l.gates, Discarded: l.discarded}
	if !l.lastReceived.IsZero() {
		s.UpdateAgeMillis = l.now.Sub(l.lastReceived).Milliseconds()
	}
	for name, a := range l.accounts {
		if a.limit.Rate <= 0 || a.admitted+a.refused == 0 {
			continue
		}
		a.refill(l)
		s.Buckets = append(s.Buckets, Bucket{
			Workspace: name, Level: a.level, Unreported: a.unreported(l), Rate: a.limit.Rate, Burst: a.limit.Burst,
			Used: a.total, Admitted: a.admitted, Refused: a.refused,
		})
	}
	slices.SortFunc(s.Buckets, func(x, y Bucket) int {
		return cmp.Or(cmp.Compare(y.Refused, x.Refused), cmp.Compare(y.Used, x.Used), cmp.Compare(x.Workspace, y.Workspace))
	})
	s.Buckets = s.Buckets[:min(len(s.Buckets), maxBuckets)]
	return s
}

func (x Limit) valid() bool {
	return x.Rate > 0 && x.Burst >= 0 && !math.IsInf(x.Rate, 0) && !math.IsInf(x.Burst, 0) && !math.IsNaN(x.Burst)
}
