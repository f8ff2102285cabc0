package beechsaturation

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

type (
	// Tracker tracks which servers are full, at one gate. It is safe for concurrent use.
	Tracker struct {
		clock    clockwork.Clock
		onUpdate func()

		mu      sync.Mutex
		entries map[uint64]fullEntry // by the hash of a server's ID
		state   State
	}

	// FullServer reports that a server is full, and for how much longer.
	FullServer struct {
		Server    uint64 // hash of the server's ID
		Remaining time.Duration
	}

	// State contains counts for metrics.
	State struct {
		Full            int // servers that are full now
		Rejections      int `json:"TurnedAway"` // rejected requests of this gate, by servers not known to be full
		KnownRejections int `json:"Again"`      // rejected requests of this gate, by servers known to be full
		Reports         int `json:"Heard"`      // reports of full servers by other gates
	}

	// fullEntry is kept for repeatWindow after until.
	fullEntry struct {
		since         time.Time
		until         time.Time
		announceUntil time.Time // end to announce to the other gates; zero if there is nothing to announce
		repeats       int       // how often in a row the server was full again
	}
)

const (
	// defaultFullTime is how long a server counts as full if its response names no time.
	defaultFullTime = 150 * time.Millisecond
	// maxDoublings limits how often defaultFullTime is doubled for a server that stays full.
	maxDoublings = 2
	// repeatWindow is the time after an entry's end within which a server that is full again
	// counts as having stayed full.
	repeatWindow = time.Second
	// maxFullTime bounds the time that a server's response may name.
	maxFullTime = 2 * time.Second
	// maxServers bounds memory.
	maxServers = 4096
	// updateSpacing times the number of gates is the time between a gate's updates, so that all
	// gates together send at most 50 per second.
	updateSpacing = 20 * time.Millisecond
)

// New returns an empty tracker. onUpdate is called when there is an update to send to the other
// gates; it must not block.
func New(clock clockwork.Clock, onUpdate func()) *Tracker {
	return &Tracker{clock: clock, onUpdate: onUpdate, entries: make(map[uint64]fullEntry)}
}

// UpdateInterval returns the minimum time between two updates of a gate, for the given number of
// gates.
func UpdateInterval(gates int) time.Duration { return updateSpacing * time.Duration(max(gates, 1)) }

// Rejected records that a server rejected a request because it is full. after is the time after
// which the server asked for a retry, 0 if it named none.
func (t *Tracker) Rejected(server string, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key, now := xxhash.Sum64String(server), t.clock.Now()
	if now.Before(t.entries[key].until) {
		t.state.KnownRejections++
		return
	}
	t.state.Rejections++
	if after > 0 {
		after = min(max(after, defaultFullTime), maxFullTime)
	} else {
		after = defaultFullTime << min(t.repeatCount(key), maxDoublings)
	}
	if t.markFull(key, after, now.Add(after)) {
		t.onUpdate()
	}
}

// Answered records that a server processed a request that was sent at the given time. The server is
// no longer full, unless the request was sent before the entry was made.
func (t *Tracker) Answered(server string, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := xxhash.Sum64String(server)
	if entry, ok := t.entries[key]; ok && sent.After(entry.since) {
		delete(t.entries, key)
	}
}

// IsFull reports whether a server counts as full.
func (t *Tracker) IsFull(server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) == 0 { // the usual case, and this is called for each server in each choice
		return false
	}
	entry, ok := t.entries[xxhash.Sum64String(server)]
	return ok && t.clock.Now().Before(entry.until)
}

// NextUpdate returns the full servers to send to the other gates, those with the most remaining
// time first. Each entry is sent once.
func (t *Tracker) NextUpdate() []FullServer {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var update []FullServer
	for key, entry := range t.entries {
		if remaining := entry.announceUntil.Sub(now); !entry.announceUntil.IsZero() && remaining > 0 {
			update = append(update, FullServer{Server: key, Remaining: remaining})
		}
		entry.announceUntil = time.Time{}
		t.entries[key] = entry
	}
	slices.SortFunc(update, func(x, y FullServer) int {
		return cmp.Or(cmp.Compare(y.Remaining, x.Remaining), cmp.Compare(x.Server, y.Server))
	})
	return update
}

// ApplyUpdate applies an update received from another gate.
func (t *Tracker) ApplyUpdate(update []FullServer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, server := range update {
		if server.Remaining > 0 {
			t.state.Reports++
			t.markFull(server.Server, min(server.Remaining, maxFullTime), time.Time{})
		}
	}
}

// State returns the current counts.
func (t *Tracker) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.state, t.clock.Now()
	for _, entry := range t.entries {
		if now.Before(entry.until) {
			s.Full++
		}
	}
	return s
}

// markFull makes an entry for the given time and a random part of it. The caller holds the lock.
func (t *Tracker) markFull(key uint64, remaining time.Duration, announceUntil time.Time) bool {
	if len(t.entries) >= maxServers {
		t.sweep()
	}
	old, known := t.entries[key]
	if !known && len(t.entries) >= maxServers {
		return false
	}
	now := t.clock.Now()
	until := now.Add(remaining + time.Duration(rand.Float64()*float64(remaining)))
	if old.until.After(until) {
		until = old.until
	}
	t.entries[key] = fullEntry{since: now, until: until, announceUntil: announceUntil, repeats: t.repeatCount(key)}
	return true
}

// repeatCount returns how often in a row a server has been full again, if it is full now. The
// caller holds the lock.
func (t *Tracker) repeatCount(key uint64) int {
	entry, known := t.entries[key]
	switch now := t.clock.Now(); {
	case !known || now.Sub(entry.until) > repeatWindow:
		return 0
	case now.Before(entry.until):
		return entry.repeats
	}
	return min(entry.repeats+1, maxDoublings)
}

// sweep deletes old entries. The caller holds the lock.
func (t *Tracker) sweep() {
	now := t.clock.Now()
	maps.DeleteFunc(t.entries, func(_ uint64, entry fullEntry) bool { return now.Sub(entry.until) > repeatWindow })
}
