package beechengine

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

var errQueueFull = errors.New("the engine's queue is full")

type (
	// batch grants slots by priority, then in order of arrival. Prefill runs in
	// the order in which slots were granted.
	batch struct {
		mu               sync.Mutex
		clock            clockwork.Clock
		settings         Settings
		running          int
		waiting          []*waiter
		prefillBusyUntil time.Time
		slowdown         float64
		onChange         func(running, waiting int)
	}

	waiter struct {
		priority int
		ready    chan struct{}
		granted  bool
	}
)

func newBatch(s Settings, clock clockwork.Clock, onChange func(running, waiting int)) *batch {
	return &batch{settings: s, clock: clock, slowdown: 1, onChange: onChange}
}

// acquire waits for a slot. It fails if the queue is full or ctx ends.
func (b *batch) acquire(ctx context.Context, priority int) error {
	w, err := b.enqueue(priority)
	if err != nil {
		return err
	}
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		b.abandon(w)
		return context.Cause(ctx)
	}
}

func (b *batch) enqueue(priority int) (*waiter, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &waiter{priority: priority, ready: make(chan struct{})}
	if b.running < b.settings.Slots {
		b.grant(w)
		b.onChange(b.running, len(b.waiting))
		return w, nil
	}
	if len(b.waiting) >= b.settings.WaitLimit {
		return nil, errQueueFull
	}
	at := len(b.waiting)
	for at > 0 && b.waiting[at-1].priority > priority {
		at--
	}
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[at+1:], b.waiting[at:])
	b.waiting[at] = w
	b.onChange(b.running, len(b.waiting))
	return w, nil
}

func (b *batch) grant(w *waiter) {
	b.running++
	w.granted = true
	close(w.ready)
}

func (b *batch) abandon(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.granted {
		b.releaseLocked()
		return
	}
	for i, queued := range b.waiting {
		if queued == w {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			break
		}
	}
	b.onChange(b.running, len(b.waiting))
}

func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked()
}

func (b *batch) releaseLocked() {
	b.running--
	if len(b.waiting) > 0 && b.running < b.settings.Slots {
		next := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.grant(next)
	}
	b.onChange(b.running, len(b.waiting))
}

// prefill schedules tokens on the shared prefill and returns the time at which
// they will be done.
func (b *batch) prefill(tokens int) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if b.settings.PrefillRate <= 0 {
		return now
	}
	if b.prefillBusyUntil.Before(now) {
		b.prefillBusyUntil = now
	}
	seconds := float64(tokens) / float64(b.settings.PrefillRate) * b.slowdown
	b.prefillBusyUntil = b.prefillBusyUntil.Add(time.Duration(seconds * float64(time.Second)))
	return b.prefillBusyUntil
}

func (b *batch) tokenTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(float64(b.settings.TokenTime) * b.slowdown)
}

func (b *batch) setSlowdown(factor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slowdown = max(factor, 0)
	if b.slowdown == 0 {
		b.slowdown = 1
	}
}
