package beechthrottle

import (
	"math"
	"time"

	"github.com/beechring/beechring/internal/decision/beechquota"
)

type (
	// Update is what a gate tells the others: which servers name limits, and what it has
	// sent them.
	Update struct {
		Quota  beechquota.Update
		Limits []LimitUpdate
	}

	// LimitUpdate is a server's limit as a gate knows it.
	LimitUpdate struct {
		Server      uint64 // hash of its ID
		StartTime   uint64
		Rate        float64 // below 0: it names none any more
		SentAge     time.Duration
		ReceivedAge time.Duration // both ago
	}
)

const (
	// repeats of what has changed, as words are lost.
	updateSends = 3
	// refreshEvery what this gate has from servers themselves is told again.
	refreshInterval = 2 * time.Second
	// wayMost is how long a word may have been under way.
	maxTransit = 150 * time.Millisecond
	// askFor is how long a gate that has started speaks though it knows no limit: those
	// that know of some tell it.
	startupTime = 3 * time.Second
	// oldest word that is believed.
	maxAge = time.Hour
)

// HasUpdate tells whether there is something to tell the other gates, or to ask them.
func (t *Throttle) HasUpdate() bool {
	if t.HasLimits() || t.quotas.Age() < startupTime {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.table.entries {
		if b.sendsLeft > 0 {
			return true
		}
	}
	return false
}

// NextUpdate gives what the other gates are to be told now.
func (t *Throttle) NextUpdate() Update {
	w := Update{Quota: t.quotas.NextUpdate()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	now := t.clock.Now()
	refresh := now-t.lastRefresh >= refreshInterval
	if refresh {
		t.lastRefresh = now
	}
	for key, b := range t.table.entries {
		if b.sendsLeft == 0 && !(refresh && b.direct) && !w.Quota.Full {
			continue
		}
		b.sendsLeft = max(b.sendsLeft-1, 0)
		told := LimitUpdate{Server: key, StartTime: b.StartTime, Rate: b.Rate, SentAge: now - b.Sent, ReceivedAge: now - b.Received}
		if !b.limited() {
			told.Rate = -1
		}
		w.Limits = append(w.Limits, told)
	}
	return w
}

// ApplyUpdate takes in another gate's word.
func (t *Throttle) ApplyUpdate(w Update, from string) {
	for _, told := range w.Limits {
		if told.ReceivedAge < 0 || told.SentAge < told.ReceivedAge || told.SentAge > maxAge || math.IsNaN(told.Rate) || told.Rate > math.MaxInt32 {
			continue
		}
		t.mu.Lock()
		now := t.clock.Now()
		n := Observation{StartTime: told.StartTime, Rate: told.Rate, Sent: now - told.SentAge - maxTransit, Received: now - told.ReceivedAge}
		if told.Rate < 0 {
			n.Rate = unlimited
		}
		event, _ := t.apply(told.Server, n, from)
		t.mu.Unlock()
		t.emit(event, "")
	}
	t.quotas.ApplyUpdate(w.Quota)
}
