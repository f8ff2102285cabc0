package beechengine

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// How a request stands.
const (
	StateWaiting   State = "waiting"   // in the engine's queue, nothing computed
	StateRunning   State = "running"   // has a slot
	StateFinished  State = "finished"  // whole answer given
	StateCancelled State = "cancelled" // by an order, or because the caller went away
	StateCrashed   State = "crashed"   // the engine died with it
	StateRefused   State = "refused"   // not run
)

type (
	// State is how a request stands in the journal.
	State string

	// Entry is one run of a request. Ran tells that it got a slot, so that
	// something was computed for it.
	Entry struct {
		RequestID   string    `json:"request_id"`
		Attempt     int       `json:"attempt"` // by this engine, of this request id, from 1
		Salt        string    `json:"salt"`
		Fingerprint string    `json:"fingerprint"`
		Model       string    `json:"model"` // model@weights that served
		Adapter     string    `json:"adapter,omitempty"`
		Incarnation uint64    `json:"incarnation"`
		Priority    int       `json:"priority"`
		State       State     `json:"state"`
		Ran         bool      `json:"ran"`
		Prompt      int       `json:"prompt"`
		Cached      int       `json:"cached"`
		Stale       int       `json:"stale"` // cached tokens that other weights had computed
		Computed    int       `json:"computed"`
		Resumed     int       `json:"resumed"` // output tokens given by an earlier run
		Output      int       `json:"output"`  // output tokens given by this run
		Began       time.Time `json:"began"`
		Ended       time.Time `json:"ended,omitzero"`
	}

	// OrderEntry is one order as it arrived.
	OrderEntry struct {
		Order
		Accepted    bool      `json:"accepted"`
		Incarnation uint64    `json:"incarnation"`
		At          time.Time `json:"at"`
	}

	// Journal is the answer to GET /journal. Dropped counts entries that went
	// because the journal was full.
	Journal struct {
		Entries []Entry      `json:"entries"`
		Orders  []OrderEntry `json:"orders"`
		Dropped int          `json:"dropped"`
	}

	journal struct {
		mu       sync.Mutex
		limit    int
		writer   io.Writer
		entries  []*Entry
		orders   []OrderEntry
		attempts map[string]int
		dropped  int
	}
)

func newJournal(limit int, writer io.Writer) *journal {
	return &journal{limit: limit, writer: writer, attempts: map[string]int{}}
}

func (j *journal) begin(e Entry) *Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.entries) >= 2*j.limit {
		j.trim()
	}
	j.attempts[e.RequestID]++
	e.Attempt = j.attempts[e.RequestID]
	j.entries = append(j.entries, &e)
	j.write(&e)
	return &e
}

func (j *journal) trim() {
	gone := len(j.entries) - j.limit
	for _, e := range j.entries[:gone] {
		delete(j.attempts, e.RequestID)
	}
	j.entries = append([]*Entry(nil), j.entries[gone:]...)
	j.dropped += gone
}

func (j *journal) update(e *Entry, change func(*Entry)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	before := e.State
	change(e)
	if e.State != before {
		j.write(e)
	}
}

func (j *journal) order(e OrderEntry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.orders = append(j.orders, e)
}

func (j *journal) write(e *Entry) {
	if j.writer == nil {
		return
	}
	line, err := json.Marshal(e)
	if err == nil {
		j.writer.Write(append(line, '\n'))
	}
}

func (j *journal) snapshot() Journal {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := Journal{Entries: make([]Entry, len(j.entries)), Orders: append([]OrderEntry{}, j.orders...), Dropped: j.dropped}
	for i, e := range j.entries {
		s.Entries[i] = *e
	}
	return s
}
