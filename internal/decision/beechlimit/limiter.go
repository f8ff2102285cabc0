package beechlimit

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// minAfter and maxAfter bound when a refused caller is asked back.
	minAfter = 50 * time.Millisecond
	maxAfter = time.Minute

	// firstHold is how long a request is reckoned to take before one has ended.
	firstHold = time.Second

	// holdMemory is how many requests the mean time of one goes back.
	holdMemory = 8

	// maxTokens bounds what is told of a request; more is a fault.
	maxTokens = 1 << 30

	minute = 60.0 // seconds
)

type (
	// Limit bounds a workspace over all entry hosts together. Zero or less is
	// no bound.
	Limit struct {
		Requests   int // a minute
		Tokens     int // a minute, prompt and output
		Concurrent int
	}

	// Settings of the limiter. Zero values are taken from Defaults.
	Settings struct {
		// Burst is how much of the rates may be used at once after a quiet time.
		Burst time.Duration
		// GrowthDelay is how long a smaller number of entry hosts must last before
		// the share of this one grows.
		GrowthDelay time.Duration
		// Skew raises each host's share for callers that the balancer spreads
		// unevenly; the limits are then exceeded by up to this factor.
		Skew float64
		// EntryHosts is the number of hosts reckoned with until one is told.
		EntryHosts int
	}

	// Reason says which bound refused a request.
	Reason string

	// Decision is the answer to Admit: Admitted or Refuse.
	Decision interface{ decision() }

	// Admitted lets a request go on. The grant must be ended once the request
	// has.
	Admitted struct{ Grant *Grant }

	// Rejected turns a request away, not run. After says when to come back; 0 is
	// never, unless the configuration changes.
	Rejected struct {
		Reason     Reason
		RetryAfter time.Duration
	}

	// Usage is what a request took in tokens. Known is false where nothing
	// was said; then the estimate stands.
	Usage struct {
		Known  bool
		Tokens int
	}

	// Grant holds what was reserved for a request.
	Grant struct {
		limiter *Limiter
		account *account
		tokens  int
		since   time.Time
		ended   bool
	}

	// Limiter holds this entry host's share of the limits. It is safe for
	// concurrent use.
	Limiter struct {
		mu       sync.Mutex
		settings Settings
		clock    clockwork.Clock
		now      time.Time // never steps back
		share    share
		accounts map[string]*account
	}

	// account is one workspace's state here.
	account struct {
		limit    Limit
		requests bucket
		tokens   bucket
		refilled time.Time
		running  int
		slots    int           // of Concurrent, this host's; 0 is no bound
		hold     time.Duration // mean time of a request
	}
)

// Reasons of Refuse.
const (
	ReasonUnknown    Reason = "workspace"
	ReasonRequests   Reason = "requests"
	ReasonTokens     Reason = "tokens"
	ReasonConcurrent Reason = "concurrency"
	ReasonTooLarge   Reason = "size"
)

// Defaults are the settings where none are given; the package comment says
// why.
var Defaults = Settings{Burst: 5 * time.Second, GrowthDelay: 15 * time.Second, Skew: 1, EntryHosts: 1}

func (Admitted) decision() {}
func (Rejected) decision() {}

// New returns a limiter that knows no workspace yet.
func New(s Settings, c clockwork.Clock) *Limiter {
	s = s.withDefaults()
	return &Limiter{
		settings: s,
		clock:    c,
		now:      c.Now(),
		share:    share{entries: s.EntryHosts},
		accounts: make(map[string]*account),
	}
}

func (s Settings) withDefaults() Settings {
	if s.Burst <= 0 {
		s.Burst = Defaults.Burst
	}
	if s.GrowthDelay <= 0 {
		s.GrowthDelay = Defaults.GrowthDelay
	}
	if !(s.Skew >= 1) { // also not a number
		s.Skew = Defaults.Skew
	}
	if s.EntryHosts < 1 {
		s.EntryHosts = Defaults.EntryHosts
	}
	return s
}

// SetLimits puts the limits of a configuration in force. What was used stays
// used. A workspace that is missing is refused from here on.
func (l *Limiter) SetLimits(limits map[string]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tick()
	for name := range l.accounts {
		if _, ok := limits[name]; !ok {
			delete(l.accounts, name)
		}
	}
	for name, limit := range limits {
		a := l.accounts[name]
		if a == nil {
			a = &account{refilled: l.now, hold: firstHold}
			l.accounts[name] = a
		}
		a.limit = limit
		l.divide(a)
	}
}

// SetEntryHosts tells how many entry hosts are seen live, this one included. The
// share shrinks at once and grows late. Less than 1 means that this host is cut
// off and leaves the share as it is.
func (l *Limiter) SetEntryHosts(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tick()
	before := l.share.entries
	l.share.told(n, l.now)
	if l.share.entries != before {
		l.divideAll()
	}
}

// Admit asks whether a request with an estimate of tokens may go on.
func (l *Limiter) Admit(workspace string, tokens int) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tick()
	a := l.accounts[workspace]
	if a == nil {
		return Rejected{Reason: ReasonUnknown}
	}
	tokens = min(max(tokens, 0), maxTokens)
	if a.limit.Tokens > 0 && tokens > a.limit.Tokens {
		return Rejected{Reason: ReasonTooLarge}
	}
	a.refill(l.now)
	if r, refused := a.refuse(tokens); refused {
		return r
	}
	a.running++
	a.requests.take(1)
	a.tokens.take(float64(tokens))
	return Admitted{Grant: &Grant{limiter: l, account: a, tokens: tokens, since: l.now}}
}

// Release ends a request that was sent to a server. Tokens are corrected to
// what it took. A second call does nothing.
func (g *Grant) Release(u Usage) {
	g.end(func(a *account) {
		if u.Known {
			a.tokens.giveBack(float64(g.tokens - min(max(u.Tokens, 0), maxTokens)))
		}
		a.hold += (g.limiter.now.Sub(g.since) - a.hold) / holdMemory
	})
}

// Cancel ends a request that was proved not run; all of it is given back. A
// second call, or one after Release, does nothing.
func (g *Grant) Cancel() {
	g.end(func(a *account) {
		a.tokens.giveBack(float64(g.tokens))
		a.requests.giveBack(1)
	})
}

func (g *Grant) end(settle func(*account)) {
	g.limiter.mu.Lock()
	defer g.limiter.mu.Unlock()
	if g.ended {
		return
	}
	g.ended = true
	g.limiter.tick()
	g.account.running--
	g.account.refill(g.limiter.now)
	settle(g.account)
}

// tick takes over the time, which stands still while the clock steps back: the
// buckets would drain by themselves otherwise.
func (l *Limiter) tick() {
	if now := l.clock.Now(); now.After(l.now) {
		l.now = now
	}
	if l.share.settle(l.now, l.settings.GrowthDelay) {
		l.divideAll()
	}
}

func (l *Limiter) divideAll() {
	for _, a := range l.accounts {
		l.divide(a)
	}
}

// divide gives an account this host's part of its limit. Slots are rounded
// down, so that together they are not exceeded, but each host has one: with
// fewer than hosts, up to one a host may run.
func (l *Limiter) divide(a *account) {
	a.refill(l.now)
	part := min(1, l.settings.Skew/float64(l.share.entries))
	requests := float64(max(a.limit.Requests, 0))
	rate := part * requests / minute
	a.requests.configure(rate, max(1, rate*l.settings.Burst.Seconds()), requests)
	tokens := float64(max(a.limit.Tokens, 0))
	rate = part * tokens / minute
	a.tokens.configure(rate, rate*l.settings.Burst.Seconds(), tokens)
	a.slots = 0
	if a.limit.Concurrent > 0 {
		a.slots = max(1, int(part*float64(a.limit.Concurrent)))
	}
}

func (a *account) refill(now time.Time) {
	passed := now.Sub(a.refilled)
	a.refilled = now
	a.requests.refill(passed)
	a.tokens.refill(passed)
}

func (a *account) refuse(tokens int) (r Rejected, refused bool) {
	if a.slots > 0 && a.running >= a.slots {
		return Rejected{Reason: ReasonConcurrent, RetryAfter: bounded(a.hold / time.Duration(a.slots))}, true
	}
	if a.requests.empty() {
		return Rejected{Reason: ReasonRequests, RetryAfter: bounded(a.requests.after(1))}, true
	}
	if a.tokens.empty() {
		return Rejected{Reason: ReasonTokens, RetryAfter: bounded(a.tokens.after(float64(tokens)))}, true
	}
	return Rejected{}, false
}

func bounded(d time.Duration) time.Duration { return min(max(d, minAfter), maxAfter) }
