package beechstore

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// budget is a token bucket for calls in which less important calls leave a
// reserve for more important ones. Without the reserve, a burst of host list
// reads after a restart would use up the calls that claims need, and requests
// would be refused although the service is healthy.
type budget struct {
	clock clockwork.Clock
	rate  float64 // calls per second
	burst float64

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// Fractions of the burst that calls of an importance must leave unused.
const (
	configurationReserve = 0.2
	restReserve          = 0.5
)

func newBudget(clock clockwork.Clock, perSecond, burst int) *budget {
	return &budget{clock: clock, rate: float64(perSecond), burst: float64(burst), tokens: float64(burst), refilledAt: clock.Now()}
}

// take uses one call of the budget and returns 0, or returns the time until a
// call of this importance is allowed.
func (b *budget) take(importance Importance) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	need := 1 + b.reserve(importance)
	if b.tokens < need {
		return time.Duration((need - b.tokens) / b.rate * float64(time.Second))
	}
	b.tokens--
	return 0
}

func (b *budget) refill() {
	now := b.clock.Now()
	if passed := now.Sub(b.refilledAt); passed > 0 {
		b.tokens = min(b.burst, b.tokens+passed.Seconds()*b.rate)
	}
	b.refilledAt = now
}

func (b *budget) reserve(importance Importance) float64 {
	switch importance {
	case ImportanceClaim:
		return 0
	case ImportanceConfiguration:
		return configurationReserve * b.burst
	default:
		return restReserve * b.burst
	}
}
