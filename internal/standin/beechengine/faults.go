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
	}

	faults struct {
		mu      sync.Mutex
		marker  []byte
		frozen  chan struct{}
		busy    int
		wrongID int
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
		e.faults.freeze()
		if f.Pause() > 0 {
			e.clock.AfterFunc(f.Pause(), e.faults.thaw)
		}
	case FaultThaw:
		e.faults.thaw()
	case FaultBusy:
		e.faults.update(func() { e.faults.busy = f.Count })
	case FaultWrongID:
		e.faults.update(func() { e.faults.wrongID = f.Count })
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

func (f *faults) freeze() {
	f.update(func() {
		if f.frozen == nil {
			f.frozen = make(chan struct{})
		}
	})
}

func (f *faults) thaw() {
	f.update(func() {
		if f.frozen != nil {
			close(f.frozen)
			f.frozen = nil
		}
	})
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
