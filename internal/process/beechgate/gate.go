package beechgate

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechhealth"
	"github.com/beechring/beechring/internal/decision/beechquota"
	"github.com/beechring/beechring/internal/decision/beechroom"
	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/decision/beechthrottle"
	"github.com/beechring/beechring/internal/link/beechbeat"
	"github.com/beechring/beechring/internal/link/beechguard"
	"github.com/beechring/beechring/internal/link/beechpool"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/request/beechattempt"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechfresh"
	"github.com/beechring/beechring/internal/request/beechplace"
	"github.com/beechring/beechring/internal/request/beechrollout"
	"github.com/beechring/beechring/internal/state/beechmirror"
	"github.com/beechring/beechring/internal/state/beechvouch"
)

type (
	// Dependencies of a gate.
	Dependencies struct {
		Clock          clockwork.Clock
		Age            beechfresh.Clock
		Log            *zap.Logger
		Source         beechmirror.Source
		StoreUse       expvar.Var // of the source: calls and bytes; may be nil
		Backend        beechcall.Backend
		Pool           *beechpool.Pool // of the backend
		OperatorPrefix string
		ServerPrefix   string
		// Operators decodes what operators wrote, Servers the servers' entries.
		// What cannot be read is told in the error, the rest is given.
		Operators func([]beechmirror.Item) (*beechcall.Configuration, []beechcall.Named, error)
		Servers   func([]beechmirror.Item) ([]beechcall.Server, error)
	}

	// Gate is the process. It is safe for concurrent use.
	Gate struct {
		settings *beechsettings.Gate
		deps     Dependencies
		log      *zap.Logger
		limitLog *zap.Logger // at most maxLimitLogLines a second of each message
		clock    clockwork.Clock

		configuration  atomic.Pointer[beechcall.Configuration]
		leaving        atomic.Bool
		freshness      *beechfresh.Belief // in what operators wrote
		placer         *beechplace.Placer
		health         *beechhealth.Tracker
		suspects       *beechsuspect.Register
		budgets        *Budgets
		quotas         *beechquota.Ledger
		limits         *beechthrottle.Throttle // of servers
		overloaded     *beechroom.Register     // servers
		otherZones     *roster                 // gates of the other zones
		core           *beechattempt.Core
		socket         *beechbeat.Socket
		peers          *beechvouch.Circle // of gates that share their reads of the store
		operatorMirror *beechmirror.Mirror
		serverMirror   *beechmirror.Mirror
		supervisor     *suture.Supervisor
		metrics        *metrics
		bounds         atomic.Pointer[beechsettings.GateBounds]

		mu          sync.Mutex
		announced   map[string]announcedVersion
		servers     []beechcall.Server
		gates       int
		recentGates recentMax // gates, by keepers' words

		rolloutPace  *beechrollout.Pace
		entryError   string        // what is wrong with servers' entries now
		followDue    chan struct{} // a follow is due now
		turnEnded    chan struct{} // an engine's turn has ended
		usageDue     chan struct{} // other gates are to hear at once what was admitted
		limitsDue    chan struct{} // or what servers with limits were sent
		overloadsDue chan struct{} // or that a server is full
	}
)

const (
	operatorWatchPause   = 20 * time.Millisecond  // between watches
	serverWatchPause     = 500 * time.Millisecond // servers change in rows, and each row is a call that one gate of a zone pays for
	readTimeout          = time.Second
	operatorWatchTimeout = 10 * time.Second // of a watch
	serverWatchTimeout   = 25 * time.Second
	removalDelay         = 2200 * time.Millisecond // entries that lapsed with the store are back within two seconds
	followInterval       = 700 * time.Millisecond
	otherZoneRounds      = 2                       // of these rounds one reaches keepers of other zones: each word there is paid for by its bytes
	kvStoreProbeInterval = 1500 * time.Millisecond // between looks at the store of kept KV cache, each a connection that is paid for
	tickInterval         = 500 * time.Millisecond
	// trafficLogInterval keeps the lines on traffic to four a minute and host.
	trafficLogInterval = 15 * time.Second
	readyShare         = 0.55 // of the bound for keys: an entry host without the store's word asks for no new callers
	drainDelay         = 2500 * time.Millisecond
	stopMargin         = 600 * time.Millisecond
	maxHeaderBytes     = 64 << 10
	headerTimeout      = 10 * time.Second
	defaultIdleTimeout = 2 * time.Minute // of callers' connections, where operators name none
	// outdatedMargin before the operators' bound only work that would begin at once goes
	// to old weights. A request waits in an engine for two seconds at most, since
	// callers of streams leave then; the rest is for the word that a version was
	// named.
	outdatedMargin = 2800 * time.Millisecond
	// startMargin before it nothing begins there any more, and what waits is taken
	// back: twice the time in which a gate that has lost a word hears of a version,
	// and the way to the engine.
	startMargin = 800 * time.Millisecond
)

// healthSettings are quicker than the defaults, since callers' deadlines here
// are of seconds.
var healthSettings = beechhealth.Settings{
	MaxEjected: 40, Slow: 6, Failed: 0.3, Confirm: 400 * time.Millisecond,
	Eject: 3 * time.Second, MaxEject: 15 * time.Second, Probes: 2, SlowStart: 2 * time.Second,
}

// New returns a gate that is bound to its beat address and serves once Run is
// called.
func New(s *beechsettings.Gate, deps Dependencies) (*Gate, error) {
	socket, err := beechbeat.Open(s.Beats)
	if err != nil {
		return nil, err
	}
	g := &Gate{
		settings: s, deps: deps, log: deps.Log, clock: deps.Clock, socket: socket,
		peers:       beechvouch.New(socket.Address()),
		freshness:   beechfresh.New(deps.Age),
		health:      beechhealth.New(healthSettings, deps.Clock),
		suspects:    beechsuspect.New(beechsuspect.Settings{}, deps.Clock),
		quotas:      beechquota.New(s.Name, rand.Uint64(), quotaBounds(s.Bounds.Quota), deps.Clock),
		otherZones:  newRoster(),
		budgets:     NewBudgets(s.Bounds.Retries, s.Bounds.Spare, time.Duration(s.Bounds.Window), deps.Clock),
		announced:   make(map[string]announcedVersion),
		rolloutPace: beechrollout.NewPace(),
		followDue:   make(chan struct{}, 1),
		turnEnded:   make(chan struct{}, 1), usageDue: make(chan struct{}, 1), limitsDue: make(chan struct{}, 1), overloadsDue: make(chan struct{}, 1),
	}
	g.bounds.Store(&s.Bounds)
	g.limits = beechthrottle.New(s.Name, rand.Uint64(), deps.Age, deps.Clock, g.logLimitEvent, g.wakeLimitSender)
	g.metrics = newMetrics(g)
	g.limitLog = sampledLogger(deps.Log, g.metrics.limitLinesDropped)
	weights := time.Duration(s.Bounds.Weights)
	g.overloaded = beechroom.New(deps.Clock, g.wakeOverloadSender)
	g.placer = beechplace.New(beechplace.Settings{
		Zone: s.Zone, OutdatedSoftLimit: max(weights-outdatedMargin, weights/2), OutdatedHardLimit: max(weights-startMargin, weights/2),
	}, deps.Clock, g.health, g.limits, g.overloaded, g.announcePrompt)
	g.core = beechattempt.New(g.placer, deps.Backend, deps.Pool, g.budgets, g.suspects, g, deps.Clock, deps.Log)
	g.serverMirror = beechmirror.New(beechmirror.Settings{
		Prefix: deps.ServerPrefix, Interval: serverReadAges.First, Patience: readTimeout, Wait: serverWatchTimeout, Space: serverWatchPause, Linger: removalDelay, Forward: g.forwardChanges,
	}, deps.Source, beechfresh.New(deps.Age), deps.Clock, deps.Log, g.setServers)
	g.operatorMirror = beechmirror.New(beechmirror.Settings{
		Prefix: deps.OperatorPrefix, Interval: operatorReadAges.First, Patience: readTimeout, Wait: operatorWatchTimeout, Space: operatorWatchPause, Lost: g.serverMirror.Ask, Forward: g.forwardChanges,
	}, deps.Source, g.freshness, deps.Clock, deps.Log, g.setOperators)
	g.supervisor = suture.New("gate", suture.Spec{EventHook: beechlog.SupervisorHook(deps.Log)})
	for _, task := range []beechtask.Task{
		{Name: "read operators", Run: g.operatorMirror.Read},
		{Name: "watch operators", Run: g.operatorMirror.Watch},
		{Name: "read servers", Run: g.serverMirror.Read},
		{Name: "watch servers", Run: g.serverMirror.Watch},
		{Name: "follow keepers", Run: g.followKeepers},
		{Name: "hear keepers", Run: func(ctx context.Context) error { return g.socket.Receive(ctx, g.receive) }},
		{Name: "ask peers", Run: g.inquirePeers},
		{Name: "tell spent", Run: g.sendUsage},
		{Name: "tell paces", Run: g.sendPaces},
		{Name: "tell limits", Run: g.sendLimits},
		{Name: "tell full", Run: g.sendOverloads},
		{Name: "tell traffic", Run: g.logTraffic},
		{Name: "tick", Run: g.tick},
		{Name: "reach kept store", Run: g.probeKVStores},
	} {
		g.supervisor.Add(task)
	}
	return g, nil
}

// Ready tells whether new connections are welcome.
func (g *Gate) Ready() bool {
	if g.leaving.Load() || g.configuration.Load() == nil {
		return false
	}
	return g.freshness.Age() < time.Duration(float64(g.bounds.Load().Revoke)*readyShare)
}

// Draining tells whether the process is about to end.
func (g *Gate) Draining() bool { return g.leaving.Load() }

// Run serves until the context ends, and then until every request has its
// answer or the grace time is over.
func (g *Gate) Run(ctx context.Context, door, ready http.Handler) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callerListener, err := net.Listen("tcp4", g.settings.Listen.String())
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	readyListener, err := net.Listen("tcp4", g.settings.Ready.String())
	if err != nil {
		return fmt.Errorf("listen for readiness: %w", err)
	}
	server := &http.Server{
		Handler: door, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout,
		ConnContext: beechguard.Context, ErrorLog: zap.NewStdLog(g.log),
	}
	idle := newIdleTimeouts(g.clock, g.idleTimeout)
	server.ConnState = func(c net.Conn, state http.ConnState) {
		beechguard.State(c, state)
		idle.trackState(c, state)
	}
	readyServer := &http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(g.log)}
	failed := make(chan error, 2)
	go func() { failed <- server.Serve(beechguard.Listen(callerListener)) }()
	go func() { failed <- readyServer.Serve(readyListener) }()
	supervised := g.supervisor.ServeBackground(background)
	g.log.Info("gate started", zap.Stringer("listen", g.settings.Listen), zap.String("zone", g.settings.Zone))
	select {
	case <-ctx.Done():
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	}
	g.stop(server, readyServer)
	stop()
	<-supervised
	return nil
}

// stop asks for no new connections, takes those that come all the same while
// the balancer finds out, and ends when every request has its answer.
func (g *Gate) stop(server, readyServer *http.Server) {
	began := g.clock.Now()
	g.leaving.Store(true)
	g.log.Info("gate leaving")
	g.clock.Sleep(drainDelay)
	remaining := time.Duration(g.bounds.Load().Grace) - stopMargin - g.clock.Since(began)
	ctx, cancel := clockwork.WithTimeout(context.Background(), g.clock, remaining)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		g.log.Warn("grace time over with requests under way")
	}
	_ = server.Close()
	_ = readyServer.Close()
	g.log.Info("gate stopped", zap.Duration("took", g.clock.Since(began)))
}

// Apply takes in settings that have changed while the process runs. Addresses
// and names are in force from the next start on; the bounds at once.
func (g *Gate) Apply(s *beechsettings.Gate) {
	g.bounds.Store(&s.Bounds)
	g.quotas.SetBounds(quotaBounds(s.Bounds.Quota))
	g.budgets.SetBounds(s.Bounds.Retries, s.Bounds.Spare, time.Duration(s.Bounds.Window))
	g.log.Info("bounds in force", zap.Duration("revoke", time.Duration(s.Bounds.Revoke)), zap.Duration("grace", time.Duration(s.Bounds.Grace)),
		zap.Float64("retries", s.Bounds.Retries), zap.Float64("spare", s.Bounds.Spare), zap.Duration("window", time.Duration(s.Bounds.Window)))
}

// reachKept looks whether the stores of kept KV cache take connections, one after
// the other. A request that names a dead one as its source waits some hundred
// milliseconds for it.
func (g *Gate) probeKVStores(ctx context.Context) error {
	lost := make(map[netip.AddrPort]bool)
	next := 0
	return beechtask.Every(ctx, g.clock, kvStoreProbeInterval, func() {
		stores := g.placer.KVStores()
		if len(stores) == 0 {
			return
		}
		store := stores[next%len(stores)]
		next++
		err := g.deps.Pool.Reach(ctx, store)
		if err != nil {
			g.placer.KVStoreFailed(store)
		}
		if was := lost[store]; was != (err != nil) {
			lost[store] = err != nil
			g.log.Info("kept store", zap.Bool("lost", lost[store]), zap.Stringer("peer", store), zap.Error(err))
		}
	})
}

// tellTraffic logs what this host has sent so far: bytes between zones and calls
// to the store are paid for, and a fleet's bill is explained from these lines.
func (g *Gate) logTraffic(ctx context.Context) error {
	return beechtask.Every(ctx, g.clock, trafficLogInterval, func() {
		if slow := slowEngines(g.placer.Paces()); len(slow) > 0 {
			g.log.Info("engines differ in pace", zap.Any("times", slow))
		}
		g.log.Info("traffic", beechlog.Counts("datagrams", g.socket.Sent()), beechlog.Counts("bodies", g.metrics.bodies), beechlog.Counts("store", g.deps.StoreUse))
	})
}

func (g *Gate) tick(ctx context.Context) error {
	return beechtask.Every(ctx, g.clock, tickInterval, func() {
		g.health.Tick()
		g.deps.Pool.Sweep()
	})
}
