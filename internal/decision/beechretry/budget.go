package beechretry

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// Ran says what is known of whether an attempt ran.
	Ran string

	// Settings of the budget. Percent of first attempts may be retried; Spare
	// retries are allowed beyond it in a quiet time. Backoff is the first
	// mean delay, which doubles with each attempt up to MaxBackoff.
	Settings struct {
		Percent     int
		Spare       int
		MaxAttempts int
		Backoff     time.Duration
		MaxBackoff  time.Duration
	}

	// Outcome is a failed or refused attempt.
	Outcome struct {
		Attempt    int // counts from 1
		Ran        Ran
		Repeatable bool
		Deadline   time.Time      // zero is none
		Better     netip.AddrPort // the refusal's hint; invalid is none
		After      time.Duration  // the refusal's hint; 0 is none
	}

	// Decision is the answer to Decide: Retry or GiveUp.
	Decision interface{ decision() }

	// Retry sends the request again after a time. Server is invalid where the
	// router should choose.
	Retry struct {
		After  time.Duration
		Server netip.AddrPort
	}

	// GiveUp answers the caller at once. Ran is what may truly be said, After
	// when to come back.
	GiveUp struct {
		Ran   Ran
		After time.Duration
	}

	// Budget bounds the retries of one entry host. It is safe for concurrent
	// use.
	Budget struct {
		mu       sync.Mutex
		settings Settings
		clock    clockwork.Clock
		random   *rand.Rand
	}
)

// What may be known of an attempt.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

func (Retry) decision()  {}
func (GiveUp) decision() {}

// New returns a budget with its spare retries. The source gives the jitter.
func New(s Settings, c clockwork.Clock, source rand.Source) *Budget {
	return &Budget{settings: s, clock: c, random: rand.New(source)}
}

// Sent counts a first attempt, of which a fraction may be retried.
func (b *Budget) Sent() {}

// Decide says whether an attempt that failed is tried again.
func (b *Budget) Decide(o Outcome) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	if o.Attempt >= b.settings.MaxAttempts || (o.Ran != RanNo && !o.Repeatable) {
		return GiveUp{Ran: o.Ran, After: o.After}
	}
	return Retry{Server: o.Better}
}
