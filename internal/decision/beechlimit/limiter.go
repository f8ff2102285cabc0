package beechlimit

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry time told to rejected
	// callers.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Minute

	// initialDuration is the assumed duration of a request until one has
	// completed.
	initialDuration = time.Second

	// durationSmoothing is the divisor of the exponential moving average of
	// request durations: roughly the number of recent requests that it covers.
	durationSmoothing = 8

	// maxRequestTokens caps the token counts reported for a request; a higher
	// count is a fault.
	maxRequestTokens = 1 << 30

	secondsPerMinute = 60.0
)

type (
	// Limit is a workspace's limit over all entry hosts together. Fields that are
	// zero or less mean unlimited.
	Limit struct {
		Requests   int // per minute
		Tokens     int // per minute, prompt and output
		Concurrent int
	}

	// Settings configures a Limiter. Invalid and zero fields are taken from Defaults.
	Settings struct {
		// Burst is the capacity of the token buckets, as a time at the full rate.
		Burst time.Duration
		// GrowthDelay is how long a lower number of entry hosts must persist
		// before this host's share grows.
		GrowthDelay time.Duration
		// Skew multiplies each host's share, for workspaces whose requests a load
		// balancer spreads unevenly. The limits may be exceeded by up to this factor.
		Skew float64
		// EntryHosts is the assumed number of entry hosts until SetEntryHosts is
		// called.
		EntryHosts int
	}

	// Reason says why a request was rejected.
	Reason string

	// Decision is the result of Admit: Admitted or Rejected.
	Decision interface{ decision() }

	// Admitted lets a request proceed. The caller must call Release or Cancel on
	// the grant when the request has ended.
	Admitted struct{ Grant *Grant }

	// Rejected means that the request must not run. RetryAfter says when to
	// retry; 0 means never, unless the configuration changes.
	Rejected struct {
		Reason     Reason
		RetryAfter time.Duration
	}

	// Usage is the number of tokens a request used. If Known is false, no usage was
	// reported and the estimate is kept.
	Usage struct {
		Known  bool
		Tokens int
	}

	// Grant is the reservation made for an admitted request.
	Grant struct {
		limiter    *Limiter
		state      *workspaceState
		tokens     int
		admittedAt time.Time
		ended      bool
	}

	// Limiter enforces this entry host's share of the limits. It is safe for
	// concurrent use.
	Limiter struct {
		mu         sync.Mutex
		settings   Settings
		clock      clockwork.Clock
		now        time.Time // never steps back
		hosts      hostCount
		workspaces map[string]*workspaceState
	}

	// workspaceState is a workspace's limits and usage on this host.
	workspaceState struct {
		limit        Limit
		requests     bucket
		tokens       bucket
		refilledAt   time.Time
		running      int
		maxRunning   int           // this host's share of Concurrent; 0 is unlimited
		meanDuration time.Duration // of a request
	}
)

// Reasons for rejection.
const (
	ReasonUnknown    Reason = "workspace"
	ReasonRequests   Reason = "requests"
	ReasonTokens     Reason = "tokens"
	ReasonConcurrent Reason = "concurrency"
	ReasonTooLarge   Reason = "size"
)

// Defaults are the default settings; the package comment explains them.
var Defaults = Settings{Burst: 5 * time.Second, GrowthDelay: 15 * time.Second, Skew: 1, EntryHosts: 1}

func (Admitted) decision() {}
func (Rejected) decision() {}

// New returns a Limiter without any workspaces.
func New(s Settings, c clockwork.Clock) *Limiter {
	s = s.withDefaults()
	return &Limiter{
		settings:   s,
		clock:      c,
		now:        c.Now(),
		hosts:      hostCount{current: s.EntryHosts},
		workspaces: make(map[string]*workspaceState),
	}
}

func (s Settings) withDefaults() Settings {
	if s.Burst <= 0 {
		s.Burst = Defaults.Burst
	}
	if s.GrowthDelay <= 0 {
		s.GrowthDelay = Defaults.GrowthDelay
	}
	if !(s.Skew >= 1) { // also true for NaN
		s.Skew = Defaults.Skew
	}
	if s.EntryHosts < 1 {
		s.EntryHosts = Defaults.EntryHosts
	}
	return s
}

// SetLimits replaces the limits of all workspaces. Usage so far still counts.
// Requests of a workspace that is missing are rejected from now on.
func (l *Limiter) SetLimits(limits map[string]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	for name := range l.workspaces {
		if _, ok := limits[name]; !ok {
			delete(l.workspaces, name)
		}
	}
	for name, limit := range limits {
		w := l.workspaces[name]
		if w == nil {
			w = &workspaceState{refilledAt: l.now, meanDuration: initialDuration}
			l.workspaces[name] = w
		}
		w.limit = limit
		l.applyShare(w)
	}
}

// SetEntryHosts sets the number of live entry hosts, including this one. This
// host's share shrinks immediately and grows after GrowthDelay. A number below 1
// means that this host is cut off, and leaves the share unchanged.
func (l *Limiter) SetEntryHosts(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	before := l.hosts.current
	l.hosts.observe(n, l.now)
	if l.hosts.current != before {
		l.applyShares()
	}
}

// Admit decides whether a request may proceed, given its estimated tokens.
func (l *Limiter) Admit(workspace string, tokens int) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	w := l.workspaces[workspace]
	if w == nil {
		return Rejected{Reason: ReasonUnknown}
	}
	tokens = min(max(tokens, 0), maxRequestTokens)
	if w.limit.Tokens > 0 && tokens > w.limit.Tokens {
		return Rejected{Reason: ReasonTooLarge}
	}
	w.refill(l.now)
	if r, rejected := w.check(tokens); rejected {
		return r
	}
	w.running++
	w.requests.take(1)
	w.tokens.take(float64(tokens))
	return Admitted{Grant: &Grant{limiter: l, state: w, tokens: tokens, admittedAt: l.now}}
}

// Release ends a request that was sent to a server, and reconciles the reserved
// tokens with its usage. A second call does nothing.
func (g *Grant) Release(u Usage) {
	g.end(func(w *workspaceState) {
		if u.Known {
			w.tokens.refund(float64(g.tokens - min(max(u.Tokens, 0), maxRequestTokens)))
		}
		w.meanDuration += (g.limiter.now.Sub(g.admittedAt) - w.meanDuration) / durationSmoothing
	})
}

// Cancel ends a request that provably did not run, and refunds all of it. A second
// call, or a call after Release, does nothing.
func (g *Grant) Cancel() {
	g.end(func(w *workspaceState) {
		w.tokens.refund(float64(g.tokens))
		w.requests.refund(1)
	})
}

func (g *Grant) end(update func(*workspaceState)) {
	g.limiter.mu.Lock()
	defer g.limiter.mu.Unlock()
	if g.ended {
		return
	}
	g.ended = true
	g.limiter.advance()
	g.state.running--
	g.state.refill(g.limiter.now)
	update(g.state)
}

// advance reads the clock and applies a lower host count once its delay has
// passed. Time stands still while the clock steps back; otherwise the buckets
// would drain on their own.
func (l *Limiter) advance() {
	if now := l.clock.Now(); now.After(l.now) {
		l.now = now
	}
	if l.hosts.shrink(l.now, l.settings.GrowthDelay) {
		l.applyShares()
	}
}

func (l *Limiter) applyShares() {
	for _, w := range l.workspaces {
		l.applyShare(w)
	}
}

// applyShare sets a workspace's limits to this host's share. The concurrency limit
// is rounded down, so that the hosts together do not exceed it, but each host
// admits at least one request, even if the limit is below the number of hosts.
func (l *Limiter) applyShare(w *workspaceState) {
	w.refill(l.now)
	fraction := min(1, l.settings.Skew/float64(l.hosts.current))
	requests := float64(max(w.limit.Requests, 0))
	rate := fraction * requests / secondsPerMinute
	w.requests.configure(rate, max(1, rate*l.settings.Burst.Seconds()), requests)
	tokens := float64(max(w.limit.Tokens, 0))
	rate = fraction * tokens / secondsPerMinute
	w.tokens.configure(rate, rate*l.settings.Burst.Seconds(), tokens)
	w.maxRunning = 0
	if w.limit.Concurrent > 0 {
		w.maxRunning = max(1, int(fraction*float64(w.limit.Concurrent)))
	}
}

func (w *workspaceState) refill(now time.Time) {
	elapsed := now.Sub(w.refilledAt)
	w.refilledAt = now
	w.requests.refill(elapsed)
	w.tokens.refill(elapsed)
}

func (w *workspaceState) check(tokens int) (r Rejected, rejected bool) {
	if w.maxRunning > 0 && w.running >= w.maxRunning {
		return Rejected{Reason: ReasonConcurrent, RetryAfter: clampRetryAfter(w.meanDuration / time.Duration(w.maxRunning))}, true
	}
	if w.requests.exhausted() {
		return Rejected{Reason: ReasonRequests, RetryAfter: clampRetryAfter(w.requests.retryAfter(1))}, true
	}
	if w.tokens.exhausted() {
		return Rejected{Reason: ReasonTokens, RetryAfter: clampRetryAfter(w.tokens.retryAfter(float64(tokens)))}, true
	}
	return Rejected{}, false
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }
