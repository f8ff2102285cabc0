package beechreturns

import (
	"math"
	"time"

	"github.com/jonboulle/clockwork"
)

// Rate is an exponentially decaying mean rate. It is not safe for concurrent use.
type Rate struct {
	clock clockwork.Clock
	sum   float64
	at    time.Time
}

// rateTime is the period of which a Rate is the mean.
const rateTime = 2 * time.Second

// NewRate returns a rate of 0.
func NewRate(clock clockwork.Clock) *Rate { return &Rate{clock: clock, at: clock.Now()} }

// Add counts an amount now.
func (r *Rate) Add(amount float64) {
	r.decay()
	r.sum += amount
}

// PerSecond returns the rate.
func (r *Rate) PerSecond() float64 {
	r.decay()
	return r.sum / rateTime.Seconds()
}

func (r *Rate) decay() {
	now := r.clock.Now()
	if passed := now.Sub(r.at); passed > 0 {
		r.sum *= math.Exp(-passed.Seconds() / rateTime.Seconds())
		r.at = now
	}
}
