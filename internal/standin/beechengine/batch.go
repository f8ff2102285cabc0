package beechengine

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

var errBusy = errors.New("the engine's queue is full")

type (
	// batch gives slots by priority and arrival, and prefill time in the
	// order in which slots were given.
	batch struct {
		mu          sync.Mutex
		clock       clockwork.Clock
		settings    Settings
		running     int
		waiting     []*ticket
		prefillFree time.Time
		slow        float64
		changed     func(running, waiting int)
	}

	ticket struct {
		priority int
		ready    chan struct{}
		granted  bool
	}
)

func newBatch(s Settings, clock clockwork.Clock, changed func(running, waiting int)) *batch {
	return &batch{settings: s, clock: clock, slow: 1, changed: changed}
}

// enter waits for a slot.
func (b *batch) enter(ctx context.Context, priority int) error {
	t, err := b.queue(priority)
	if err != nil {
		return err
	}
	select {
	case <-t.ready:
		return nil
	case <-ctx.Done():
		b.withdraw(t)
		return context.Cause(ctx)
	}
}

func (b *batch) queue(priority int) (*ticket, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := &ticket{priority: priority, ready: make(chan struct{})}
	if b.running < b.settings.Slots {
		b.grant(t)
		b.changed(b.running, len(b.waiting))
		return t, nil
	}
	if len(b.waiting) >= b.settings.WaitLimit {
		return nil, errBusy
	}
	at := len(b.waiting)
	for at > 0 && b.waiting[at-1].priority > priority {
		at--
	}
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[at+1:], b.waiting[at:])
	b.waiting[at] = t
	b.changed(b.running, len(b.waiting))
	return t, nil
}

func (b *batch) grant(t *ticket) {
	b.running++
	t.granted = true
	close(t.ready)
}

func (b *batch) withdraw(t *ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.granted {
		b.leaveLocked()
		return
	}
	for i, w := range b.waiting {
		if w == t {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			break
		}
	}
	b.changed(b.running, len(b.waiting))
}

func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaveLocked()
}

func (b *batch) leaveLocked() {
	b.running--
	if len(b.waiting) > 0 && b.running < b.settings.Slots {
		next := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.grant(next)
	}
	b.changed(b.running, len(b.waiting))
}

// prefill reserves the shared prefill for that many tokens and returns when
// they are done.
func (b *batch) prefill(tokens int) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if b.settings.PrefillRate <= 0 {
		return now
	}
	if b.prefillFree.Before(now) {
		b.prefillFree = now
	}
	seconds := float64(tokens) / float64(b.settings.PrefillRate) * b.slow
	b.prefillFree = b.prefillFree.Add(time.Duration(seconds * float64(time.Second)))
	return b.prefillFree
}

func (b *batch) tokenTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(float64(b.settings.TokenTime) * b.slow)
}

func (b *batch) setSlow(factor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slow = max(factor, 0)
	if b.slow == 0 {
		b.slow = 1
	}
}
