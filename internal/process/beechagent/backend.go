package beechagent

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/decision/beechqueue"
	"github.com/beechring/beechring/internal/decision/beechsilence"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechbackend"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/prompt/beechindex"
)

type (
	// backendState is the last known state of the backend server. Its load reports
	// are delayed, so the queue counts the running requests itself; only the speed,
	// the number of slots and the models are taken from the reports.
	backendState struct {
		mu       sync.Mutex
		watch    *beechsilence.Watch
		report   beechbackend.Report
		slots    int      // of the pool, from the manifest; 0 if not set
		retiring []string // model@weights about to be unloaded
	}
)

const (
	reportPollInterval = 200 * time.Millisecond
	reportTimeout      = time.Second
	silencePatience    = 2500 * time.Millisecond // a sound server may be silent for up to two seconds
	cachePollInterval  = 50 * time.Millisecond
	defaultSlots       = 64
	defaultPrefillRate = 10000 // tokens per second, before the first report
	defaultTokenTime   = 20 * time.Millisecond
)

func newBackendState() *backendState {
	return &backendState{watch: beechsilence.New(beechsilence.Settings{Limit: reportTimeout, Patience: silencePatience})}
}

// setReport stores a load report. If the server has restarted since the previous
// report, it returns the previous incarnation, and otherwise 0.
func (v *backendState) setReport(r beechbackend.Report) (ended uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.report.Incarnation != r.Incarnation {
		ended = v.report.Incarnation
	}
	v.report = r
	v.watch.Answered()
	return ended
}

// answered records an answer to a question for the server's state, and returns the state before it.
func (v *backendState) answered() (before beechsilence.State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before = v.watch.State()
	v.watch.Answered()
	return before
}

// missed records a question for the server's state that got no answer, and returns the states before
// and after it.
func (v *backendState) missed(asked, now time.Time, timedOut bool) (before, after beechsilence.State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before = v.watch.State()
	v.watch.Missed(asked, now, timedOut)
	return before, v.watch.State()
}

// answerLimit returns how long the server may take to report its state.
func (v *backendState) answerLimit() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.watch.Limit()
}

// unheard reports whether the server has answered no question for longer than a sound one is silent.
func (v *backendState) unheard() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.watch.Exhausted()
}

// aliveLocked reports whether the server may be sent requests. One that has been silent for a moment
// may. The caller holds the lock.
func (v *backendState) aliveLocked() bool { return v.watch.State() != beechsilence.Gone }

func (v *backendState) setSlots(slots int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.slots = slots
}

func (v *backendState) setRetiring(models []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.retiring = models
}

func (v *backendState) last() (beechbackend.Report, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.report, v.aliveLocked()
}

// models returns the models available to new requests: those that are loaded and
// not about to be unloaded.
func (v *backendState) models() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.aliveLocked() {
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

func (v *backendState) serves(model string) bool {
	return slices.Contains(v.models(), model)
}

func (v *backendState) queueLoad() beechqueue.Load {
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
		load.PrefillRate = defaultPrefillRate
	}
	if load.TokenTime == 0 {
		load.TokenTime = defaultTokenTime
	}
	return load
}

// wireLoad returns the load of the server, for heartbeats and replies.
func (a *Agent) wireLoad() beechwire.Load {
	load := a.backend.queueLoad()
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

// isEngine reports whether the servers of the pool are model engines. It returns
// false before the first configuration.
func (a *Agent) isEngine() bool {
	pool := a.pool()
	return pool != nil && pool.Kind == engineKind
}

// pollBackend keeps the state of the backend server up to date until ctx ends.
func (a *Agent) pollBackend(ctx context.Context) error {
	return beechtask.Every(ctx, a.clock, reportPollInterval, func() {
		switch {
		case a.pool() == nil:
		case a.isEngine():
			a.refreshReport(ctx)
			a.abortStalled()
		default:
			a.checkReady(ctx)
		}
	})
}

func (a *Agent) refreshReport(ctx context.Context) {
	var report beechbackend.Report
	err := a.ask(ctx, func(ctx context.Context) (err error) {
		report, err = a.engine.Report(ctx)
		return err
	})
	if err != nil {
		return
	}
	if ended := a.backend.setReport(report); ended != 0 {
		a.observeRestart(ended)
	}
	a.index.StartIncarnation(report.Incarnation)
	a.scheduler.wake()
}

// ask asks the backend server for its state, and records whether it answered.
func (a *Agent) ask(ctx context.Context, question func(ctx context.Context) error) error {
	asked := a.clock.Now()
	calling, cancel := context.WithTimeout(ctx, a.backend.answerLimit())
	defer cancel()
	err := question(calling)
	if err == nil {
		a.logBackend(a.backend.answered(), beechsilence.Alive, nil)
		return nil
	}
	before, after := a.backend.missed(asked, a.clock.Now(), beechbackend.TimedOut(err))
	a.logBackend(before, after, err)
	return err
}

// abortStalled aborts the attempts at an engine that has stopped without closing its
// connections, as on a machine that hangs. Their callers would otherwise wait
// indefinitely; after the abort, their answers are continued by another engine. An
// engine counts as stopped only if it has answered no question for a load report either
// for longer than a sound one is silent, since an engine that processes a long prompt sends
// no data for a while.
func (a *Agent) abortStalled() {
	if !a.backend.unheard() {
		return
	}
	for _, t := range a.running.stalledSince(a.clock.Now().Add(-silencePatience)) {
		t.abort(errStalled)
	}
}

func (a *Agent) checkReady(ctx context.Context) { _ = a.ask(ctx, a.service.Ready) }

func (a *Agent) logBackend(before, after beechsilence.State, cause error) {
	if before != after {
		a.log.Info("backend server changed", beechlog.Step("report"), beechlog.Peer(a.settings.Backend),
			zap.Bool("alive", after != beechsilence.Gone), zap.Stringer("state", after), zap.Stringer("before", before), zap.Error(cause))
	}
}

// pollCacheEvents applies the engine's cache events to the cache index until ctx
// ends.
func (a *Agent) pollCacheEvents(ctx context.Context) error {
	var incarnation, after uint64
	return beechtask.Every(ctx, a.clock, cachePollInterval, func() {
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

// observeRestart is called when the backend server has restarted, with the ended incarnation.
func (a *Agent) observeRestart(ended uint64) {
	a.backoff.Forget(a.backendName())
	a.recordCrash(ended)
}

// recordCrash reports the requests that were running at the ended incarnation to the
// registry of suspects, once per incarnation.
func (a *Agent) recordCrash(ended uint64) {
	lost, first := a.running.endIncarnation(ended)
	if !first {
		return
	}
	var fingerprints []uint64
	var notBegun []beechpoison.Request
	for _, r := range lost {
		fingerprints = append(fingerprints, r.fingerprint)
		if !r.attempt.survivedStart() {
			notBegun = append(notBegun, r.traits)
		}
	}
	a.counters.Crashes.Add(1)
	a.suspects.RecordCrash(fingerprints)
	server := xxhash.Sum64String(fmt.Sprint(a.settings.Backend, ended))
	a.poison.RecordCrash(server, a.clock.Now(), notBegun)
	a.scheduler.queue.CacheLost()
	a.server.PushHeartbeat()
	a.log.Warn("engine crashed", beechlog.Step("report"), beechlog.Peer(a.settings.Backend), zap.Int("running", len(fingerprints)), zap.Int("notBegun", len(notBegun)))
}

// confirmCrash reports whether an answer was interrupted because the engine crashed.
// It asks the engine, so that the loss of a single connection does not make all
// running requests suspect. An engine that is silent has not crashed as far as is known; if it
// has, the report of its next incarnation tells. It also updates the state of the backend, so that no
// further requests are sent to an engine that has crashed.
func (a *Agent) confirmCrash(ctx context.Context, incarnation uint64) bool {
	a.refreshReport(context.WithoutCancel(ctx))
	report, alive := a.backend.last()
	if alive && report.Incarnation == incarnation {
		return false
	}
	a.recordCrash(incarnation)
	return true
}
