package beechgate

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/decision/beechretry"
)

// Budgets limits the retries of each service over all gates: every gate may retry a ratio of
// its own requests, and has an equal share of the spare retries, both within the operators'
// window. Where there are so many gates that a share is a few retries only, half of the spare
// is kept in pools, one in each zone, from which a gate borrows when it has none left. It is
// safe for concurrent use.
type Budgets struct {
	ratio  float64
	spare  float64
	window time.Duration
	clock  clockwork.Clock
	ask    func(service string, wanted int) // asks the lender of this zone; the answer comes by AddLoan

	mu       sync.Mutex
	gates    int
	services map[string]*beechretry.Budget
	asked    map[string]int           // loans that the lender was asked for and has not answered, by service
	answered map[string]chan struct{} // closed when the lender has answered, by service
}

const (
	// budgetShare is the share of the operators' bound that is used: gates that have just
	// started do not know how many retries others, or they themselves, have used.
	budgetShare = 0.75
	// defaultGates is assumed until the list of gates has settled.
	defaultGates = 6
	// enoughShare is the number of spare retries from which on a gate needs no pool.
	enoughShare = 8
	// loanWait is how long a request waits for a loan: several times the way to the lender and
	// back, and little against the time that a caller needs to come back.
	loanWait    = 25 * time.Millisecond
	loanWanted  = 2
	percent     = 100
	maxAttempts = 8
)

// NewBudgets returns budgets for a ratio of requests and a number of spare retries per window,
// both over all gates. Ask sends a question to the lender of this zone.
func NewBudgets(ratio, spare float64, window time.Duration, clock clockwork.Clock, ask func(service string, wanted int)) *Budgets {
	return &Budgets{
		ratio: ratio, spare: spare, window: window, clock: clock, ask: ask, gates: defaultGates,
		services: make(map[string]*beechretry.Budget), asked: make(map[string]int), answered: make(map[string]chan struct{}),
	}
}

// SetGates sets how many gates share the budget. Used retries stay used, as the number changes
// whenever a gate starts or stops.
func (b *Budgets) SetGates(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n <= 0 || n == b.gates {
		return
	}
	b.gates = n
	for _, budget := range b.services {
		budget.SetReserve(b.share())
	}
}

// share returns this gate's part of the spare retries. The caller holds the lock.
func (b *Budgets) share() int {
	if b.pooled() {
		return b.usable() / 2 / b.gates
	}
	return b.usable() / b.gates
}

// retryPercent returns the share of a gate's own requests that it may retry.
func (b *Budgets) retryPercent() int { return max(int(b.ratio*percent*budgetShare), 1) }

// usable returns the spare retries of all gates together.
func (b *Budgets) usable() int { return int(b.spare * budgetShare) }

// pooled reports whether a part of the spare is in pools. The caller holds the lock.
func (b *Budgets) pooled() bool { return b.usable()/b.gates < enoughShare }

// Pool returns the retries of one service that the lender of a zone with the given number of gates
// may lend in a window. While gates hold different lists, a zone may have two lenders, which
// together lend no more than the half of the spare that is not shared out.
func (b *Budgets) Pool(zoneGates int) (retries int, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.pooled() {
		return 0, b.window
	}
	return b.usable() / 4 * zoneGates / b.gates, b.window
}

// SetBounds sets the operators' bounds. Used retries stay used unless the window changes.
func (b *Budgets) SetBounds(ratio, spare float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio == b.ratio && spare == b.spare && window == b.window {
		return
	}
	if window != b.window {
		clear(b.services)
	}
	b.ratio, b.spare, b.window = ratio, spare, window
	for _, budget := range b.services {
		budget.SetRetryPercent(b.retryPercent())
		budget.SetReserve(b.share())
	}
}

// RecordRequest implements beechattempt.RetryBudget.
func (b *Budgets) RecordRequest(service string) { b.budget(service).RecordRequest() }

// Decide implements beechattempt.RetryBudget. It may wait for a loan.
func (b *Budgets) Decide(service string, o beechretry.Outcome) beechretry.Decision {
	budget := b.budget(service)
	decision := budget.Decide(o)
	if giveUp, ok := decision.(beechretry.GiveUp); !ok || !giveUp.Exhausted || !b.borrow(service) {
		return decision
	}
	return budget.Decide(o)
}

// borrow asks for retries and waits for the answer. It returns false if there is nobody to ask.
func (b *Budgets) borrow(service string) bool {
	b.mu.Lock()
	if !b.pooled() {
		b.mu.Unlock()
		return false
	}
	answered, ok := b.answered[service]
	if !ok {
		answered = make(chan struct{})
		b.answered[service] = answered
	}
	b.asked[service]++
	b.mu.Unlock()
	b.ask(service, loanWanted)
	select {
	case <-answered:
	case <-b.clock.After(loanWait):
	}
	return true
}

// AddLoan takes the lender's answer, which may be 0. An answer to no request is a copy of an earlier one: the lender
// has counted its loan once.
func (b *Budgets) AddLoan(service string, count int) {
	b.mu.Lock()
	asked := b.asked[service] > 0
	if asked {
		b.asked[service]--
	}
	b.mu.Unlock()
	if !asked {
		return
	}
	b.budget(service).AddLoan(min(count, loanWanted))
	b.mu.Lock()
	defer b.mu.Unlock()
	if answered, ok := b.answered[service]; ok {
		close(answered)
		delete(b.answered, service)
	}
}

func (b *Budgets) budget(service string) *beechretry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.services[service]
	if !ok {
		settings := beechretry.Settings{
			RetryPercent: b.retryPercent(), Reserve: b.share(), Window: b.window,
			MaxAttempts: maxAttempts, BaseBackoff: time.Millisecond, MaxBackoff: time.Millisecond,
		}
		budget = beechretry.New(settings, b.clock, rand.NewPCG(rand.Uint64(), rand.Uint64()))
		budget.SetReserve(b.share())
		b.services[service] = budget
	}
	return budget
}
