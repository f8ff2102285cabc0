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
		Operators func([]beechmirror.Item) (*beechcall.Configuration, []beechcall.WeightsVersion, error)
		Servers   func([]beechmirror.Item) ([]beechcall.Server, error)
	}

	// Gate is the process. It is safe for concurrent use.
	Gate struct {
		settings *beechsettings.Gate
		needs    Dependencies
		log      *zap.Logger
		limitLog *zap.Logger // at most limitLines a second of each message
		clock    clockwork.Clock

		configuration atomic.Pointer[beechcall.Configuration]
		leaving       atomic.Bool
		belief        *beechfresh.Tracker // in what operators wrote
		placer        *beechplace.Placer
		health        *beechhealth.Tracker
		suspects      *beechsuspect.Register
		budgets       *Budgets
		quotas        *beechquota.Ledger
		limits        *beechthrottle.Throttle // of servers
		full          *beechroom.Register     // servers
		others        *roster                 // gates of the other zones
		core          *beechattempt.Dispatcher
		socket        *beechbeat.Socket
		circle        *beechvouch.Circle // of gates that share their reads of the store
		operatorCopy  *beechmirror.Mirror
		serverCopy    *beechmirror.Mirror
		supervisor    *suture.Supervisor
		metrics       *metrics
		bounds        atomic.Pointer[beechsettings.GateBounds]

		mu      sync.Mutex
		named   map[string]naming
		servers []beechcall.Server
		gates   int
		seen    most // gates, by keepers' words

		pace       *beechrollout.LoadWindow
		passedOver string        // what is wrong with servers' entries now
		news       chan struct{} // a follow is due now
		turnNews   chan struct{} // an engine's turn has ended
		spentNews  chan struct{} // other gates are to hear at once what was admitted
		limitNews  chan struct{} // or what servers with limits were sent
		fullNews   chan struct{} // or that a server is full
	}
)

const (
	operatorSpace  = 20 * time.Millisecond  // between watches
	serverSpace    = 500 * time.Millisecond // servers change in rows, and each row is a call that one gate of a zone pays for
	readPatience   = time.Second
	operatorWait   = 10 * time.Second // of a watch
	serverWait     = 25 * time.Second
	linger         = 2200 * time.Millisecond // entries that lapsed with the store are back within two seconds
	followInterval = 700 * time.Millisecond
	farRounds      = 2                       // of these rounds one reaches keepers of other zones: each word there is paid for by its bytes
	keptInterval   = 1500 * time.Millisecond // between looks at the store of kept KV cache, each a connection that is paid for
	tickInterval   = 500 * time.Millisecond
	// trafficInterval keeps the lines on traffic to four a minute and host.
	trafficInterval = 15 * time.Second
	readyShare      = 0.55 // of the bound for keys: an entry host without the store's word asks for no new callers
	acceptAfter     = 2500 * time.Millisecond
	stopMargin      = 600 * time.Millisecond
	headerBytes     = 64 << 10
	headerTime      = 10 * time.Second
	idleTime        = 2 * time.Minute // of callers' connections, where operators name none
	// oldMargin before the operators' bound only work that would begin at once goes
	// to old weights. A request waits in an engine for two seconds at most, since
	// callers of streams leave then; the rest is for the word that a version was
	// named.
	oldMargin = 2800 * time.Millisecond
	// beginMargin before it nothing begins there any more, and what waits is taken
	// back: twice the time in which a gate that has lost a word hears of a version,
	// and the way to the engine.
	beginMargin = 800 * time.Millisecond
)

// healthSettings are quicker than the defaults, since callers' deadlines here
// are of seconds.
var healthSettings = beechhealth.Settings{
	MaxEjected: 40, Slow: 6, Failed: 0.3, Confirm: 400 * time.Millisecond,
	Eject: 3 * time.Second, MaxEject: 15 * time.Second, Probes: 2, SlowStart: 2 * time.Second,
}

// New returns a gate that is bound to its beat address and serves once Run is
// called.
func New(s *beechsettings.Gate, needs Dependencies) (*Gate, error) {
	socket, err := beechbeat.Open(s.Beats)
	if err != nil {
		return nil, err
	}
	g := &Gate{
		settings: s, needs: needs, log: needs.Log, clock: needs.Clock, socket: socket,
		circle:   beechvouch.New(socket.Address()),
		belief:   beechfresh.New(needs.Age),
		health:   beechhealth.New(healthSettings, needs.Clock),
		suspects: beechsuspect.New(beechsuspect.Settings{}, needs.Clock),
		quotas:   beechquota.New(s.Name, rand.Uint64(), quotaBounds(s.Bounds.Quota), needs.Clock),
		others:   newRoster(),
		budgets:  NewBudgets(s.Bounds.Retries, s.Bounds.Spare, time.Duration(s.Bounds.Window), needs.Clock),
		named:    make(map[string]naming),
		pace:     beechrollout.NewLoadWindow(),
		news:     make(chan struct{}, 1),
		turnNews: make(chan struct{}, 1), spentNews: make(chan struct{}, 1), limitNews: make(chan struct{}, 1), fullNews: make(chan struct{}, 1),
	}
	g.bounds.Store(&s.Bounds)
	g.limits = beechthrottle.New(s.Name, rand.Uint64(), needs.Age, needs.Clock, g.noteLimit, g.limitChanged)
	g.metrics = newMetrics(g)
	g.limitLog = sampled(needs.Log, g.metrics.linesDropped)
	weights := time.Duration(s.Bounds.Weights)
	g.full = beechroom.New(needs.Clock, g.foundFull)
	g.placer = beechplace.New(beechplace.Settings{
		Zone: s.Zone, OutdatedSoftLimit: max(weights-oldMargin, weights/2), OutdatedHardLimit: max(weights-beginMargin, weights/2),
	}, needs.Clock, g.health, g.limits, g.full, g.announce)
	g.core = beechattempt.New(g.placer, needs.Backend, needs.Pool, g.budgets, g.suspects, g, needs.Clock, needs.Log)
	g.serverCopy = beechmirror.New(beechmirror.Settings{
		Prefix: needs.ServerPrefix, Interval: serverReads.First, Patience: readPatience, Wait: serverWait, Space: serverSpace, Linger: linger, Forward: g.forward,
	}, needs.Source, beechfresh.New(needs.Age), needs.Clock, needs.Log, g.setServers)
	g.operatorCopy = beechmirror.New(beechmirror.Settings{
		Prefix: needs.OperatorPrefix, Interval: operatorReads.First, Patience: readPatience, Wait: operatorWait, Space: operatorSpace, Lost: g.serverCopy.Ask, Forward: g.forward,
	}, needs.Source, g.belief, needs.Clock, needs.Log, g.setOperators)
	g.supervisor = suture.New("gate", suture.Spec{EventHook: beechlog.SupervisorHook(needs.Log)})
	for _, task := range []beechtask.Task{
		{Name: "read operators", Run: g.operatorCopy.Read},
		{Name: "watch operators", Run: g.operatorCopy.Watch},
		{Name: "read servers", Run: g.serverCopy.Read},
		{Name: "watch servers", Run: g.serverCopy.Watch},
		{Name: "follow keepers", Run: g.followKeepers},
		{Name: "hear keepers", Run: func(ctx context.Context) error { return g.socket.Receive(ctx, g.hear) }},
		{Name: "ask peers", Run: g.askPeers},
		{Name: "tell spent", Run: g.tellSpent},
		{Name: "tell paces", Run: g.tellPaces},
		{Name: "tell limits", Run: g.tellLimits},
		{Name: "tell full", Run: g.tellFull},
		{Name: "tell traffic", Run: g.tellTraffic},
		{Name: "tick", Run: g.tick},
		{Name: "reach kept store", Run: g.reachKept},
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
	return g.belief.Age() < time.Duration(float64(g.bounds.Load().Revoke)*readyShare)
}

// Leaving tells whether the process is about to end.
func (g *Gate) Leaving() bool { return g.leaving.Load() }

// Run serves until the context ends, and then until every request has its
// answer or the grace time is over.
func (g *Gate) Run(ctx context.Context, door, ready http.Handler) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	front, err := net.Listen("tcp4", g.settings.Listen.String())
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	check, err := net.Listen("tcp4", g.settings.Ready.String())
	if err != nil {
		return fmt.Errorf("listen for readiness: %w", err)
	}
	server := &http.Server{
		Handler: door, MaxHeaderBytes: headerBytes, ReadHeaderTimeout: headerTime,
		ConnContext: beechguard.Context, ErrorLog: zap.NewStdLog(g.log),
	}
	idle := newIdlers(g.clock, g.idleLimit)
	server.ConnState = func(c net.Conn, state http.ConnState) {
		beechguard.State(c, state)
		idle.state(c, state)
	}
	checks := &http.Server{Handler: ready, ReadHeaderTimeout: headerTime, ErrorLog: zap.NewStdLog(g.log)}
	failed := make(chan error, 2)
	go func() { failed <- server.Serve(beechguard.Listen(front)) }()
	go func() { failed <- checks.Serve(check) }()
	supervised := g.supervisor.ServeBackground(background)
	g.log.Info("gate started", zap.Stringer("listen", g.settings.Listen), zap.String("zone", g.settings.Zone))
	select {
	case <-ctx.Done():
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	}
	g.stop(server, checks)
	stop()
	<-supervised
	return nil
}

// stop asks for no new connections, takes those that come all the same while
// the balancer finds out, and ends when every request has its answer.
func (g *Gate) stop(server, checks *http.Server) {
	began := g.clock.Now()
	g.leaving.Store(true)
	g.log.Info("gate leaving")
	g.clock.Sleep(acceptAfter)
	left := time.Duration(g.bounds.Load().Grace) - stopMargin - g.clock.Since(began)
	ctx, cancel := clockwork.WithTimeout(context.Background(), g.clock, left)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		g.log.Warn("grace time over with requests under way")
	}
	_ = server.Close()
	_ = checks.Close()
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
func (g *Gate) reachKept(ctx context.Context) error {
	lost := make(map[netip.AddrPort]bool)
	next := 0
	return beechtask.Every(ctx, g.clock, keptInterval, func() {
		stores := g.placer.KVStores()
		if len(stores) == 0 {
			return
		}
		kept := stores[next%len(stores)]
		next++
		err := g.needs.Pool.Reach(ctx, kept)
		if err != nil {
			g.placer.KVStoreFailed(kept)
		}
		if was := lost[kept]; was != (err != nil) {
			lost[kept] = err != nil
			g.log.Info("kept store", zap.Bool("lost", lost[kept]), zap.Stringer("peer", kept), zap.Error(err))
		}
	})
}

// tellTraffic logs what this host has sent so far: bytes between zones and calls
// to the store are paid for, and a fleet's bill is explained from these lines.
func (g *Gate) tellTraffic(ctx context.Context) error {
	return beechtask.Every(ctx, g.clock, trafficInterval, func() {
		if slow := slowest(g.placer.Paces()); len(slow) > 0 {
			g.log.Info("engines differ in pace", zap.Any("times", slow))
		}
		g.log.Info("traffic", beechlog.Counts("datagrams", g.socket.Sent()), beechlog.Counts("bodies", g.metrics.bodies), beechlog.Counts("store", g.needs.StoreUse))
	})
}

func (g *Gate) tick(ctx context.Context) error {
	return beechtask.Every(ctx, g.clock, tickInterval, func() {
		g.health.Tick()
		g.needs.Pool.Sweep()
	})
}
