package beechretry

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxShift keeps the doubling of the backoff from overflowing.
	maxShift = 16

	// unknownAfter is the soonest to come back where nobody knows: the servers
	// failed, and callers that return at once would keep them down. Up to as
	// much is added by chance, so that they don't return together.
	unknownAfter = time.Second
)

type (
	// Ran says what is known of whether an attempt ran. Any other value counts
	// as RanUnknown.
	Ran string

	// Settings of the budget. Zero values are taken from Defaults.
	Settings struct {
		RetryPercent int           // of first attempts that may be retried
		Reserve      int           // retries beyond that, after a quiet time
		Window       time.Duration // over which both are counted; 0 counts requests instead of time
		MaxAttempts  int           // for one request, the first included
		BaseBackoff  time.Duration // the longest before the first retry; doubles
		MaxBackoff   time.Duration // the longest before any retry
	}

	// Outcome is a failed or refused attempt.
	Outcome struct {
		Attempt         int // counts from 1
		Ran             Ran
		Repeatable      bool
		Deadline        time.Time      // zero is none
		Server          netip.AddrPort // that gave it
		PreferredServer netip.AddrPort // a refusal's hint; invalid is none
		RetryAfter      time.Duration  // a refusal's hint; 0 is none
		Rejected        bool           // turned away by choice, not failed
		OnlyServer      bool           // no other server may be tried
	}

	// Decision is the answer to Decide: Retry or GiveUp.
	Decision interface{ decision() }

	// Retry sends the request again after a time. Server is invalid where the
	// router should choose.
	Retry struct {
		Delay  time.Duration
		Server netip.AddrPort
	}

	// GiveUp answers the caller at once. Ran is what may truly be said, After
	// when to come back; 0 where the caller should not.
	GiveUp struct {
		Ran        Ran
		RetryAfter time.Duration
	}

	// Budget bounds the retries of one entry host. It is safe for concurrent
	// use.
	Budget struct {
		mu       sync.Mutex
		settings Settings
		clock    clockwork.Clock
		random   *rand.Rand
		credit   int    // in hundredths of a retry; without a window
		ledger   ledger // with one
	}
)

// What may be known of an attempt.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// one is the price of a retry in credit.
const one = 100

// Defaults are the settings where none are given; the package comment says
// why.
var Defaults = Settings{
	RetryPercent: 10, Reserve: 20, MaxAttempts: 3,
	BaseBackoff: 50 * time.Millisecond, MaxBackoff: 500 * time.Millisecond,
}

func (Retry) decision()  {}
func (GiveUp) decision() {}

// New returns a budget with its spare retries. The source gives the jitter.
func New(s Settings, c clockwork.Clock, source rand.Source) *Budget {
	s = s.withDefaults()
	return &Budget{settings: s, clock: c, random: rand.New(source), credit: s.Reserve * one, ledger: ledger{slot: s.Window / ledgerSlots}}
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

// SetReserve changes the spare retries. What was spent stays spent.
func (b *Budget) SetReserve(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > 0 {
		b.settings.Reserve = n
		b.credit = min(b.credit, n*one)
	}
}

// RecordRequest counts a first attempt, of which a fraction may be retried.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.settings.Window > 0 {
		b.ledger.sent(b.clock.Now())
		return
	}
	b.credit = min(b.credit+b.settings.RetryPercent, b.settings.Reserve*one)
}

// Decide says whether an attempt that failed is tried again. A Retry has been
// paid for.
func (b *Budget) Decide(o Outcome) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	if o.Ran != RanNo && o.Ran != RanYes {
		o.Ran = RanUnknown
	}
	o.Attempt = max(o.Attempt, 1)
	o.RetryAfter = max(o.RetryAfter, 0)
	if o.Attempt >= b.settings.MaxAttempts || !mayRunAgain(o) {
		return b.giveUp(o)
	}
	r, ok := b.plan(o)
	if !ok || !inTime(o, b.clock.Now().Add(r.Delay)) || !b.pay(o) {
		return b.giveUp(o)
	}
	return r
}

// mayRunAgain tells whether a second run does no harm: there was no first, or
// the request may be repeated. A booking that may have run must not run again.
func mayRunAgain(o Outcome) bool { return o.Ran == RanNo || o.Repeatable }

// plan says where and when to try again, if anywhere: at the better server that
// was named, at another one, or at the same one once it has said that it can.
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
	after := max(o.RetryAfter, b.backoff(o.Attempt))
	return Retry{Delay: after, Server: o.Server}, after <= b.settings.MaxBackoff
}

// backoff is drawn from all times up to a bound that doubles: with a fixed
// one, all that failed together would come back together.
func (b *Budget) backoff(attempt int) time.Duration {
	bound := b.settings.BaseBackoff << min(attempt-1, maxShift)
	bound = min(bound, b.settings.MaxBackoff)
	return time.Duration(b.random.Int64N(int64(bound) + 1))
}

// pay takes a retry out of the budget. Refusals leave half of it, or of the spare
// where requests are counted: under saturation they are many, and a request whose
// server crashed, which is rare, would find nothing left.
func (b *Budget) pay(o Outcome) bool {
	if b.settings.Window > 0 {
		return b.payInWindow(o)
	}
	floor := 0
	if o.Rejected {
		floor = b.settings.Reserve * one / 2
	}
	if b.credit-one < floor {
		return false
	}
	b.credit -= one
	return true
}

func (b *Budget) payInWindow(o Outcome) bool {
	now := b.clock.Now()
	first, retries := b.ledger.sums(now)
	allowed := b.settings.Reserve*one + first*b.settings.RetryPercent
	if o.Rejected {
		allowed /= 2
	}
	if (retries+1)*one > allowed {
		return false
	}
	b.ledger.retried(now)
	return true
}

func inTime(o Outcome, at time.Time) bool {
	return o.Deadline.IsZero() || at.Before(o.Deadline)
}

// giveUp tells the truth: what is not proved is not said.
func (b *Budget) giveUp(o Outcome) GiveUp {
	if !mayRunAgain(o) {
		return GiveUp{Ran: o.Ran}
	}
	if o.RetryAfter == 0 {
		o.RetryAfter = unknownAfter + time.Duration(b.random.Int64N(int64(unknownAfter)))
	}
	return GiveUp{Ran: o.Ran, RetryAfter: o.RetryAfter}
}
