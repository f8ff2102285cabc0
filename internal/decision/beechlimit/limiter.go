package beechlimit

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// Limit bounds a workspace over all entry hosts together. Zero or less is
	// no bound.
	Limit struct {
		Requests   int // a minute
		Tokens     int // a minute, prompt and output
		Concurrent int
	}

	// Settings of the limiter. Burst is how much of the rates may be used at
	// once after a quiet time. Settle is how long a smaller number of live
	// entries must last before the share of this entry grows.
	Settings struct {
		Burst  time.Duration
		Settle time.Duration
	}

	// Reason says which bound refused a request.
	Reason string

	// Decision is the answer to Admit: Admitted or Refuse.
	Decision interface{ decision() }

	// Admitted lets a request go on. Grant must be released exactly when the
	// request has ended.
	Admitted struct{ Grant *Grant }

	// Refuse turns a request away, not run. After says when to come back.
	Refuse struct {
		Reason Reason
		After  time.Duration
	}

	// Usage is what a request took in tokens. Known is false where nothing
	// was said; then the estimate stands.
	Usage struct {
		Known  bool
		Tokens int
	}

	// Grant holds what was reserved for a request.
	Grant struct {
		limiter   *Limiter
		workspace string
		tokens    int
		done      bool
	}

	// Limiter holds this entry's share of the limits. It is safe for
	// concurrent use.
	Limiter struct {
		mu       sync.Mutex
		settings Settings
		clock    clockwork.Clock
		limits   map[string]Limit
		running  map[string]int
		entries  int
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

func (Admitted) decision() {}
func (Refuse) decision()   {}

// New returns a limiter that knows no workspace yet.
func New(s Settings, c clockwork.Clock) *Limiter {
	return &Limiter{settings: s, clock: c, running: make(map[string]int), entries: 1}
}

// SetLimits puts the limits of a configuration in force; workspaces that are
// missing in it are refused from here on.
func (l *Limiter) SetLimits(limits map[string]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
}

// SetEntries tells how many entry hosts are live, this one included.
func (l *Limiter) SetEntries(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = max(n, 1)
}

// Admit asks whether a request with an estimate of tokens may go on.
func (l *Limiter) Admit(workspace string, tokens int) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, ok := l.limits[workspace]
	if !ok {
		return Refuse{Reason: ReasonUnknown}
	}
	if limit.Concurrent > 0 && l.running[workspace] >= limit.Concurrent {
		return Refuse{Reason: ReasonConcurrent, After: time.Second}
	}
	l.running[workspace]++
	return Admitted{Grant: &Grant{limiter: l, workspace: workspace, tokens: tokens}}
}

// Release ends a request that was sent to a server. A second call does
// nothing.
func (g *Grant) Release(_ Usage) { g.end() }

// Cancel ends a request that was proved not run; all of it is given back. A
// second call, or one after Release, does nothing.
func (g *Grant) Cancel() { g.end() }

func (g *Grant) end() {
	g.limiter.mu.Lock()
	defer g.limiter.mu.Unlock()
	if g.done {
		return
	}
	g.done = true
	g.limiter.running[g.workspace]--
}
