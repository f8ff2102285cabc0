package beechretry

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxBackoffShift keeps the exponential backoff from overflowing.
	maxBackoffShift = 16

	// defaultRetryAfter is the shortest retry time where no server has given one:
	// the servers have failed, and callers that return at once would keep them
	// down. Up to the same time is added at random, so that the callers do not
	// return together.
	defaultRetryAfter = time.Second
)

type (
	// Ran says whether an attempt is known to have run. Any other value counts as
	// RanUnknown.
	Ran string

	// Settings configures a Budget. Invalid and zero fields are taken from
	// Defaults.
	Settings struct {
		RetryPercent int           // of first attempts that may be retried
		Reserve      int           // retries allowed beyond RetryPercent
		Window       time.Duration // over which attempts are counted; if 0, requests earn credit instead
		MaxAttempts  int           // per request, including the first
		BaseBackoff  time.Duration // maximum delay before the first retry; doubles with each attempt
		MaxBackoff   time.Duration // maximum delay before any retry
	}

	// Outcome is the outcome of a failed or rejected attempt.
	Outcome struct {
		Attempt         int // counts from 1
		Ran             Ran
		Repeatable      bool
		Deadline        time.Time      // zero if there is none
		Server          netip.AddrPort // on which the attempt was made
		PreferredServer netip.AddrPort // recommended by a rejection; invalid if none
		RetryAfter      time.Duration  // given by a rejection; 0 if none
		Rejected        bool           // declined by the server rather than failed
		OnlyServer      bool           // no other server can be tried
	}

	// Decision is the answer to Decide: Retry or GiveUp.
	Decision interface{ decision() }

	// Retry means that the request is sent again after a delay. Server is invalid
	// if the router should choose.
	Retry struct {
		Delay  time.Duration
		Server netip.AddrPort
	}

	// GiveUp means that the caller is answered at once. Ran is what is known of
	// whether the request ran, and RetryAfter when to retry; 0 if the caller
	// should not.
	GiveUp struct {
		Ran        Ran
		RetryAfter time.Duration
		Exhausted  bool // only the budget forbids a retry
	}

	// Budget limits the retries of one entry host. It is safe for concurrent use.
	Budget struct {
		mu       sync.Mutex
		settings Settings
		clock    clockwork.Clock
		random   *rand.Rand
		spent    int           // of the reserve, in hundredths of a retry; unused with a window
		window   slidingWindow // unused without a window
		loans    []loan        // retries beyond the budget that were lent to this host
	}
)

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// retryCost is what a retry costs; each request earns RetryPercent.
const retryCost = 100

// Defaults are the default settings; the package comment explains them.
var Defaults = Settings{
	RetryPercent: 10, Reserve: 20, MaxAttempts: 3,
	BaseBackoff: 50 * time.Millisecond, MaxBackoff: 500 * time.Millisecond,
}

func (Retry) decision()  {}
func (GiveUp) decision() {}

// New returns a Budget with its full reserve. The random source is used for
// jitter.
func New(s Settings, c clockwork.Clock, source rand.Source) *Budget {
	s = s.withDefaults()
	return &Budget{settings: s, clock: c, random: rand.New(source), window: slidingWindow{slotLength: s.Window / windowSlots}}
}

func (s Settings) withDefaults() Settings {
	if s.RetryPercent <= 0 || s.RetryPercent > 100 {
		s.RetryPercent = Defaults.RetryPercent
	}
	if s.Reserve <= 0 {
		s.Reserve = Defaults.Reserve
	}
	if s.MaxAttempts <= 0 {
		s.MaxAttempts = Defaults.MaxAttempts
	}
	if s.BaseBackoff <= 0 {
		s.BaseBackoff = Defaults.BaseBackoff
	}
	if s.MaxBackoff <= 0 {
		s.MaxBackoff = Defaults.MaxBackoff
	}
	s.MaxBackoff = max(s.MaxBackoff, s.BaseBackoff)
	return s
}

// SetReserve changes the reserve, which may be 0. Retries made so far still count.
func (b *Budget) SetReserve(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n >= 0 {
		b.settings.Reserve = n
	}
}

// SetRetryPercent changes the share of first attempts that may be retried. Values outside of 1 to
// 100 are ignored. Retries made so far still count.
func (b *Budget) SetRetryPercent(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > 0 && n <= 100 {
		b.settings.RetryPercent = n
	}
}

// RecordRequest counts a first attempt, which adds a fraction of a retry to the
// budget.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.settings.Window > 0 {
		b.window.addRequest(b.clock.Now())
		return
	}
	b.spent = max(b.spent-b.settings.RetryPercent, 0)
}

// Decide returns whether a failed or rejected attempt is retried. A Retry has
// already been taken from the budget.
func (b *Budget) Decide(o Outcome) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	if o.Ran != RanNo && o.Ran != RanYes {
		o.Ran = RanUnknown
	}
	o.Attempt = max(o.Attempt, 1)
	o.RetryAfter = max(o.RetryAfter, 0)
	if o.Attempt >= b.settings.MaxAttempts || !safeToRetry(o) {
		return b.giveUp(o)
	}
	r, ok := b.plan(o)
	if !ok || !beforeDeadline(o, b.clock.Now().Add(r.Delay)) {
		return b.giveUp(o)
	}
	if !b.spend(o) && !b.spendLoan() {
		g := b.giveUp(o)
		g.Exhausted = true
		return g
	}
	return r
}

// AddLoan adds retries that may be used within LoanTime.
func (b *Budget) AddLoan(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if count > 0 {
		b.loans = append(b.loans, loan{count, b.clock.Now()})
	}
}

// spendLoan takes a retry from the oldest loan that may still be used.
func (b *Budget) spendLoan() bool {
	now := b.clock.Now()
	b.loans = slices.DeleteFunc(b.loans, func(x loan) bool { return x.count <= 0 || now.Sub(x.at) >= LoanTime })
	if len(b.loans) == 0 {
		return false
	}
	b.loans[0].count--
	return true
}

// safeToRetry reports whether a second run does no harm: either the first attempt
// did not run, or the request is repeatable. A booking that may have run must not
// run again.
func safeToRetry(o Outcome) bool { return o.Ran == RanNo || o.Repeatable }

// plan returns where and when to retry, if possible: on the server that a
// rejection recommends, on another one, or on the same one if that is the only
// one and is available soon.
func (b *Budget) plan(o Outcome) (r Retry, ok bool) {
	if o.PreferredServer.IsValid() && o.PreferredServer != o.Server {
		return Retry{Server: o.PreferredServer}, true
	}
	if !o.OnlyServer && o.Rejected {
		return Retry{}, true
	}
	if !o.OnlyServer {
		return Retry{Delay: b.backoff(o.Attempt)}, true
	}
	delay := max(o.RetryAfter, b.backoff(o.Attempt))
	return Retry{Delay: delay, Server: o.Server}, delay <= b.settings.MaxBackoff
}

// backoff returns a random time up to a maximum that doubles with each attempt.
// With a fixed time, all requests that failed together would be retried together.
func (b *Budget) backoff(attempt int) time.Duration {
	bound := b.settings.BaseBackoff << min(attempt-1, maxBackoffShift)
	bound = min(bound, b.settings.MaxBackoff)
	return time.Duration(b.random.Int64N(int64(bound) + 1))
}

// spend takes a retry from the budget, if possible. Rejections must leave half of
// the budget, or half of the reserve if there is no window: under saturation
// there are many rejections, which would otherwise leave nothing for the rare
// request whose server has crashed.
func (b *Budget) spend(o Outcome) bool {
	if b.settings.Window > 0 {
		return b.spendInWindow(o)
	}
	allowed := b.settings.Reserve * retryCost
	if o.Rejected {
		allowed /= 2
	}
	if b.spent+retryCost > allowed {
		return false
	}
	b.spent += retryCost
	return true
}

func (b *Budget) spendInWindow(o Outcome) bool {
	now := b.clock.Now()
	requests, retries := b.window.totals(now)
	allowed := b.settings.Reserve*retryCost + requests*b.settings.RetryPercent
	if o.Rejected {
		allowed /= 2
	}
	if (retries+1)*retryCost > allowed {
		return false
	}
	b.window.addRetry(now)
	return true
}

func beforeDeadline(o Outcome, at time.Time) bool {
	return o.Deadline.IsZero() || at.Before(o.Deadline)
}

// giveUp reports only what is proven about whether the attempt ran. A request
// that may have run and is not repeatable gets no retry time.
func (b *Budget) giveUp(o Outcome) GiveUp {
	if !safeToRetry(o) {
		return GiveUp{Ran: o.Ran}
	}
	if o.RetryAfter == 0 {
		o.RetryAfter = defaultRetryAfter + time.Duration(b.random.Int64N(int64(defaultRetryAfter)))
	}
	return GiveUp{Ran: o.Ran, RetryAfter: o.RetryAfter}
}
