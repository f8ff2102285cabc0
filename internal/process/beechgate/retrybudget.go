package beechgate

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/decision/beechretry"
)

// Budgets limits the retries of each service over all gates without communication per retry:
// every gate has an equal share of the spare retries and may retry a ratio of its own
// requests, both within the operators' window. It is safe for concurrent use.
type Budgets struct {
	ratio  float64
	spare  float64
	window time.Duration
	clock  clockwork.Clock

	mu       sync.Mutex
	gates    int
	services map[string]*beechretry.Budget
}

const (
	// budgetShare is the share of the operators' bound that is used: gates that have just
	// started do not know how many retries others, or they themselves, have used.
	budgetShare = 0.75
	// defaultGates is assumed until keepers have reported the number of gates.
	defaultGates = 6
	percent      = 100
	maxAttempts  = 8
)

// NewBudgets returns budgets for a ratio of requests and a number of spare retries per window,
// both over all gates.
func NewBudgets(ratio, spare float64, window time.Duration, clock clockwork.Clock) *Budgets {
	return &Budgets{ratio: ratio, spare: spare, window: window, clock: clock, gates: defaultGates, services: make(map[string]*beechretry.Budget)}
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
func (b *Budgets) share() int { return max(int(b.spare*budgetShare)/b.gates, 1) }

// SetBounds sets the operators' bounds.
func (b *Budgets) SetBounds(ratio, spare float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio == b.ratio && spare == b.spare && window == b.window {
		return
	}
	b.ratio, b.spare, b.window = ratio, spare, window
	clear(b.services)
}

// RecordRequest implements beechattempt.RetryBudget.
func (b *Budgets) RecordRequest(service string) { b.budget(service).RecordRequest() }

// Decide implements beechattempt.RetryBudget.
func (b *Budgets) Decide(service string, o beechretry.Outcome) beechretry.Decision {
	return b.budget(service).Decide(o)
}

func (b *Budgets) budget(service string) *beechretry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.services[service]
	if !ok {
		settings := beechretry.Settings{
			RetryPercent: max(int(b.ratio*percent*budgetShare), 1), Reserve: b.share(), Window: b.window,
			MaxAttempts: maxAttempts, BaseBackoff: time.Millisecond, MaxBackoff: time.Millisecond,
		}
		budget = beechretry.New(settings, b.clock, rand.NewPCG(rand.Uint64(), rand.Uint64()))
		b.services[service] = budget
	}
	return budget
}
