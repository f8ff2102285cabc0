package beechbackoff

import (
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// Tracker holds the times that servers have named. It is safe for concurrent use.
	Tracker struct {
		clock clockwork.Clock

		mu      sync.Mutex
		until   map[string]time.Time // by server ID
		sweepAt int                  // number of entries at which expired ones are deleted
		state   State
	}

	// State contains counts for metrics.
	State struct {
		Servers int // servers to which nothing may be sent now
		Asked   int // rejections that named a time
		Again   int // those of a server within the time that it had named before
	}
)

const (
	// MaxTime bounds the time that a server may name.
	MaxTime = time.Hour
	// minSweep is the number of entries up to which expired ones are kept.
	minSweep = 256
)

// New returns an empty tracker.
func New(clock clockwork.Clock) *Tracker {
	return &Tracker{clock: clock, until: make(map[string]time.Time), sweepAt: minSweep}
}

// Record records that a server rejected a request and asked for none within the given time. It
// reports whether the server's time ends later than was known.
func (t *Tracker) Record(server string, after time.Duration) bool {
	if after <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.Asked++
	if t.remaining(server) > 0 {
		t.state.Again++
	}
	until := t.clock.Now().Add(min(after, MaxTime))
	if !until.After(t.until[server]) {
		return false
	}
	t.until[server] = until
	if len(t.until) >= t.sweepAt {
		t.sweep()
	}
	return true
}

// Remaining returns for how much longer nothing may be sent to a server, or 0.
func (t *Tracker) Remaining(server string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.remaining(server)
}

// Forget ends the time of a server that has restarted.
func (t *Tracker) Forget(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.until, server)
}

// State returns the current counts.
func (t *Tracker) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state
	for server := range t.until {
		if t.remaining(server) > 0 {
			s.Servers++
		}
	}
	return s
}

// remaining is called with the lock held.
func (t *Tracker) remaining(server string) time.Duration {
	if len(t.until) == 0 { // the usual case, and this is called for each server in each choice
		return 0
	}
	until, ok := t.until[server]
	if !ok {
		return 0
	}
	return max(until.Sub(t.clock.Now()), 0)
}

// sweep deletes the entries whose time is over. The caller holds the lock.
func (t *Tracker) sweep() {
	now := t.clock.Now()
	maps.DeleteFunc(t.until, func(_ string, until time.Time) bool { return !until.After(now) })
	t.sweepAt = max(minSweep, 2*len(t.until))
}
