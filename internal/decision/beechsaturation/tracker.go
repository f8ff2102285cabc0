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
	// Tracker is what a gate knows of full servers. It is safe for concurrent use.
	Tracker struct {
		clock    clockwork.Clock
		onUpdate func()

		mu      sync.Mutex
		entries map[uint64]fullEntry // by the hash of a server's ID
		state   State
	}

	// FullServer says that a server is full, and for how long.
	FullServer struct {
		Server    uint64
		Remaining time.Duration
	}

	// State counts what has happened so far.
	State struct {
		Full            int // servers, now
		Rejections      int `json:"TurnedAway"` // requests of this gate, where it knew nothing
		KnownRejections int `json:"Again"`      // those of servers that it had heard of
		Reports         int `json:"Heard"`      // words on servers
	}

	fullEntry struct {
		since         time.Time
		until         time.Time
		announceUntil time.Time // until when others are to believe it; zero: they need not be told
		repeats       int       // times that it was full once more, one after the other
	}
)

const (
	// fullFor is how long a server that names no time is taken to be full.
	defaultFullTime = 150 * time.Millisecond
	// fullShift doublings of it at most are for one that stays full.
	maxDoublings = 2
	// staysWithin is the time after a belief in which a server that is full again has
	// stayed so.
	repeatWindow = time.Second
	// fullMost bounds the time that a server asks for.
	maxFullTime = 2 * time.Second
	// serversMost bounds memory.
	maxServers = 4096
	// wordSpace between words of a gate, times the number of gates: all of them together
	// send 50 a second.
	updateSpacing = 20 * time.Millisecond
)

// New returns a register. news is called when the other gates are to be told; it must not
// block.
func New(clock clockwork.Clock, news func()) *Tracker {
	return &Tracker{clock: clock, onUpdate: news, entries: make(map[uint64]fullEntry)}
}

// UpdateInterval is the least time between words of one of so many gates.
func UpdateInterval(gates int) time.Duration { return updateSpacing * time.Duration(max(gates, 1)) }

// Rejected takes in that a server turned a request away as it is full, and after which
// time it asks to be tried again; 0 is not told.
func (r *Tracker) Rejected(server string, after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key, now := xxhash.Sum64String(server), r.clock.Now()
	if now.Before(r.entries[key].until) {
		r.state.KnownRejections++
		return
	}
	r.state.Rejections++
	if after > 0 {
		after = min(max(after, defaultFullTime), maxFullTime)
	} else {
		after = defaultFullTime << min(r.repeatCount(key), maxDoublings)
	}
	if r.markFull(key, after, now.Add(after)) {
		r.onUpdate()
	}
}

// Answered takes in that a server answered a request that was sent at a time.
func (r *Tracker) Answered(server string, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := xxhash.Sum64String(server)
	if b, ok := r.entries[key]; ok && sent.After(b.since) {
		delete(r.entries, key)
	}
}

// IsFull tells whether a server is believed to be full.
func (r *Tracker) IsFull(server string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) == 0 { // as it mostly is, and every choice asks for each server
		return false
	}
	b, ok := r.entries[xxhash.Sum64String(server)]
	return ok && r.clock.Now().Before(b.until)
}

// NextUpdate is what the other gates are to hear, the most lasting first. Each server is told
// once.
func (r *Tracker) NextUpdate() []FullServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var word []FullServer
	for key, b := range r.entries {
		if left := b.announceUntil.Sub(now); !b.announceUntil.IsZero() && left > 0 {
			word = append(word, FullServer{Server: key, Remaining: left})
		}
		b.announceUntil = time.Time{}
		r.entries[key] = b
	}
	slices.SortFunc(word, func(x, y FullServer) int {
		return cmp.Or(cmp.Compare(y.Remaining, x.Remaining), cmp.Compare(x.Server, y.Server))
	})
	return word
}

// ApplyUpdate takes in another gate's word.
func (r *Tracker) ApplyUpdate(word []FullServer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, told := range word {
		if told.Remaining > 0 {
			r.state.Reports++
			r.markFull(told.Server, min(told.Remaining, maxFullTime), time.Time{})
		}
	}
}

// State gives what has happened so far.
func (r *Tracker) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, now := r.state, r.clock.Now()
	for _, b := range r.entries {
		if now.Before(b.until) {
			s.Full++
		}
	}
	return s
}

// believe takes a server for full for a time and a random part of it. The caller holds the lock.
func (r *Tracker) markFull(key uint64, left time.Duration, told time.Time) bool {
	if len(r.entries) >= maxServers {
		r.sweep()
	}
	old, known := r.entries[key]
	if !known && len(r.entries) >= maxServers {
		return false
	}
	now := r.clock.Now()
	until := now.Add(left + time.Duration(rand.Float64()*float64(left)))
	if old.until.After(until) {
		until = old.until
	}
	r.entries[key] = fullEntry{since: now, until: until, announceUntil: told, repeats: r.repeatCount(key)}
	return true
}

// again is how often in a row a server has been full once more if it is full now. The
// caller holds the lock.
func (r *Tracker) repeatCount(key uint64) int {
	b, known := r.entries[key]
	switch now := r.clock.Now(); {
	case !known || now.Sub(b.until) > repeatWindow:
		return 0
	case now.Before(b.until):
		return b.repeats
	}
	return min(b.repeats+1, maxDoublings)
}

// sweep drops what is over. The caller holds the lock.
func (r *Tracker) sweep() {
	now := r.clock.Now()
	maps.DeleteFunc(r.entries, func(_ uint64, b fullEntry) bool { return now.Sub(b.until) > repeatWindow })
}
