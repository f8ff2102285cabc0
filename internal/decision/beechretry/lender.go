package beechretry

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// Lender lends retries from a pool that many gates share. Divided among hundreds of gates,
	// the operators' spare retries are one or two each: a gate that meets a crash has too few,
	// while the others keep theirs unused.
	//
	// In any window the gates use at most the pool. Loans count for the window and the time in
	// which they may be used, and a lender that begins lends nothing for as long, since it does
	// not know what the one before it has lent. It is safe for concurrent use.
	Lender struct {
		clock clockwork.Clock

		mu    sync.Mutex
		since time.Time // when it began to lend; zero: it does not
		loans map[string][]loan
	}

	loan struct {
		count int
		at    time.Time
	}
)

// LoanTime is how long a loan may be used.
const LoanTime = 2 * time.Second

// NewLender returns a lender that does not lend yet.
func NewLender(clock clockwork.Clock) *Lender {
	return &Lender{clock: clock, loans: make(map[string][]loan)}
}

// SetActive begins or ends lending.
func (l *Lender) SetActive(active bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !active:
		l.since = time.Time{}
		clear(l.loans)
	case l.since.IsZero():
		l.since = l.clock.Now()
	}
}

// Lend returns how many retries of a service are lent, of those that are wanted, given the pool for
// one window.
func (l *Lender) Lend(service string, wanted, pool int, window time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, counted := l.clock.Now(), window+LoanTime
	if l.since.IsZero() || now.Sub(l.since) < counted {
		return 0
	}
	loans := slices.DeleteFunc(l.loans[service], func(x loan) bool { return now.Sub(x.at) >= counted })
	lent := 0
	for _, x := range loans {
		lent += x.count
	}
	granted := max(min(wanted, pool-lent), 0)
	if granted > 0 {
		loans = append(loans, loan{granted, now})
	}
	l.loans[service] = loans
	return granted
}
