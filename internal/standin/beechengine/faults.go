package beechengine

import (
	"bytes"
	"context"
	"sync"
	"time"
)

// What POST /standin/fault can bring about.
const (
	FaultCrash      FaultKind = "crash"       // cut all connections, come back empty after PauseMillis
	FaultPoison     FaultKind = "poison"      // prompts that contain Marker crash the engine; empty ends it
	FaultFreeze     FaultKind = "freeze"      // answer nothing for PauseMillis, or until thawed where it is 0
	FaultThaw       FaultKind = "thaw"        // end a freeze
	FaultLoseEvents FaultKind = "lose_events" // lose the next Count cache events
	FaultSlow       FaultKind = "slow"        // all computing takes Factor times as long; 1 ends it
	FaultBusy       FaultKind = "busy"        // refuse the next Count requests with 503
	FaultClearCache FaultKind = "clear"       // empty the prompt cache and say so by an event
	FaultWrongID    FaultKind = "cross"       // the next Count answers carry another request's id
)

type (
	// FaultKind names a fault.
	FaultKind string

	// Fault is the body of POST /standin/fault.
	Fault struct {
		Kind        FaultKind `json:"kind"`
		PauseMillis int64     `json:"pause_millis,omitempty"`
		Marker      string    `json:"marker,omitempty"`
		Count       int       `json:"count,omitempty"`
		Factor      float64   `json:"factor,omitempty"`
	}

	faults struct {
		mu     sync.Mutex
		marker []byte
		frozen chan struct{}
		busy   int
		cross  int
	}
)

// Pause is the fault's time.
func (f Fault) Pause() time.Duration {
	return time.Duration(f.PauseMillis) * time.Millisecond
}

// Inject brings about a fault. It returns false for a kind it does not know.
func (e *Engine) Inject(f Fault) bool {
	switch f.Kind {
	case FaultCrash:
		e.Crash(f.Pause())
	case FaultPoison:
		e.faults.set(func() { e.faults.marker = []byte(f.Marker) })
	case FaultFreeze:
		e.faults.freeze()
		if f.Pause() > 0 {
			e.clock.AfterFunc(f.Pause(), e.faults.thaw)
		}
	case FaultThaw:
		e.faults.thaw()
	case FaultBusy:
		e.faults.set(func() { e.faults.busy = f.Count })
	case FaultWrongID:
		e.faults.set(func() { e.faults.cross = f.Count })
	case FaultLoseEvents, FaultSlow, FaultClearCache:
		e.injectAlive(f)
	default:
		return false
	}
	return true
}

func (e *Engine) injectAlive(f Fault) {
	l := e.alive()
	if l == nil {
		return
	}
	switch f.Kind {
	case FaultLoseEvents:
		l.cache.loseNext(f.Count)
	case FaultSlow:
		l.batch.setSlow(f.Factor)
	case FaultClearCache:
		l.cache.clear()
	}
}

func (f *faults) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *faults) freeze() {
	f.set(func() {
		if f.frozen == nil {
			f.frozen = make(chan struct{})
		}
	})
}

func (f *faults) thaw() {
	f.set(func() {
		if f.frozen != nil {
			close(f.frozen)
			f.frozen = nil
		}
	})
}

// wait holds while the engine is frozen.
func (f *faults) wait(ctx context.Context) error {
	f.mu.Lock()
	frozen := f.frozen
	f.mu.Unlock()
	if frozen == nil {
		return nil
	}
	select {
	case <-frozen:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (f *faults) poisons(prompt []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.marker) > 0 && bytes.Contains(prompt, f.marker)
}

func (f *faults) takeBusy() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy <= 0 {
		return false
	}
	f.busy--
	return true
}

func (f *faults) takeCross() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cross <= 0 {
		return false
	}
	f.cross--
	return true
}
