package beechengine

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

var (
	errCrashed    = errors.New("the engine crashed")
	errCancelled  = errors.New("the request was cancelled")
	errCallerGone = errors.New("the caller went away")
)

type (
	// Engine simulates a model engine. Use New to create one.
	Engine struct {
		settings Settings
		clock    clockwork.Clock
		journal  *journal
		faults   *faults

		mu       sync.Mutex
		instance *instance // nil during the downtime after a crash
	}

	// instance is the state that is lost in a crash.
	instance struct {
		incarnation uint64
		ctx         context.Context
		stop        context.CancelCauseFunc
		cache       *promptCache
		batch       *batch
		loads       *loadHistory
		models      *modelSet

		mu      sync.Mutex
		cancels map[string]map[*Entry]context.CancelCauseFunc
	}
)

// New returns an engine that is ready to serve.
func New(s Settings, clock clockwork.Clock) *Engine {
	s = s.withDefaults()
	return &Engine{
		settings: s,
		clock:    clock,
		journal:  newJournal(s.JournalLimit, s.Journal),
		faults:   &faults{},
		instance: newInstance(s, clock),
	}
}

func newInstance(s Settings, clock clockwork.Clock) *instance {
	ctx, stop := context.WithCancelCause(context.Background())
	loads := &loadHistory{clock: clock, lag: s.ReportLag}
	return &instance{
		incarnation: rand.Uint64() | 1,
		ctx:         ctx,
		stop:        stop,
		cache:       newPromptCache(s, clock),
		batch:       newBatch(s, clock, loads.record),
		loads:       loads,
		models:      newModelSet(s, clock),
		cancels:     map[string]map[*Entry]context.CancelCauseFunc{},
	}
}

// Journal returns a snapshot of the journal.
func (e *Engine) Journal() Journal {
	return e.journal.snapshot()
}

// Incarnation returns a random number that changes with each crash and start,
// or 0 during the downtime after a crash.
func (e *Engine) Incarnation() uint64 {
	if inst := e.currentInstance(); inst != nil {
		return inst.incarnation
	}
	return 0
}

// Crash aborts all requests and discards the engine's state. The engine
// restarts after pause, or after Settings.CrashPause if pause is 0.
func (e *Engine) Crash(pause time.Duration) {
	if pause <= 0 {
		pause = e.settings.CrashPause
	}
	e.mu.Lock()
	inst := e.instance
	e.instance = nil
	e.mu.Unlock()
	if inst == nil {
		return
	}
	inst.stop(errCrashed)
	e.clock.AfterFunc(pause, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.instance = newInstance(e.settings, e.clock)
	})
}

func (e *Engine) currentInstance() *instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance
}

// withInstance wraps a handler that needs a running instance. During the
// downtime after a crash it closes the connection, as a dead process would.
func (e *Engine) withInstance(handle func(*instance, http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.faults.waitWhileFrozen(r.Context()) != nil {
			panic(http.ErrAbortHandler)
		}
		inst := e.currentInstance()
		if inst == nil {
			panic(http.ErrAbortHandler)
		}
		if isCall(r) {
			if form, pause, ok := e.faults.consumeEndless(true); ok {
				_ = e.sendEndless(r.Context(), w, form, pause)
				return
			}
		}
		handle(inst, w, r)
	}
}

// requestContext returns the context of a request. It is cancelled when the
// engine crashes, the caller's connection closes or the request is cancelled
// through the API.
func (inst *instance) requestContext(caller context.Context, entry *Entry) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(inst.ctx)
	stop := context.AfterFunc(caller, func() { cancel(errCallerGone) })
	inst.mu.Lock()
	defer inst.mu.Unlock()
	id := entry.RequestID
	if inst.cancels[id] == nil {
		inst.cancels[id] = map[*Entry]context.CancelCauseFunc{}
	}
	inst.cancels[id][entry] = cancel
	return ctx, func() {
		stop()
		cancel(nil)
		inst.removeCancel(id, entry)
	}
}

func (inst *instance) removeCancel(id string, entry *Entry) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	delete(inst.cancels[id], entry)
	if len(inst.cancels[id]) == 0 {
		delete(inst.cancels, id)
	}
}

func (inst *instance) cancelRequest(id string) int {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	for _, cancel := range inst.cancels[id] {
		cancel(errCancelled)
	}
	return len(inst.cancels[id])
}
