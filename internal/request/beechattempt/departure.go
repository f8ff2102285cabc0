package beechattempt

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// departureWatch records when the departure of a caller was noticed and what became of its attempt.
// It is safe for concurrent use.
type departureWatch struct {
	clock clockwork.Clock
	out   Responder

	mu       sync.Mutex
	noticed  time.Time // zero: not yet
	recorded Departure
}

// notice records that the caller has disconnected.
func (d *departureWatch) notice() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.noticed.IsZero() {
		return
	}
	d.noticed = d.clock.Now()
	d.recorded = Departure{Unnoticed: -1, Outcome: NothingToWithdraw}
	if since, ok := d.out.SinceHeard(); ok {
		d.recorded.Unnoticed = since
	}
}

// reset records that the attempt under way was withdrawn. It has no effect if the caller is there,
// as an attempt may be cancelled for other reasons.
func (d *departureWatch) reset(told bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.noticed.IsZero() {
		return
	}
	d.recorded.Withdrawn, d.recorded.Outcome = d.clock.Since(d.noticed), NotWithdrawn
	if told {
		d.recorded.Outcome = WithdrawnByReset
	}
}

// result returns what was recorded.
func (d *departureWatch) result() Departure {
	d.notice()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recorded
}
