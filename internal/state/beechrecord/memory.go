package beechrecord

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// Memory records requests that may be repeated but carry a key, within one
	// process. A repeat joins the first request; a request with the same key
	// and a different body is refused.
	Memory struct {
		clock    clockwork.Clock
		settings MemorySettings

		mu      sync.Mutex
		entries map[Key]*memoryEntry
		byAge   []*memoryEntry // in the order of arrival
	}

	// MemorySettings limits a Memory. Zero fields get the defaults given after
	// the semicolons.
	MemorySettings struct {
		Entries   int           // number of entries from which the oldest ended ones are evicted; 65536
		Retention time.Duration // how long an entry is kept after its request ended; 10 min
	}

	// OpenResult is the result of Memory.Open: Opened, Joined or Mismatch.
	OpenResult interface{ openResult() }

	// Opened means that the key was free and the caller must run the request.
	// Its End must be called exactly once, with the outcome for repeats, or
	// with NotRun to free the key.
	Opened struct {
		memory *Memory
		entry  *memoryEntry
	}

	// Joined means that the request is running or has run as RequestID. The
	// repeat should follow that request's stream.
	Joined struct {
		RequestID string
		ended     <-chan struct{}
		entry     *memoryEntry
	}

	memoryEntry struct {
		key       Key
		body      BodySum
		requestID string
		ended     chan struct{}
		endedAt   time.Time
		outcome   Outcome
		removed   bool
	}
)

const (
	defaultEntries         = 1 << 16
	defaultMemoryRetention = 10 * time.Minute
)

// NewMemory returns an empty Memory.
func NewMemory(clock clockwork.Clock, settings MemorySettings) *Memory {
	setDefault(&settings.Entries, defaultEntries)
	setDefault(&settings.Retention, defaultMemoryRetention)
	return &Memory{clock: clock, settings: settings, entries: map[Key]*memoryEntry{}}
}

// Open looks up a key and reserves it if it is free.
func (m *Memory) Open(key Key, body BodySum, requestID string) OpenResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	e, ok := m.entries[key]
	switch {
	case ok && e.body != body:
		return Mismatch{RequestID: e.requestID}
	case ok:
		return Joined{RequestID: e.requestID, ended: e.ended, entry: e}
	}
	e = &memoryEntry{key: key, body: body, requestID: requestID, ended: make(chan struct{})}
	m.entries[key] = e
	m.byAge = append(m.byAge, e)
	return Opened{memory: m, entry: e}
}

// End stores the outcome for repeats and wakes those that wait. NotRun frees
// the key.
func (f Opened) End(o Outcome) {
	m, e := f.memory, f.entry
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.outcome != nil {
		return
	}
	e.outcome = o
	e.endedAt = m.clock.Now()
	if _, ok := o.(NotRun); ok {
		m.remove(e)
	}
	close(e.ended)
}

// Outcome waits until the first request has ended.
func (j Joined) Outcome(ctx context.Context) (Outcome, error) {
	select {
	case <-j.ended:
		return j.entry.outcome, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Len returns the number of stored keys.
func (m *Memory) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.entries)
}

// expire evicts ended entries, oldest first. Entries of running requests are
// kept, since a repeat would otherwise run at the same time.
func (m *Memory) expire() {
	var running []*memoryEntry
	for len(m.byAge) > 0 {
		e := m.byAge[0]
		switch {
		case e.removed:
		case e.outcome == nil:
			running = append(running, e)
		case m.clock.Since(e.endedAt) <= m.settings.Retention && len(m.entries) < m.settings.Entries:
			m.byAge = append(running, m.byAge...)
			return
		default:
			m.remove(e)
		}
		m.byAge = m.byAge[1:]
	}
	m.byAge = running
}

func (m *Memory) remove(e *memoryEntry) {
	e.removed = true
	if m.entries[e.key] == e {
		delete(m.entries, e.key)
	}
}

func (Opened) openResult()   {}
func (Joined) openResult()   {}
func (Mismatch) openResult() {}
