package beechagent

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechbackoff"
	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/decision/beechsurvival"
	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechbackend"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechmemory"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/prompt/beechindex"
	"github.com/beechring/beechring/internal/state/beechmanifest"
	"github.com/beechring/beechring/internal/state/beechrecord"
	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// Dependencies are the external components that an agent uses.
	Dependencies struct {
		Clock   clockwork.Clock
		Log     *zap.Logger
		Store   beechstore.Store
		Engine  beechbackend.Engine
		Service beechbackend.Service
		LinkTLS *tls.Config // nil without TLS on links
	}

	// Agent controls one backend server. Use New to create one.
	Agent struct {
		settings    *beechsettings.Agent
		clock       clockwork.Clock
		log         *zap.Logger
		store       beechstore.Store
		engine      beechbackend.Engine
		service     beechbackend.Service
		incarnation uint64

		holder          *beechmanifest.Holder
		server          *beechlink.Server
		listener        net.Listener
		records         *beechrecord.Records
		index           *beechindex.Index
		suspects        *beechsuspect.Registry
		poison          *beechpoison.Tracker // what servers crash on
		scheduler       *scheduler
		generations     *generationRegistry
		backend         *backendState
		survivals       *beechsurvival.Checker
		backoff         *beechbackoff.Tracker // time for which the backend server has asked for no requests
		entryHosts      *entryHosts
		running         *activeRuns
		usedClaims      *usedClaims
		placements      *placements
		pendingOutcomes *pendingOutcomes
		counters        counters
		bodies          bodyMemory
		answers         *answerMemory

		leaving           atomic.Bool
		supervisor        *suture.Supervisor
		generationContext context.Context // parent context of all generations; cancelled after the drain
		cancelGenerations context.CancelFunc
		runs              sync.WaitGroup
		lastRequestID     atomic.Uint64
	}
)

const (
	drainTimeout       = 10 * time.Minute
	drainNotice        = 300 * time.Millisecond
	longPrefillTokens  = 8192 // takes a few seconds on current engines
	maxLongPrefills    = 2
	maxPrefixWait      = 2 * time.Second
	maxQueueWait       = 30 * time.Second // for requests without a deadline
	shutdownTimeout    = 2 * time.Second
	recordPollInterval = 20 * time.Millisecond
)

// New creates an agent and opens its listeners, so that an address already in
// use is reported here. No goroutines run before Serve is called.
func New(settings *beechsettings.Agent, d Dependencies) (*Agent, error) {
	listener, err := beechlink.Listen(settings.Listen)
	if err != nil {
		return nil, err
	}
	generationContext, cancelGenerations := context.WithCancel(context.Background())
	a := &Agent{
		settings:          settings,
		clock:             d.Clock,
		log:               d.Log.Named("agent"),
		store:             d.Store,
		engine:            d.Engine,
		service:           d.Service,
		incarnation:       uint64(d.Clock.Now().UnixNano()),
		holder:            beechmanifest.NewHolder(),
		listener:          listener,
		records:           beechrecord.New(d.Store, d.Clock, beechrecord.Settings{Shards: beechwire.RecordShards}),
		index:             beechindex.New(beechindex.Settings{}),
		suspects:          beechsuspect.New(beechsuspect.Settings{}, d.Clock),
		generations:       newGenerationRegistry(settings.Limits, d.Clock),
		entryHosts:        newEntryHosts(),
		running:           newActiveRuns(),
		usedClaims:        newUsedClaims(),
		placements:        newPlacements(d.Clock),
		backoff:           beechbackoff.New(d.Clock),
		survivals:         beechsurvival.New(dialer{}, d.Clock),
		pendingOutcomes:   newPendingOutcomes(d.Clock),
		bodies:            newBodyMemory(settings, d.Clock),
		answers:           newAnswerMemory(settings),
		generationContext: generationContext,
		cancelGenerations: cancelGenerations,
	}
	a.poison = beechpoison.New(d.Clock, func(uint64) int { return 0 }, func() { a.server.PushHeartbeat() })
	a.backend = newBackendState()
	a.scheduler = newScheduler(a.queueSettings(nil), d.Clock, a.backend.queueLoad)
	a.server = beechlink.NewServer(
		beechlink.Settings{Key: settings.Secret, Bodies: a.bodies}, a.hello, a, a, a, a, d.LinkTLS, d.Clock)
	if err := a.supervise(); err != nil {
		listener.Close()
		return nil, err
	}
	a.warnWithoutTLS(d.LinkTLS)
	return a, nil
}

// supervise registers every goroutine that runs for the lifetime of the agent.
// The task names appear in the supervisor's log lines.
func (a *Agent) supervise() error {
	admin, err := a.newAdmin()
	if err != nil {
		return err
	}
	a.supervisor = suture.New("agent", suture.Spec{EventHook: beechlog.SupervisorHook(a.log)})
	a.supervisor.Add(beechtask.Task{Name: "admin", Run: admin})
	a.supervisor.Add(beechmemory.New(a.clock))
	a.supervisor.Add(beechtask.Task{Name: "scheduler", Run: a.scheduler.serve})
	a.supervisor.Add(beechtask.Task{Name: "library", Run: a.sweep})
	a.supervisor.Add(beechtask.Task{Name: "report", Run: a.pollBackend})
	a.supervisor.Add(beechtask.Task{Name: "cache events", Run: a.pollCacheEvents})
	a.supervisor.Add(beechtask.Task{Name: "configuration", Run: a.watchConfiguration})
	a.supervisor.Add(beechtask.Task{Name: "apply configuration", Run: a.applyConfigurations})
	a.supervisor.Add(beechtask.Task{Name: "loads", Run: a.reconcileModels})
	return nil
}

// Serve runs the agent until ctx ends. It then announces that the agent is
// leaving, refuses new requests, waits for the accepted ones and returns nil.
func (a *Agent) Serve(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	supervised := a.supervisor.ServeBackground(inner)
	served := make(chan error, 1)
	go func() { served <- a.server.Serve(inner, a.listener) }()
	a.log.Info("agent started", zap.Stringer("listen", a.listener.Addr()), zap.Uint64("incarnation", a.incarnation))

	var err error
	select {
	case <-ctx.Done():
		err = a.drain()
	case err = <-served:
	}
	a.cancelGenerations()
	a.runs.Wait()
	stop()
	<-supervised
	a.log.Info("agent stopped", zap.Error(err))
	return err
}

// drain waits until all accepted requests have ended. Entry hosts are notified
// first and have drainNotice to stop choosing this server. Requests that still
// arrive are refused without being run, so that entry hosts can send them to
// another server.
func (a *Agent) drain() error {
	a.leaving.Store(true)
	a.server.PushHeartbeat()
	a.log.Info("agent leaves", beechlog.Step("drain"))
	a.clock.Sleep(drainNotice)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := a.server.Drain(ctx); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	a.waitForRuns(ctx)
	return a.flushOutcomes(ctx)
}

// waitForRuns waits for the runs of requests that may not be repeated. Runs of
// repeatable requests are cancelled: all streams have ended by now, and no caller
// can reattach any more.
func (a *Agent) waitForRuns(ctx context.Context) {
	a.generations.cancelRepeatable()
	beechtask.Wait(ctx, &a.runs)
}

// flushOutcomes waits until all outcomes known here are stored in the platform's
// service. An outcome that is lost with this process would be reported as unknown
// to repeated requests.
func (a *Agent) flushOutcomes(ctx context.Context) error {
	closing, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	_ = beechtask.Every(closing, a.clock, recordPollInterval, func() {
		if a.records.Unrecorded() == 0 {
			cancel()
		}
	})
	if left := a.records.Unrecorded(); left > 0 {
		a.log.Warn("outcomes not recorded", beechlog.Step("drain"), zap.Int("left", left))
	}
	a.records.Close()
	return nil
}

func (a *Agent) hello() beechwire.Hello {
	return beechwire.Hello{
		Version:     beechwire.Version,
		Role:        beechwire.RoleAgent,
		Zone:        a.settings.Zone,
		Address:     a.settings.Listen.String(),
		Incarnation: a.incarnation,
		Generation:  a.holder.Generation(),
		Key:         a.settings.Secret,
	}
}

// warnWithoutTLS logs a warning if links accept connections from other hosts
// without TLS.
func (a *Agent) warnWithoutTLS(config *tls.Config) {
	if config == nil && !a.settings.Listen.Addr().IsLoopback() {
		a.log.Warn("link listener accepts connections from other hosts without TLS", zap.Stringer("listen", a.settings.Listen))
	}
}
