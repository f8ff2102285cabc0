package beechrecord

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// Memory records requests that may be repeated but carry a key, in this
	// process only. A repeat joins the first; the same key with another body
	// is refused.
	Memory struct {
		clock    clockwork.Clock
		settings MemorySettings

		mu      sync.Mutex
		entries map[Key]*remembered
		order   []*remembered // the oldest first
	}

	// MemorySettings bound a Memory. Zero fields get the defaults named.
	MemorySettings struct {
		Entries   int           // the oldest that have ended are dropped above; 65536
		Retention time.Duration // an entry that has ended is kept so long; 10 min
	}

	// OpenResult is what a keyed request gets: Opened, Joined or Mismatch.
	OpenResult interface{ openResult() }

	// Opened says that the request is to be run. Its End must be called once,
	// with what repeats may be told, or with nothing to forget the key.
	Opened struct {
		memory *Memory
		entry  *remembered
	}

	// Joined says that the request runs or has run as RequestID, whose stream
	// the repeat is to follow.
	Joined struct {
		RequestID string
		ended     <-chan struct{}
		entry     *remembered
	}

	remembered struct {
		key       Key
		body      BodySum
		requestID string
		ended     chan struct{}
		endedAt   time.Time
		outcome   Outcome
		dropped   bool
	}
)

const (
	defaultEntries         = 1 << 16
	defaultMemoryRetention = 10 * time.Minute
)

// NewMemory starts empty.
func NewMemory(clock clockwork.Clock, settings MemorySettings) *Memory {
	setDefault(&settings.Entries, defaultEntries)
	setDefault(&settings.Retention, defaultMemoryRetention)
	return &Memory{clock: clock, settings: settings, entries: map[Key]*remembered{}}
}

// Open looks a key up and takes it if it is free.
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
	e = &remembered{key: key, body: body, requestID: requestID, ended: make(chan struct{})}
	m.entries[key] = e
	m.order = append(m.order, e)
	return Opened{memory: m, entry: e}
}

// End keeps the outcome for repeats. With NotRun the key is free again.
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
		m.drop(e)
	}
	close(e.ended)
}

// Outcome waits for the first request's end.
func (j Joined) Outcome(ctx context.Context) (Outcome, error) {
	select {
	case <-j.ended:
		return j.entry.outcome, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Len gives the number of keys kept.
func (m *Memory) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.entries)
}

// expire drops from the oldest on. What still runs is passed over: without
// its entry a repeat would run a second time beside it.
func (m *Memory) expire() {
	var running []*remembered
	for len(m.order) > 0 {
		e := m.order[0]
		switch {
		case e.dropped:
		case e.outcome == nil:
			running = append(running, e)
		case m.clock.Since(e.endedAt) <= m.settings.Retention && len(m.entries) < m.settings.Entries:
			m.order = append(running, m.order...)
			return
		default:
			m.drop(e)
		}
		m.order = m.order[1:]
	}
	m.order = running
}

func (m *Memory) drop(e *remembered) {
	e.dropped = true
	if m.entries[e.key] == e {
		delete(m.entries, e.key)
	}
}

func (Opened) openResult()    {}
func (Joined) openResult()   {}
func (Mismatch) openResult() {}
