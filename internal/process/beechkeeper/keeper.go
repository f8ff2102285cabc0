package beechkeeper

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/jonboulle/clockwork"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/decision/beechsilence"
	"github.com/beechring/beechring/internal/decision/beechstrain"
	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/decision/beechthrottle"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

type (
	// Engine is the backend server on the keeper's host.
	Engine interface {
		Report(ctx context.Context) (Report, error)
		// Order sends an order. The error explains why it was not accepted.
		Order(ctx context.Context, holder string, o beechrollout.Order) (beechrollout.Answer, error)
		// CacheSnapshot lists the contents of the engine's cache. It blocks the engine for
		// a moment.
		CacheSnapshot(ctx context.Context) (CacheSnapshot, error)
		// WaitForEvictions waits for evictions after change number since.
		WaitForEvictions(ctx context.Context, since uint64, wait time.Duration) (CacheEvictions, error)
		// Slowness returns how slow the engine's host is at this moment, in percent of the usual,
		// or 0 if it does not say. The path is that of its service's health check.
		Slowness(ctx context.Context, path string) (int, error)
	}

	// Part is a part of a prompt in an engine's cache, identified by its key.
	Part struct {
		Key    uint64
		Tokens int // in the cache
	}

	// CacheSnapshot is the content of an engine's cache.
	CacheSnapshot struct {
		Epoch uint64 // changes when the engine restarts with an empty cache
		Next  uint64 // change number for the first call of WaitForEvictions
		Parts []Part
	}

	// CacheEvictions lists what an engine's cache has evicted after a change number.
	CacheEvictions struct {
		Epoch uint64
		Next  uint64
		Lost  bool   // some evictions are no longer listed
		Parts []Part // with the tokens that are still cached
	}

	// Report is the state that an engine reports.
	Report struct {
		beechrollout.Report
		CacheUsed  int
		CacheTotal int
		Limit      beechthrottle.ServerLimit // nil: not known
		Slowness   int                       // of its host, in percent of the usual; 0: not known
		Prefilling int                       // running requests whose prompts it reads; 0: none, or not known
		Ranks      []beechstrain.RankLoad    // what it runs by urgency; nil: not known
		Leaving    bool                      // the engine will stop soon
	}

	// Dependencies of a keeper.
	Dependencies struct {
		Clock  clockwork.Clock
		Log    *zap.Logger
		Engine Engine
		// ReportUrgencies makes the keeper tell what runs by urgency also of an engine that does
		// not tell the slowness of its host.
		ReportUrgencies bool
	}

	// Keeper is the process that controls one engine.
	Keeper struct {
		settings   *beechsettings.Keeper
		deps       Dependencies
		socket     *beechdatagram.Socket
		supervisor *suture.Supervisor
		suspects   *beechsuspect.Registry
		poison     *beechpoison.Tracker // kept for gates that start anew
		metrics    *metrics
		watch      *beechsilence.Watch // of the engine; only for controlEngine
		wake       chan struct{}
		fenceDue   chan struct{} // signals that a fencing number should be requested now

		mu          sync.Mutex
		updater     *beechrollout.Updater
		gates       map[netip.AddrPort]*gateState // that follow
		lastNumber  uint32                        // sequence number of the last state message
		lastReport  Report
		stale       staleAnswers       // reports
		lastOrder   beechrollout.Order // that was sent; zero: none since the start
		held        beechrollout.Hold
		fences      fenceRequests
		backlog     beechrollout.PrefillBacklog
		cachedParts *lru.Cache[uint64, struct{}] // announced or listed, and not known to be evicted
		phase       beechrollout.Phase
		added       keyQueue // parts that came into the cache
		removed     keyQueue // parts that the cache has evicted
		stored      keyQueue // parts that were also sent to the KV cache store
		sentAt      time.Time
		sentState   urgentState // the last one sent
		sentLoad    load
		strain      strainState
		slowness    hostSlowness
	}

	// gateState is a gate as this keeper knows it.
	gateState struct {
		zone      string
		lastHeard time.Time
		sentAt    time.Time
		askedAt   time.Time // for a fencing number; zero: never
		proofs    int       // answers to the inquiries beside these requests
	}
)

const (
	reportTimeout       = 400 * time.Millisecond
	silencePatience     = 2500 * time.Millisecond // a sound engine may be silent for up to two seconds
	orderTimeout        = 800 * time.Millisecond
	gateTimeout         = 2500 * time.Millisecond // three messages of a gate
	trafficInterval     = 15 * time.Second        // as in gates: four lines a minute per host
	backlogPollInterval = 60 * time.Millisecond   // between reports while long prompts are prefilled
	promptArrivalDelay  = 15 * time.Millisecond   // an announced prompt may arrive this much later
	longPromptTokens    = 1500                    // prefilling more takes longer than a message to all gates
)

// New returns a keeper that listens on its address for heartbeats.
func New(s *beechsettings.Keeper, deps Dependencies) (*Keeper, error) {
	socket, err := beechdatagram.Open(s.Beats)
	if err != nil {
		return nil, err
	}
	cachedParts, err := lru.New[uint64, struct{}](maxCachedParts)
	if err != nil {
		panic(err) // the size is a constant above zero
	}
	k := &Keeper{
		settings: s, deps: deps, socket: socket,
		suspects: beechsuspect.New(beechsuspect.Settings{}, deps.Clock),
		poison:   beechpoison.New(deps.Clock, func(uint64) int { return 0 }, func() {}),
		updater:  beechrollout.NewUpdater(beechrollout.Settings{}), gates: make(map[netip.AddrPort]*gateState),
		lastNumber: uint32(deps.Clock.Now().Unix()) << sequenceBits,
		strain:     strainState{lastNumber: uint32(deps.Clock.Now().Unix()) << sequenceBits},
		watch:      beechsilence.New(beechsilence.Settings{Limit: reportTimeout, Patience: silencePatience}),
		wake:       make(chan struct{}, 1), fenceDue: make(chan struct{}, 1), cachedParts: cachedParts,
		fences: fenceRequests{first: rand.Uint64()},
	}
	k.metrics = newMetrics(k)
	k.supervisor = suture.New("keeper", suture.Spec{EventHook: beechlog.SupervisorHook(deps.Log)})
	k.supervisor.Add(beechtask.Task{Name: "receive from gates", Run: func(ctx context.Context) error { return socket.Receive(ctx, k.receive) }})
	k.supervisor.Add(beechtask.Task{Name: "control engine", Run: k.controlEngine})
	k.supervisor.Add(beechtask.Task{Name: "acquire fencing number", Run: k.acquireFence})
	k.supervisor.Add(beechtask.Task{Name: "watch cache", Run: k.watchCache})
	k.supervisor.Add(beechtask.Task{Name: "watch slowness", Run: k.watchSlowness})
	k.supervisor.Add(beechtask.Task{Name: "log traffic", Run: func(ctx context.Context) error {
		return beechtask.Every(ctx, deps.Clock, trafficInterval, func() {
			deps.Log.Info("traffic", beechlog.Counts("datagrams", socket.SentBytes()))
		})
	}})
	return k, nil
}

// Run controls the engine until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.deps.Log.Info("keeper started", zap.Stringer("engine", k.settings.Engine))
	err := k.supervisor.Serve(ctx)
	k.deps.Log.Info("keeper stopped")
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// receive handles a message from a gate.
func (k *Keeper) receive(from netip.AddrPort, m beechdatagram.Message) {
	switch v := m.(type) {
	case beechdatagram.Follow:
		k.receiveFollow(from, v)
	case beechdatagram.Announce:
		k.receiveAnnounce(v)
	case beechdatagram.Gossip:
		k.receiveGossip(from, v)
	case beechdatagram.Poison:
		k.receivePoison(from, v)
	case beechdatagram.Pressure:
		k.receivePressure(v)
	case beechdatagram.Health:
		k.receiveHealth(v)
	case beechdatagram.Fence:
		k.receiveFence(from, v)
	case beechdatagram.Proof:
		k.receiveProof(from, v)
	}
}

// receivePoison keeps what a gate tells, and answers an empty message, which asks for it.
func (k *Keeper) receivePoison(from netip.AddrPort, m beechdatagram.Poison) {
	update := beechconvert.Poison(m.Poison)
	if !update.IsEmpty() {
		k.poison.Apply(update, beechpoison.Elsewhere)
		return
	}
	if active := k.poison.Active(); !active.IsEmpty() {
		k.send([]netip.AddrPort{from}, beechdatagram.SameZone, beechdatagram.Poison{Poison: beechconvert.WirePoison(active, false)})
	}
}

// receiveAnnounce records an announced prompt. Long prompts are reported to all gates at
// once: without that, their next requests would be queued behind the prompt unknowingly.
func (k *Keeper) receiveAnnounce(a beechdatagram.Announce) {
	now := k.deps.Clock.Now()
	k.mu.Lock()
	k.backlog.Add(a.Read, now)
	for _, part := range a.Parts {
		k.addPart(part, a.Kept)
	}
	k.mu.Unlock()
	if a.Read >= longPromptTokens {
		k.notify(true)
	}
}

// receiveFollow handles a gate's periodic message, which has the targets for the engine.
func (k *Keeper) receiveFollow(from netip.AddrPort, follow beechdatagram.Follow) {
	now := k.deps.Clock.Now()
	k.mu.Lock()
	gate, known := k.gates[from]
	if !known {
		gate = &gateState{zone: follow.Zone}
		k.gates[from] = gate
	}
	gate.lastHeard = now
	k.backlog.ObserveRate(float64(follow.Rate), now)
	for _, t := range follow.Targets {
		k.updater.SetTarget(beechrollout.Target{
			Model: t.Model, Version: t.Version, Fence: t.Fence, Granted: t.Granted, FallbackAt: now.Add(time.Duration(t.Alone) * time.Millisecond),
		}, now)
	}
	if !known || follow.Ask {
		k.notifyNewGate(from, gate, now)
	}
	k.mu.Unlock()
	k.suspects.Merge(beechconvert.SuspectRecords(follow.Suspects))
	if !known {
		k.deps.Log.Info("gate follows", zap.String("gate", follow.Gate), zap.Stringer("peer", from))
		beechtask.Notify(k.fenceDue)
	}
	beechtask.Notify(k.wake)
}

// controlEngine polls the engine, sends it orders that are due, and notifies the gates.
func (k *Keeper) controlEngine(ctx context.Context) error {
	for ctx.Err() == nil {
		after := k.pollEngine(ctx)
		select {
		case <-k.deps.Clock.After(after):
		case <-k.wake:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// pollEngine polls the engine once, acts on its report, and returns the time until the next
// poll.
func (k *Keeper) pollEngine(ctx context.Context) time.Duration {
	limited, cancel := clockwork.WithTimeout(ctx, k.deps.Clock, k.watch.Limit())
	polledAt := k.deps.Clock.Now()
	report, err := k.deps.Engine.Report(limited)
	cancel()
	report.Known = err == nil
	if report.Known && k.ignoresReport(report) {
		k.watch.Answered()
		return backlogPollInterval
	}
	if report.Known {
		k.watch.Answered()
	} else {
		k.metrics.missedReports.Add(1)
		k.watch.Missed(polledAt, k.deps.Clock.Now(), timedOut(err))
		report.Silent = k.watch.State() == beechsilence.Silent
	}
	k.mu.Lock()
	// An engine that leaves may finish its answers after it has closed its listener.
	report.Exited = errors.Is(err, syscall.ECONNREFUSED) && !k.lastReport.Leaving
	if slowness := k.slowness.current(k.deps.Clock.Now()); slowness > 0 {
		report.Slowness = slowness
	}
	if report.Known && report.Limit != k.lastReport.Limit && (reportsLimit(report.Limit) || reportsLimit(k.lastReport.Limit)) {
		k.deps.Log.Info("engine's limit in its report", zap.Any("said", report.Limit))
	}
	restarted := report.Known && report.Restarted(k.lastReport.Report)
	step := k.updater.Next(k.deps.Clock.Now(), report.Report)
	if report.Known {
		k.lastReport = report
	}
	k.logHold()
	k.backlog.SetSlowness(report.Slowness, k.deps.Clock.Now())
	if report.Known && report.Waiting == 0 && (report.Slowness == 0 || report.Prefilling == 0) {
		k.backlog.Clear(polledAt.Add(-promptArrivalDelay))
	}
	if report.Known {
		k.strain.queue.Update(queueReport(report, k.backlog.Rate(), polledAt))
	}
	prefilling := k.backlog.Remaining(k.deps.Clock.Now()) > 0 || (k.strain.told && report.Waiting > 0)
	k.mu.Unlock()
	if restarted {
		k.engineRestarted(report)
	}
	if report.Known {
		k.notifyStrain()
	}
	switch v := step.(type) {
	case beechrollout.Wait:
		k.setPhase(v.Phase, err)
		k.notify(false)
		if prefilling {
			return min(v.After, backlogPollInterval)
		}
		return v.After
	case beechrollout.Order:
		k.setPhase(beechrollout.Loading, nil)
		k.notify(true)
		k.sendOrder(ctx, v)
	}
	return 0
}

// ignoresReport reports whether a report is older than the last one, so that it is ignored.
func (k *Keeper) ignoresReport(r Report) bool {
	k.mu.Lock()
	last := k.lastReport
	ignored := k.stale.ignore(r.olderThan(last))
	k.mu.Unlock()
	if ignored {
		k.metrics.staleAnswers.Add(1)
		k.deps.Log.Info("report ignored as an older one", zap.Uint64("born", r.Born), zap.Uint64("sequence", r.Sequence),
			zap.Uint64("lastBorn", last.Born), zap.Uint64("lastSequence", last.Sequence))
	}
	return ignored
}

// timedOut reports whether an error only says that the engine did not answer in time.
func timedOut(err error) bool {
	var network net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &network) && network.Timeout()
}

// reportsLimit reports whether an answer named a limit, be it an invalid one.
func reportsLimit(limit beechthrottle.ServerLimit) bool {
	switch limit.(type) {
	case beechthrottle.RateLimit, beechthrottle.InvalidLimit:
		return true
	}
	return false
}

// engineRestarted discards the state of an engine that has restarted under the same ID,
// whose cache is empty now. Otherwise gates would go on directing other engines to fetch
// from it what it has lost.
func (k *Keeper) engineRestarted(r Report) {
	k.metrics.restarts.Add(1)
	k.deps.Log.Info("engine restarted", zap.Uint64("born", r.Born), zap.Uint64("sequence", r.Sequence))
	k.mu.Lock()
	k.backlog.Clear(k.deps.Clock.Now())
	k.strain.queue.Clear()
	k.mu.Unlock()
	k.removeAllParts()
	k.notify(true)
}

// logHold logs why an update that is due does not begin, once for each reason. The caller holds
// the lock.
func (k *Keeper) logHold() {
	held := k.updater.Held()
	if held != k.held && held != beechrollout.NotHeld {
		k.deps.Log.Info("update waits", zap.Stringer("reason", held), zap.Strings("due", k.updater.Due()), zap.Any("weights", k.lastReport.Versions),
			zap.Uint64("fence", k.updater.Fence()), zap.Int("gates", len(k.gates)))
	}
	k.held = held
}

func (k *Keeper) sendOrder(ctx context.Context, o beechrollout.Order) {
	limited, cancel := clockwork.WithTimeout(ctx, k.deps.Clock, orderTimeout)
	defer cancel()
	answer, err := k.deps.Engine.Order(limited, k.settings.Name, o)
	k.metrics.orders.Add(answer.String(), 1)
	k.mu.Lock()
	k.updater.RecordAnswer(answer)
	previous := k.lastOrder
	k.lastOrder = o
	k.mu.Unlock()
	k.deps.Log.Info("order sent", zap.String("model", o.Target.Model), zap.Uint64("version", o.Target.Version),
		zap.Uint64("fence", o.Fence), zap.Uint64("sequence", o.Sequence), zap.Stringer("outcome", answer), zap.Bool("granted", o.Target.Granted), zap.Strings("due", o.Due),
		zap.String("previousModel", previous.Target.Model), zap.Uint64("previousVersion", previous.Target.Version), zap.Uint64("previousFence", previous.Fence), zap.Error(err))
	beechtask.Notify(k.fenceDue)
}

func (k *Keeper) setPhase(p beechrollout.Phase, err error) {
	k.mu.Lock()
	old := k.phase
	k.phase = p
	last := k.lastReport
	k.mu.Unlock()
	if old != p {
		k.metrics.recordPhase(p, k.deps.Clock.Now())
		k.deps.Log.Info("engine's phase", zap.Int("phase", int(p)), zap.Int("was", int(old)), zap.Any("weights", last.Versions),
			zap.Int("running", last.Running), zap.Int("waiting", last.Waiting), zap.Error(err))
	}
}
