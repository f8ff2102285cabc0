package beechthrottle

import (
	"math"
	"time"

	"github.com/beechring/beechring/internal/decision/beechquota"
)

type (
	// Update is the state that a gate sends to the others: the limits of servers, and the
	// requests it has sent to them.
	Update struct {
		Quota  beechquota.Update
		Limits []LimitUpdate
	}

	// LimitUpdate is a server's limit as a gate knows it. Times are sent as ages, because gates
	// have different clocks.
	LimitUpdate struct {
		Server      uint64  // hash of its ID
		StartTime   uint64  // see Observation
		Rate        float64 // negative: the server has no limit any more
		SentAge     time.Duration
		ReceivedAge time.Duration
	}
)

const (
	// updateSends is the number of updates that report each change, because updates may be
	// lost.
	updateSends = 3
	// refreshInterval is the time between repetitions of what this gate got from servers
	// themselves.
	refreshInterval = 2 * time.Second
	// maxTransit is the longest time that an update may have been in transit.
	maxTransit = 150 * time.Millisecond
	// startupTime is how long a gate that has started sends updates although it knows no
	// limits: gates that know some send them in return.
	startupTime = 3 * time.Second
	// maxAge is the greatest age at which an observation in an update is accepted.
	maxAge = time.Hour
)

// HasUpdate reports whether there is something to send to the other gates, or to request from
// them.
func (t *Throttle) HasUpdate() bool {
	if t.HasLimits() || t.quotas.Age() < startupTime {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, entry := range t.table.entries {
		if entry.sendsLeft > 0 {
			return true
		}
	}
	return false
}

// NextUpdate returns the update to send to the other gates now.
func (t *Throttle) NextUpdate() Update {
	update := Update{Quota: t.quotas.NextUpdate()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	now := t.clock.Now()
	refresh := now-t.lastRefresh >= refreshInterval
	if refresh {
		t.lastRefresh = now
	}
	for key, entry := range t.table.entries {
		if entry.sendsLeft == 0 && !(refresh && entry.direct) && !update.Quota.Full {
			continue
		}
		entry.sendsLeft = max(entry.sendsLeft-1, 0)
		limit := LimitUpdate{Server: key, StartTime: entry.StartTime, Rate: entry.Rate, SentAge: now - entry.Sent, ReceivedAge: now - entry.Received}
		if !entry.limited() {
			limit.Rate = -1
		}
		update.Limits = append(update.Limits, limit)
	}
	return update
}

// ApplyUpdate applies an update received from another gate.
func (t *Throttle) ApplyUpdate(update Update, source string) {
	for _, limit := range update.Limits {
		if limit.ReceivedAge < 0 || limit.SentAge < limit.ReceivedAge || limit.SentAge > maxAge || math.IsNaN(limit.Rate) || limit.Rate > math.MaxInt32 {
			continue
		}
		t.mu.Lock()
		now := t.clock.Now()
		o := Observation{StartTime: limit.StartTime, Rate: limit.Rate, Sent: now - limit.SentAge - maxTransit, Received: now - limit.ReceivedAge}
		if limit.Rate < 0 {
			o.Rate = unlimited
		}
		event, _ := t.apply(limit.Server, o, source)
		t.mu.Unlock()
		t.emit(event, "")
	}
	t.quotas.ApplyUpdate(update.Quota)
}
