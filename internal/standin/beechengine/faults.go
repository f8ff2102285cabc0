package beechengine

import (
	"bytes"
	"context"
	"sync"
	"time"
)

// Faults that POST /standin/fault can inject.
const (
	FaultCrash      FaultKind = "crash"       // close all connections, restart without state after PauseMillis
	FaultPoison     FaultKind = "poison"      // prompts that contain Marker crash the engine; an empty Marker ends the fault
	FaultFreeze     FaultKind = "freeze"      // stop answering for PauseMillis, or until FaultThaw if it is 0
	FaultThaw       FaultKind = "thaw"        // end a freeze
	FaultLoseEvents FaultKind = "lose_events" // drop the next Count cache events
	FaultSlow       FaultKind = "slow"        // prefill and token generation take Factor times as long; 1 ends the fault
	FaultBusy       FaultKind = "busy"        // reject the next Count requests with status 503
	FaultClearCache FaultKind = "clear"       // clear the prompt cache and publish an event for it
	FaultWrongID    FaultKind = "cross"       // the next Count answers carry the ID of another request
	FaultEndless    FaultKind = "endless"     // the next Count answers are bytes without end, in the form Form
)

type (
	// FaultKind is the type of a fault.
	FaultKind string

	// Fault is the body of POST /standin/fault.
	Fault struct {
		Kind        FaultKind `json:"kind"`
		PauseMillis int64     `json:"pause_millis,omitempty"`
		Marker      string    `json:"marker,omitempty"`
		Count       int       `json:"count,omitempty"`
		Factor      float64   `json:"factor,omitempty"`
		Form        string    `json:"form,omitempty"`  // one of endlessForms
		Full        bool      `json:"full,omitempty"`  // endless answers are sent as fast as they are read
		Calls       bool      `json:"calls,omitempty"` // endless answers are those to agents' calls too
	}

	faults struct {
		mu      sync.Mutex
		marker  []byte
		frozen  chan struct{}
		thawAt  time.Time // latest end of a freeze; zero: it has none
		busy    int
		wrongID int
		endless int
		form    string
		full    bool
		calls   bool
	}
)

// Pause returns PauseMillis as a duration.
func (f Fault) Pause() time.Duration {
	return time.Duration(f.PauseMillis) * time.Millisecond
}

// Inject injects a fault. It returns false if the kind is unknown.
func (e *Engine) Inject(f Fault) bool {
	switch f.Kind {
	case FaultCrash:
		e.Crash(f.Pause())
	case FaultPoison:
		e.faults.update(func() { e.faults.marker = []byte(f.Marker) })
	case FaultFreeze:
		e.freeze(f.Pause())
	case FaultThaw:
		e.faults.thaw()
	case FaultBusy:
		e.faults.update(func() { e.faults.busy = f.Count })
	case FaultWrongID:
		e.faults.update(func() { e.faults.wrongID = f.Count })
	case FaultEndless:
		if _, ok := endlessForms[f.Form]; !ok {
			return false
		}
		e.faults.update(func() {
			e.faults.endless, e.faults.form, e.faults.full, e.faults.calls = f.Count, f.Form, f.Full, f.Calls
		})
	case FaultLoseEvents, FaultSlow, FaultClearCache:
		e.injectIntoInstance(f)
	default:
		return false
	}
	return true
}

func (e *Engine) injectIntoInstance(f Fault) {
	inst := e.currentInstance()
	if inst == nil {
		return
	}
	switch f.Kind {
	case FaultLoseEvents:
		inst.cache.loseEvents(f.Count)
	case FaultSlow:
		inst.batch.setSlowdown(f.Factor)
	case FaultClearCache:
		inst.cache.clear()
	}
}

func (f *faults) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// freeze stops answers for a time, or until a thaw if the time is 0. Of overlapping freezes the one that
// ends last counts.
func (e *Engine) freeze(pause time.Duration) {
	thawAt := e.clock.Now().Add(pause)
	e.faults.update(func() {
		switch {
		case e.faults.frozen == nil:
			e.faults.frozen = make(chan struct{})
			e.faults.thawAt = thawAt
		case !e.faults.thawAt.IsZero() && thawAt.After(e.faults.thawAt):
			e.faults.thawAt = thawAt
		}
		if pause <= 0 {
			e.faults.thawAt = time.Time{}
		}
	})
	if pause > 0 {
		e.clock.AfterFunc(pause, e.thawIfOver)
	}
}

func (e *Engine) thawIfOver() {
	e.faults.update(func() {
		if !e.faults.thawAt.IsZero() && !e.clock.Now().Before(e.faults.thawAt) {
			e.faults.thawLocked()
		}
	})
}

func (f *faults) thaw() {
	f.update(f.thawLocked)
}

func (f *faults) thawLocked() {
	if f.frozen != nil {
		close(f.frozen)
		f.frozen = nil
	}
}

// waitWhileFrozen blocks while the engine is frozen. It returns the cause of
// ctx if ctx ends first.
func (f *faults) waitWhileFrozen(ctx context.Context) error {
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

func (f *faults) containsMarker(prompt []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.marker) > 0 && bytes.Contains(prompt, f.marker)
}

func (f *faults) consumeBusy() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy <= 0 {
		return false
	}
	f.busy--
	return true
}

func (f *faults) consumeWrongID() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wrongID <= 0 {
		return false
	}
	f.wrongID--
	return true
}
