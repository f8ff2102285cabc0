package beechagent

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechqueue"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechbackend"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/prompt/beechindex"
)

type (
	// backendView is what the agent knows of its backend server. The server's
	// reports lag, so the queue counts for itself what runs; only the server's
	// speed, size and models are taken from here.
	backendView struct {
		mu       sync.Mutex
		alive    bool
		report   beechbackend.Report
		slots    int      // of the pool, by the manifest
		retiring []string // model@weights about to be unloaded
	}
)

const (
	reportInterval = 200 * time.Millisecond
	reportTimeout  = time.Second
	stallTime      = 2 * time.Second // many times what lies between two tokens
	cacheInterval  = 50 * time.Millisecond
	defaultSlots   = 64
	defaultPrefill = 10000 // tokens a second, before the first report
	defaultDecode  = 20 * time.Millisecond
)

func newBackendView() *backendView { return &backendView{} }

// set takes in a report. It returns the incarnation that the report shows to
// have ended, or 0.
func (v *backendView) set(r beechbackend.Report) (ended uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.report.Incarnation != r.Incarnation {
		ended = v.report.Incarnation
	}
	v.report = r
	v.alive = true
	return ended
}

func (v *backendView) setAlive(alive bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.alive = alive
}

func (v *backendView) setSlots(slots int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.slots = slots
}

func (v *backendView) retire(models []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.retiring = models
}

func (v *backendView) last() (beechbackend.Report, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.report, v.alive
}

// models gives what new work may ask for: loaded and not about to go.
func (v *backendView) models() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.alive {
		return nil
	}
	var models []string
	for _, m := range v.report.Models {
		if !slices.Contains(v.retiring, m) {
			models = append(models, m)
		}
	}
	return models
}

func (v *backendView) serves(model string) bool {
	return slices.Contains(v.models(), model)
}

func (v *backendView) queueLoad() beechqueue.Load {
	v.mu.Lock()
	defer v.mu.Unlock()
	load := beechqueue.Load{Slots: v.slots, PrefillRate: v.report.PrefillRate, TokenTime: v.report.TokenTime}
	if v.report.Slots > 0 && (load.Slots == 0 || v.report.Slots < load.Slots) {
		load.Slots = v.report.Slots
	}
	if load.Slots == 0 {
		load.Slots = defaultSlots
	}
	if load.PrefillRate == 0 {
		load.PrefillRate = defaultPrefill
	}
	if load.TokenTime == 0 {
		load.TokenTime = defaultDecode
	}
	return load
}

// wireLoad is the agent's own word on its server.
func (a *Agent) wireLoad() beechwire.Load {
	load := a.view.queueLoad()
	state := a.scheduler.queue.State()
	return beechwire.Load{
		Running:       state.Running,
		Waiting:       state.Waiting,
		WaitingTokens: state.WaitingTokens,
		Slots:         load.Slots,
		PrefillRate:   load.PrefillRate,
		DecodeMicros:  int(load.TokenTime / time.Microsecond),
		Cache:         a.index.Version(),
	}
}

// isEngine tells whether the pool's servers are model engines; false also
// before the first configuration.
func (a *Agent) isEngine() bool {
	pool := a.pool()
	return pool != nil && pool.Kind == engineKind
}

// watchReport keeps the view of the backend server until ctx ends.
func (a *Agent) watchReport(ctx context.Context) error {
	return beechtask.Every(ctx, a.clock, reportInterval, func() {
		switch {
		case a.pool() == nil:
		case a.isEngine():
			a.readReport(ctx)
			a.breakStalled()
		default:
			a.readReady(ctx)
		}
	})
}

func (a *Agent) readReport(ctx context.Context) {
	calling, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := a.engine.Report(calling)
	if err != nil {
		a.noteAlive(false, err)
		return
	}
	a.noteAlive(true, nil)
	if ended := a.view.set(report); ended != 0 {
		a.engineCrashed(ended)
	}
	a.index.StartIncarnation(report.Incarnation)
	a.scheduler.wake()
}

// breakStalled ends what runs at an engine that has stopped without ending its
// connections, as a machine does that hangs. Its callers would wait without end
// for their next word; broken off here, their answers go on at another engine.
// Only an engine that does not answer its reports either is taken for stopped:
// one that computes a long prompt gives nothing for a while.
func (a *Agent) breakStalled() {
	if _, alive := a.view.last(); alive {
		return
	}
	for _, t := range a.running.unmoved(a.clock.Now().Add(-stallTime)) {
		t.abort(errStalled)
	}
}

func (a *Agent) readReady(ctx context.Context) {
	calling, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := a.service.Ready(calling)
	a.noteAlive(err == nil, err)
}

func (a *Agent) noteAlive(alive bool, cause error) {
	if _, was := a.view.last(); was != alive {
		a.log.Info("backend server changed", beechlog.Step("report"),
			beechlog.Peer(a.settings.Backend), zap.Bool("alive", alive), zap.Error(cause))
	}
	a.view.setAlive(alive)
}

// watchCache follows the engine's cache events until ctx ends.
func (a *Agent) watchCache(ctx context.Context) error {
	var incarnation, after uint64
	return beechtask.Every(ctx, a.clock, cacheInterval, func() {
		if !a.isEngine() {
			return
		}
		calling, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		now, events, err := a.engine.CacheEvents(calling, after)
		if err != nil {
			return
		}
		if now != incarnation {
			incarnation, after = now, 0
			a.index.StartIncarnation(now)
			return
		}
		if len(events) > 0 {
			after = events[len(events)-1].Sequence
			a.index.Apply(now, indexEvents(events))
		}
	})
}

func indexEvents(events []beechbackend.CacheEvent) []beechindex.Event {
	out := make([]beechindex.Event, len(events))
	for i, e := range events {
		out[i] = beechindex.Event(e)
	}
	return out
}

// engineCrashed tells the suspects' register what was running, once for an
// incarnation.
func (a *Agent) engineCrashed(ended uint64) {
	fingerprints, first := a.running.crashed(ended)
	if !first {
		return
	}
	a.numbers.Crashes.Add(1)
	a.suspects.RecordCrash(fingerprints)
	a.scheduler.queue.CacheLost()
	a.server.PushHeartbeat()
	a.log.Warn("engine crashed", beechlog.Step("report"), beechlog.Peer(a.settings.Backend), zap.Int("running", len(fingerprints)))
}

// brokenByCrash finds out whether a broken answer means that the engine died.
// It asks the engine, so that a single cut connection does not make every
// request on it suspect. The view is brought up to date with the answer, and
// work that comes next is not sent to an engine that is gone.
func (a *Agent) brokenByCrash(ctx context.Context, during uint64) bool {
	a.readReport(context.WithoutCancel(ctx))
	report, alive := a.view.last()
	if alive && report.Incarnation == during {
		return false
	}
	a.engineCrashed(during)
	return true
}
