package beechoverload

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// SampleInterval is the time between calls of Observe.
	SampleInterval = 250 * time.Millisecond

	overloadDelay = 50 * time.Millisecond
	calmDelay     = 20 * time.Millisecond // from which on it has caught up
	sustainTime   = time.Second
	guardTime     = 10 * time.Second

	// The share of new connections that are taken: halved by each sample above overloadDelay, and
	// raised by shareStep by each that has caught up.
	shareStep = 0.05
	minShare  = 0.02
)

// Detector decides for one process. It is safe for concurrent use.
type Detector struct {
	clock  clockwork.Clock
	random func() float64 // from 0 up to 1

	mu           sync.Mutex
	now          time.Time // never steps back
	behindSince  time.Time // zero: the last sample was not above overloadDelay
	guardedUntil time.Time
	behind       bool
	share        float64
}

// New returns a detector of a process that keeps up. The function random returns numbers from 0 up
// to 1.
func New(clock clockwork.Clock, random func() float64) *Detector {
	return &Detector{clock: clock, random: random, now: clock.Now(), share: 1}
}

// Observe records the shortest wait of a new connection since the last call; 0: there was none.
func (d *Detector) Observe(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := d.clock.Now(); now.After(d.now) {
		d.now = now
	}
	if delay >= overloadDelay {
		d.observeOverload()
		return
	}
	d.behindSince = time.Time{}
	switch {
	case !d.now.Before(d.guardedUntil):
		d.behind, d.share = false, 1
	case delay < calmDelay:
		d.behind, d.share = false, min(d.share+shareStep, 1)
	}
}

func (d *Detector) observeOverload() {
	if d.behindSince.IsZero() {
		d.behindSince = d.now
	}
	if d.now.Sub(d.behindSince) < sustainTime && !d.now.Before(d.guardedUntil) {
		return
	}
	d.guardedUntil = d.now.Add(guardTime)
	d.behind, d.share = true, max(d.share/2, minShare)
}

// Guarded reports whether the process has been behind recently.
func (d *Detector) Guarded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now.Before(d.guardedUntil)
}

// TurnsAway reports whether a new connection is to be closed unread.
func (d *Detector) TurnsAway() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.behind || (d.share < 1 && d.random() >= d.share)
}
