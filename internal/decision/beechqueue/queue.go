package beechqueue

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// Queue decides what runs on one backend server. It is safe for
	// concurrent use.
	Queue struct {
		mu       sync.Mutex
		settings Settings
		clock    clockwork.Clock
		waiting  []Work
		running  map[uint64]Work
	}

	// State is what the queue holds now. WaitingTokens counts uncached prompt
	// tokens that are not prefilled yet, waiting or running.
	State struct {
		Running       int
		Waiting       int
		WaitingTokens int64
	}
)

// New returns an empty queue.
func New(s Settings, c clockwork.Clock) *Queue {
	return &Queue{settings: s, clock: c, running: make(map[uint64]Work)}
}

// Offer asks whether work may run now, must wait or is refused.
func (q *Queue) Offer(w Work, l Load) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 && len(q.running) < l.Slots {
		q.running[w.ID] = w
		return Run{}
	}
	if len(q.waiting) >= q.settings.MaxWaiting {
		return Refuse{Reason: ReasonBusy, After: time.Second}
	}
	q.waiting = append(q.waiting, w)
	return Wait{Position: len(q.waiting)}
}

// Next gives the work that may start now; it counts as running from here on.
func (q *Queue) Next(l Load) []Work {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Work
	for len(q.waiting) > 0 && len(q.running) < l.Slots {
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running[w.ID] = w
		out = append(out, w)
	}
	return out
}

// Prefilled tells that the first token of running work came: its prefix is
// cached now and work that shares it may start.
func (q *Queue) Prefilled(id uint64) { _ = id }

// Finish tells that running work has ended and what it took.
func (q *Queue) Finish(id uint64, _ Usage) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.running, id)
}

// Cancel takes back waiting work; true says that it never ran and never will.
// It is false for running work, which ends by Finish.
func (q *Queue) Cancel(id uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(w Work) bool { return w.ID == id })
	return len(q.waiting) < n
}

// Overdue takes out the waiting work that cannot meet its deadline any more.
func (q *Queue) Overdue() []Refused { return nil }

// Wake says when Next or Overdue should be called again even if nothing is
// offered, prefilled or finished before; false if there is no such time.
func (q *Queue) Wake() (time.Time, bool) { return time.Time{}, false }

// State tells what the queue holds now.
func (q *Queue) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return State{Running: len(q.running), Waiting: len(q.waiting)}
}
