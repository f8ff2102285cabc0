package beechgate

import (
	"cmp"
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

	"github.com/beechring/beechring/internal/decision/beechadmission"
	"github.com/beechring/beechring/internal/decision/beechbackoff"
	"github.com/beechring/beechring/internal/decision/beechgossip"
	"github.com/beechring/beechring/internal/decision/beechhealth"
	"github.com/beechring/beechring/internal/decision/beechintake"
	"github.com/beechring/beechring/internal/decision/beechoverload"
	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/decision/beechquota"
	"github.com/beechring/beechring/internal/decision/beechretry"
	"github.com/beechring/beechring/internal/decision/beechsaturation"
	"github.com/beechring/beechring/internal/decision/beechstop"
	"github.com/beechring/beechring/internal/decision/beechstrain"
	"github.com/beechring/beechring/internal/decision/beechsummary"
	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/decision/beechthrottle"
	"github.com/beechring/beechring/internal/link/beechaccept"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechframing"
	"github.com/beechring/beechring/internal/link/beechkeepalive"
	"github.com/beechring/beechring/internal/link/beechpool"
	"github.com/beechring/beechring/internal/link/beechsocket"
	"github.com/beechring/beechring/internal/process/beechbody"
	"github.com/beechring/beechring/internal/process/beechdescriptor"
	"github.com/beechring/beechring/internal/process/beechending"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/request/beechattempt"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechfresh"
	"github.com/beechring/beechring/internal/request/beechplace"
	"github.com/beechring/beechring/internal/request/beechrollout"
	"github.com/beechring/beechring/internal/state/beechmirror"
	"github.com/beechring/beechring/internal/state/beechreader"
)

type (
	// Dependencies are the components that a gate uses.
	Dependencies struct {
		Clock          clockwork.Clock
		Age            beechfresh.Clock
		Log            *zap.Logger
		Source         beechmirror.Source
		StoreUse       expvar.Var // calls and bytes of Source; may be nil
		Backend        beechcall.Backend
		Pool           *beechpool.Pool // connections of Backend
		CallersCompete bool            // at times callers ask for more than the servers can do
		OperatorPrefix string
		ServerPrefix   string
		// Operators decodes the operators' documents and Servers the servers' entries. Both
		// return what can be decoded, and an error for the rest.
		Operators func([]beechmirror.Item) (*beechcall.Configuration, []beechcall.WeightsVersion, error)
		Servers   func([]beechmirror.Item) ([]beechcall.Server, error)
		// Revision reads the store's revision, ordered by its era first. The read is linearizable.
		Revision func(context.Context) (uint64, error)
	}

	// Gate is the process on an entry host. It is safe for concurrent use.
	Gate struct {
		settings *beechsettings.Gate
		deps     Dependencies
		log      *zap.Logger
		limitLog *zap.Logger // at most maxLimitLogLines per second of each message
		clock    clockwork.Clock

		startedAt       time.Time
		configuration   atomic.Pointer[beechcall.Configuration]
		draining        atomic.Bool
		stopPlan        atomic.Pointer[beechstop.Plan] // nil: the process is not to stop
		ending          context.Context                // ends when calls that are under way get their last answers
		end             context.CancelFunc             // of ending
		freshness       *configurationAge              // age of the operators' documents
		serverFreshness *beechfresh.Tracker            // age of the list of servers
		placer          *beechplace.Placer
		health          *beechhealth.Tracker
		suspects        *beechsuspect.Registry
		poison          *beechpoison.Tracker // what servers crash on
		admission       *beechadmission.Controller
		demands         *beechadmission.Totals  // what other gates are asked for, to be handed on
		overload        *beechoverload.Detector // whether the processor keeps up
		budgets         *Budgets
		loans           *beechretry.Lender // lends to the gates of this zone if this gate is the first to collect
		quotas          *beechquota.Limiter
		returns         *returns
		limits          *beechthrottle.Throttle  // request limits that servers announce
		overloaded      *beechsaturation.Tracker // servers that reject requests
		backoff         *beechbackoff.Tracker    // servers that have asked this gate for no requests
		members         *beechgossip.Group       // all gates
		topology        atomic.Pointer[topology] // what follows from the members
		topologyMutex   sync.Mutex               // held while the topology is derived
		board           *beechsummary.Board      // states of all engines
		strains         *beechstrain.Board       // of all engines' hosts
		totals          *beechsummary.Totals     // measurements of other gates, to be handed on
		ownPaces        ownPaces
		copies          *copies
		fences          *fenceRequests
		origins         *origins
		outages         outages
		answers         beechmirror.Answers // of the store
		prover          *versionProver
		core            *beechattempt.Dispatcher
		socket          *beechdatagram.Socket
		callers         *beechsocket.Watcher  // notices callers that leave
		connections     *beechkeepalive.Group // of callers
		queue           atomic.Pointer[beechaccept.Queue]
		readers         *beechreader.Group // gates that read the store for this one
		operatorMirror  *beechmirror.Mirror
		serverMirror    *beechmirror.Mirror
		supervisor      *suture.Supervisor
		metrics         *metrics
		door            *beechending.Door
		descriptors     beechdescriptor.Plan
		intake          *beechintake.Intake // memory of callers' bodies
		bodies          *beechbody.Reader
		bounds          atomic.Pointer[beechsettings.GateBounds]

		mu          sync.Mutex
		announced   map[string]announcedVersion
		servers     []beechcall.Server
		departures  *departures
		gates       int
		recentGates recentMax // maximum of the numbers of members

		rolloutPace  *beechrollout.LoadWindow
		entryError   string        // current errors in servers' entries
		followDue    chan struct{} // signals that keepers should be contacted now
		turnEnded    chan struct{} // signals that an engine's turn to load weights has ended
		usageDue     chan struct{} // signals that quota usage should be sent to the other gates now
		returnsDue   chan struct{} // signals that promised times should be sent to the other gates now
		limitsDue    chan struct{} // signals that usage of servers' limits should be sent now
		overloadsDue chan struct{} // signals that overloaded servers should be sent now
		summariesDue chan struct{} // signals that sendSummaries should look what is due
		strainsDue   chan struct{} // signals that sendStrains should look what is due
		inquiryDue   chan struct{} // signals that the readers should be asked now
		poisonDue    chan struct{} // signals that what servers crashed on should be sent now
	}
)

const (
	operatorWatchPause   = 20 * time.Millisecond  // between watches
	serverWatchPause     = 500 * time.Millisecond // servers change in batches, and each watch call that a batch needs is paid for once per zone
	readTimeout          = time.Second
	operatorWatchTimeout = 10 * time.Second // longest wait of one watch call
	serverWatchTimeout   = 25 * time.Second
	maxHistoryGap        = 8 * time.Second         // the store keeps some 20 s of its history, and at times less
	removalDelay         = 2200 * time.Millisecond // entries that expired while the store was down return within two seconds
	followInterval       = 700 * time.Millisecond
	kvStoreProbeInterval = 1500 * time.Millisecond // each probe is a connection that is paid for
	tickInterval         = 500 * time.Millisecond
	// trafficLogInterval limits the traffic log to four lines a minute and host.
	trafficLogInterval = 15 * time.Second
	readyShare         = 0.55 // of the bound for keys: an entry host without contact to the store asks for no new connections after it
	drainDelay         = 2500 * time.Millisecond
	stopMargin         = 600 * time.Millisecond
	lastAnswerTime     = 200 * time.Millisecond // for the answers to callers whose requests are under way at the end
	maxHeaderBytes     = 64 << 10
	headerTimeout      = 10 * time.Second
	defaultIdleTimeout = 2 * time.Minute // of callers' connections, if operators set none
	// outdatedMargin before the operators' bound, outdated weights only get requests that are
	// expected to start at once. A request waits in an engine for at most two seconds, as
	// callers of streams disconnect then; the rest is the time until gates learn of a new
	// version.
	outdatedMargin = 2800 * time.Millisecond
	// startMargin before the bound, no request starts on outdated weights any more, and
	// waiting ones are withdrawn. It is twice the time until a gate that missed a message
	// learns of a version, plus the transit time to the engine.
	startMargin = 800 * time.Millisecond
)

// healthSettings react faster than the defaults, since callers' deadlines are a few seconds.
var healthSettings = beechhealth.Settings{
	MaxEjectedPercent: 40, MaxLatencyRatio: 6, MaxExcessFailures: 0.3, ConfirmationTime: 400 * time.Millisecond,
	EjectionTime: 3 * time.Second, MaxEjectionTime: 15 * time.Second, ProbeCount: 2, SlowStart: 2 * time.Second,
}

// New returns a gate that is bound to its heartbeat address. It serves once Run is called.
func New(s *beechsettings.Gate, deps Dependencies) (*Gate, error) {
	descriptors, err := beechdescriptor.New(s.Descriptors, s.Memory)
	if err != nil {
		return nil, err
	}
	socket, err := beechdatagram.Open(s.Beats)
	if err != nil {
		return nil, err
	}
	callers, err := beechsocket.NewWatcher(deps.Clock)
	if err != nil {
		return nil, err
	}
	g := &Gate{
		settings: s, deps: deps, log: deps.Log, clock: deps.Clock, socket: socket, callers: callers, startedAt: deps.Clock.Now(), descriptors: descriptors,
		readers:   beechreader.New(socket.Address()),
		board:     beechsummary.New(beechsummary.DefaultSettings, deps.Clock),
		strains:   beechstrain.New(beechstrain.DefaultSettings, deps.Clock),
		totals:    beechsummary.NewTotals(),
		copies:    newCopies(socket.Address()),
		fences:    newFenceRequests(),
		freshness: newConfigurationAge(deps.Age), serverFreshness: beechfresh.New(deps.Age),
		health:      beechhealth.New(healthSettings, deps.Clock),
		suspects:    beechsuspect.New(beechsuspect.Settings{}, deps.Clock),
		quotas:      beechquota.New(s.Name, rand.Uint64(), quotaBounds(s.Bounds.Quota), deps.Clock),
		loans:       beechretry.NewLender(deps.Clock),
		announced:   make(map[string]announcedVersion),
		departures:  newDepartures(deps.Clock),
		rolloutPace: beechrollout.NewLoadWindow(),
		followDue:   make(chan struct{}, 1),
		turnEnded:   make(chan struct{}, 1), usageDue: make(chan struct{}, 1), returnsDue: make(chan struct{}, 1), limitsDue: make(chan struct{}, 1), overloadsDue: make(chan struct{}, 1),
		summariesDue: make(chan struct{}, 1), strainsDue: make(chan struct{}, 1), inquiryDue: make(chan struct{}, 1), poisonDue: make(chan struct{}, 1),
	}
	g.ending, g.end = context.WithCancel(context.Background())
	g.intake = beechintake.New(beechintake.Settings{Capacity: bodyMemory(s.Memory), BodyTime: bodyTime}, deps.Clock)
	g.bodies = beechbody.New(g.intake)
	g.returns = newReturns(g)
	g.origins = newOrigins(g)
	g.overload = beechoverload.New(deps.Clock, rand.Float64)
	g.poison = beechpoison.New(deps.Clock, g.poisonTurn, g.wakePoisonSender)
	g.admission = beechadmission.New(admissionMode(beechadmission.Mode(s.Admission), deps.CallersCompete), deps.Clock)
	g.demands = beechadmission.NewTotals()
	g.budgets = NewBudgets(s.Bounds.Retries, s.Bounds.Spare, time.Duration(s.Bounds.Window), deps.Clock, g.askForLoan)
	g.members = newGossip(g)
	g.topology.Store(&topology{Duties: beechgossip.Assign(g.members.Members(), g.members.Self(), s.Zone, nil)})
	g.bounds.Store(&s.Bounds)
	g.limits = beechthrottle.New(s.Name, rand.Uint64(), deps.Age, deps.Clock, g.logLimitEvent, g.wakeLimitSender)
	g.door = beechending.NewDoor(deps.Log, deps.Clock, g.configurationVersion, func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) })
	g.metrics = newMetrics(g)
	callers.Observe(g.metrics.watchDelay.Record)
	deps.Pool.ObserveResetDelay(g.metrics.resetDelay.Record)
	g.limitLog = beechlog.Sampled(deps.Log, maxLimitLogLines, g.metrics.limitLinesDropped)
	g.connections = beechkeepalive.New(beechkeepalive.Settings{
		IdleTimeout: g.idleTimeout, HeadTimeout: headerTimeout,
		HeadBytes: beechbody.HeadMemory(s.Memory, maxHeaderBytes), MaxHead: g.maxHead, BehindBytes: beechbody.UnreadMemory(s.Memory), MaxOpen: g.descriptors.Open, Closed: g.logUnreadClosing,
	}, deps.Clock)
	weights := time.Duration(s.Bounds.Weights)
	g.overloaded = beechsaturation.New(deps.Clock, g.wakeOverloadSender)
	g.backoff = beechbackoff.New(deps.Clock)
	g.placer = beechplace.New(beechplace.Settings{
		Zone: s.Zone, OutdatedSoftLimit: max(weights-outdatedMargin, weights/2), OutdatedHardLimit: max(weights-startMargin, weights/2),
		CallersCompete: deps.CallersCompete, ListIsRecent: g.listIsRecent, ListAge: g.serverFreshness.Age,
	}, deps.Clock, g.health, g.limits, g.overloaded, g.backoff, g.announcePrompt)
	g.placer.AnnounceUrgencies(g.announceUrgency)
	g.core = beechattempt.New(g.placer, deps.Backend, deps.Pool, g.budgets, g.suspects, g.poison, g.admission, g, deps.Clock, deps.Log)
	g.core.SetReturns(g.returns)
	g.core.SetBackups(s.Backups)
	operators, servers := readSchedules(&s.Bounds)
	g.serverMirror = beechmirror.New(beechmirror.Settings{
		Prefix: deps.ServerPrefix, MaxAge: servers.Others, StartAge: servers.Others - startDelays.Others, ReadTimeout: readTimeout, WatchTimeout: serverWatchTimeout, WatchPause: serverWatchPause, RemovalDelay: removalDelay, MaxGap: maxHistoryGap, Answers: &g.answers, Observe: g.observeChanges, OnStoreLost: g.tellAllOrigins, OnRestored: g.readOperators, Forward: g.forwardChanges,
	}, deps.Source, g.serverFreshness, deps.Clock, deps.Log, g.setServers)
	g.prover = &versionProver{versions: g.origins.versions, servers: g.serverMirror, clock: deps.Clock, log: deps.Log, outcomes: g.metrics.catchUps}
	g.operatorMirror = beechmirror.New(beechmirror.Settings{
		Prefix: deps.OperatorPrefix, MaxAge: operators.Others, StartAge: operators.Others - startDelays.Others, ReadTimeout: readTimeout, WatchTimeout: operatorWatchTimeout, WatchPause: operatorWatchPause, Answers: &g.answers, OnRead: g.confirmServers, OnStoreLost: g.serverMirror.ReadNow, OnRestored: g.serverMirror.ReadNow, Forward: g.forwardChanges,
	}, deps.Source, g.freshness, deps.Clock, deps.Log, g.setOperators)
	g.supervisor = suture.New("gate", suture.Spec{EventHook: beechlog.SupervisorHook(deps.Log)})
	for _, task := range []beechtask.Task{
		{Name: "read operators", Run: g.operatorMirror.Read},
		{Name: "watch operators", Run: g.operatorMirror.Watch},
		{Name: "read servers", Run: g.serverMirror.Read},
		{Name: "watch servers", Run: g.serverMirror.Watch},
		{Name: "follow keepers", Run: g.followKeepers},
		{Name: "receive messages", Run: func(ctx context.Context) error { return g.socket.Receive(ctx, g.receive) }},
		{Name: "gossip", Run: g.gossip},
		{Name: "inquire readers", Run: g.inquireReaders},
		{Name: "answer requests for fencing numbers", Run: g.answerFences},
		{Name: "send summaries", Run: g.sendSummaries},
		{Name: "send strains", Run: g.sendStrains},
		{Name: "send measurements", Run: g.sendMeasurements},
		{Name: "send demands", Run: g.sendDemands},
		{Name: "send usage", Run: g.sendUsage},
		{Name: "send returns", Run: g.sendReturns},
		{Name: "send limits", Run: g.sendLimits},
		{Name: "send overloads", Run: g.sendOverloads},
		{Name: "send poison", Run: g.sendPoison},
		{Name: "watch processor", Run: g.watchProcessor},
		{Name: "watch callers", Run: g.callers.Run},
		{Name: "log traffic", Run: g.logTraffic},
		{Name: "tick", Run: g.tick},
		{Name: "probe KV cache stores", Run: g.probeKVStores},
	} {
		g.supervisor.Add(task)
	}
	return g, nil
}

// Ready reports whether the gate accepts new connections.
func (g *Gate) Ready() bool {
	if g.draining.Load() || g.configuration.Load() == nil {
		return false
	}
	return g.freshness.keys.Age() < time.Duration(float64(g.bounds.Load().Revoke)*readyShare)
}

// Draining reports whether the process is about to end.
func (g *Gate) Draining() bool { return g.draining.Load() }

// confirmServers confirms the list of servers by the store's revision in a read of the operators' documents, so that the list
// is read only after changes.
func (g *Gate) confirmServers(asked time.Duration, revision uint64) {
	g.serverMirror.ConfirmRevision(asked, revision)
}

// listIsRecent reports whether a server that has begun to leave since the list was proved still accepts connections, as it
// does until others have stopped sending to it.
func (g *Gate) listIsRecent() bool { return g.serverFreshness.Age() <= g.drainBound() }

// drainBound is the time from when the store knows that a server leaves until it gets no more requests.
func (g *Gate) drainBound() time.Duration {
	return cmp.Or(time.Duration(g.bounds.Load().Drain), beechsettings.DefaultDrain)
}

// Run serves until the context ends, and then until every request is completed or the grace
// period has expired.
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
	server := g.callerServer(door)
	copyListener, err := net.Listen("tcp4", g.socket.Address().String())
	if err != nil {
		return fmt.Errorf("listen for gates: %w", err)
	}
	copyServer := g.copyServer()
	defer copyServer.Close()
	readyServer := &http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(g.log)}
	failed := make(chan error, 3)
	go func() {
		failed <- server.Serve(g.listenForCallers(callerListener))
	}()
	go func() { failed <- readyServer.Serve(readyListener) }()
	go func() { failed <- copyServer.Serve(copyListener) }()
	supervised := g.supervisor.ServeBackground(background)
	g.log.Info("gate started", zap.Stringer("listen", g.settings.Listen), zap.String("zone", g.settings.Zone), zap.Int("descriptors", g.descriptors.Limit), zap.Int("maxConnections", g.descriptors.Open), zap.Int("intakeBytes", g.intake.State().Capacity))
	select {
	case <-ctx.Done():
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	}
	g.stop(server, readyServer)
	stop()
	<-supervised
	return g.callers.Close()
}

// callerServer returns the server of callers' requests.
func (g *Gate) callerServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout,
		ErrorLog: zap.NewStdLog(g.log),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return beechsocket.ConnContext(beechframing.ConnContext(ctx, c), c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			beechframing.ConnState(c, state)
			g.connections.ConnState(c, state)
		},
	}
}

// stop reports the gate as not ready, still accepts connections until the load balancer has
// noticed, and returns when every request is completed or has got its last answer.
func (g *Gate) stop(server, readyServer *http.Server) {
	start := g.clock.Now()
	plan := g.beginStop()
	g.log.Info("gate leaving")
	g.tellAllOrigins()
	g.leave()
	g.refreshDuties()
	g.clock.Sleep(plan.CloseListener.Sub(g.clock.Now()))
	defer g.clock.AfterFunc(plan.Answer.Sub(g.clock.Now()), g.end).Stop()
	ctx, cancel := clockwork.WithDeadline(context.Background(), g.clock, plan.End)
	defer cancel()
	err := g.drainCallers(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		g.log.Warn("grace time over with requests under way")
	}
	g.core.Wait(ctx)
	_ = server.Close()
	_ = readyServer.Close()
	g.log.Info("gate stopped", zap.Duration("took", g.clock.Since(start)))
}

// drainCallers returns when the connections of all callers are closed, or the context ends.
// Requests that arrive before that are served; http.Server.Shutdown would close their connections.
func (g *Gate) drainCallers(ctx context.Context) error {
	return g.connections.Drain(ctx)
}

// Apply applies settings that have changed while the process runs. Bounds take effect at once,
// addresses and names at the next start.
func (g *Gate) Apply(s *beechsettings.Gate) {
	g.bounds.Store(&s.Bounds)
	g.quotas.SetBounds(quotaBounds(s.Bounds.Quota))
	g.budgets.SetBounds(s.Bounds.Retries, s.Bounds.Spare, time.Duration(s.Bounds.Window))
	g.log.Info("bounds in force", zap.Duration("revoke", time.Duration(s.Bounds.Revoke)), zap.Duration("grace", time.Duration(s.Bounds.Grace)),
		zap.Float64("retries", s.Bounds.Retries), zap.Float64("spare", s.Bounds.Spare), zap.Duration("window", time.Duration(s.Bounds.Window)))
}

// probeKVStores checks in turn whether the KV cache stores accept connections. A request that
// names an unreachable one as its source is delayed by some hundred milliseconds.
func (g *Gate) probeKVStores(ctx context.Context) error {
	unreachable := make(map[netip.AddrPort]bool)
	next := 0
	return beechtask.Every(ctx, g.clock, kvStoreProbeInterval, func() {
		stores := g.placer.KVStores()
		if len(stores) == 0 {
			return
		}
		store := stores[next%len(stores)]
		next++
		err := g.deps.Pool.Probe(ctx, store)
		if err != nil {
			g.placer.KVStoreFailed(store)
		}
		if previous := unreachable[store]; previous != (err != nil) {
			unreachable[store] = err != nil
			g.log.Info("KV cache store reachability changed", zap.Bool("lost", unreachable[store]), zap.Stringer("peer", store), zap.Error(err))
		}
	})
}

// logTraffic logs the traffic of this host. Bytes between zones and calls to the store are
// paid for, and these lines explain a fleet's bill.
func (g *Gate) logTraffic(ctx context.Context) error {
	return beechtask.Every(ctx, g.clock, trafficLogInterval, func() {
		if slow := slowEngines(g.placer.Paces()); len(slow) > 0 {
			g.log.Info("engines slower than the median", zap.Any("times", slow))
		}
		connections := g.connections.Counts()
		g.log.Info("traffic", zap.Int("connections", connections.Open), zap.Int("connectionsPeak", connections.Peak), zap.Any("intake", g.intake.State()), zap.Any("members", g.members.Counts()), zap.Any("states", g.board.Counts()), beechlog.Counts("datagrams", g.socket.SentBytes()), beechlog.Counts("bodies", g.metrics.bodies), beechlog.Counts("backups", g.metrics.backups), beechlog.Counts("store", g.deps.StoreUse))
	})
}

func (g *Gate) tick(ctx context.Context) error {
	return beechtask.Every(ctx, g.clock, tickInterval, func() {
		g.health.Tick()
		g.deps.Pool.CloseExpired()
	})
}
