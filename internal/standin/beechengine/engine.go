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
	errCrashed   = errors.New("the engine crashed")
	errCancelled = errors.New("the request was cancelled")
	errGone      = errors.New("the caller went away")
)

type (
	// Engine is a stand-in for a model engine. Make it by New.
	Engine struct {
		settings Settings
		clock    clockwork.Clock
		journal  *journal
		faults   *faults

		mu   sync.Mutex
		life *life // nil while the engine is away after a crash
	}

	// life is everything that a crash takes with it.
	life struct {
		incarnation uint64
		ctx         context.Context
		end         context.CancelCauseFunc
		cache       *promptCache
		batch       *batch
		loads       *loadHistory
		holdings    *holdings

		mu      sync.Mutex
		cancels map[string]map[*Entry]context.CancelCauseFunc
	}
)

// New returns an engine that serves at once.
func New(s Settings, clock clockwork.Clock) *Engine {
	s = s.withDefaults()
	return &Engine{
		settings: s,
		clock:    clock,
		journal:  newJournal(s.JournalLimit, s.Journal),
		faults:   &faults{},
		life:     newLife(s, clock),
	}
}

func newLife(s Settings, clock clockwork.Clock) *life {
	ctx, end := context.WithCancelCause(context.Background())
	loads := &loadHistory{clock: clock, lag: s.ReportLag}
	return &life{
		incarnation: rand.Uint64() | 1,
		ctx:         ctx,
		end:         end,
		cache:       newPromptCache(s, clock),
		batch:       newBatch(s, clock, loads.note),
		loads:       loads,
		holdings:    newHoldings(s, clock),
		cancels:     map[string]map[*Entry]context.CancelCauseFunc{},
	}
}

// Journal returns what the engine has done so far.
func (e *Engine) Journal() Journal {
	return e.journal.snapshot()
}

// Incarnation differs after each crash and start; it is 0 while the engine is
// away.
func (e *Engine) Incarnation() uint64 {
	if l := e.alive(); l != nil {
		return l.incarnation
	}
	return 0
}

// Crash drops all that runs, and comes back empty after the pause, or after the
// settings' pause where it is 0.
func (e *Engine) Crash(pause time.Duration) {
	if pause <= 0 {
		pause = e.settings.CrashPause
	}
	e.mu.Lock()
	l := e.life
	e.life = nil
	e.mu.Unlock()
	if l == nil {
		return
	}
	l.end(errCrashed)
	e.clock.AfterFunc(pause, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.life = newLife(e.settings, e.clock)
	})
}

func (e *Engine) alive() *life {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

// living wraps a handler that needs the engine alive. A dead one cuts the
// connection, as a dead process does.
func (e *Engine) living(handle func(*life, http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.faults.wait(r.Context()) != nil {
			panic(http.ErrAbortHandler)
		}
		l := e.alive()
		if l == nil {
			panic(http.ErrAbortHandler)
		}
		handle(l, w, r)
	}
}

// watch derives the context of one request, which ends with the engine, the
// caller's connection or a cancel order.
func (l *life) watch(caller context.Context, entry *Entry) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(l.ctx)
	stop := context.AfterFunc(caller, func() { cancel(errGone) })
	l.mu.Lock()
	defer l.mu.Unlock()
	id := entry.RequestID
	if l.cancels[id] == nil {
		l.cancels[id] = map[*Entry]context.CancelCauseFunc{}
	}
	l.cancels[id][entry] = cancel
	return ctx, func() {
		stop()
		cancel(nil)
		l.forget(id, entry)
	}
}

func (l *life) forget(id string, entry *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.cancels[id], entry)
	if len(l.cancels[id]) == 0 {
		delete(l.cancels, id)
	}
}

func (l *life) cancel(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, cancel := range l.cancels[id] {
		cancel(errCancelled)
	}
	return len(l.cancels[id])
}
