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
	// Dependencies are what an agent needs from outside.
	Dependencies struct {
		Clock   clockwork.Clock
		Log     *zap.Logger
		Store   beechstore.Store
		Engine  beechbackend.Engine
		Service beechbackend.Service
		LinkTLS *tls.Config // nil without TLS on links
	}

	// Agent is the process beside one backend server. Make one with New.
	Agent struct {
		settings    *beechsettings.Agent
		clock       clockwork.Clock
		log         *zap.Logger
		store       beechstore.Store
		engine      beechbackend.Engine
		service     beechbackend.Service
		incarnation uint64

		holder     *beechmanifest.Holder
		server     *beechlink.Server
		listener   net.Listener
		records    *beechrecord.Records
		index      *beechindex.Index
		suspects   *beechsuspect.Registry
		scheduler  *scheduler
		library    *library
		view       *backendView
		fleet      *fleet
		running    *runningSet
		used       *usedClaims
		placements *placements
		unsettled  *unsettled
		numbers    counters

		leaving    atomic.Bool
		supervisor *suture.Supervisor
		life       context.Context // of generations; ends after the drain
		endLife    context.CancelFunc
		runs       sync.WaitGroup
		work       atomic.Uint64
	}
)

const (
	drainLimit      = 10 * time.Minute
	leavingNotice   = 300 * time.Millisecond
	longPrefill     = 8192 // tokens; a few seconds on the engines of today
	maxLongPrefills = 2
	prefillWait     = 2 * time.Second
	maxWait         = 30 * time.Second // callers without a deadline
	shutdownTimeout = 2 * time.Second
	recordsPause    = 20 * time.Millisecond
)

// New makes an agent and opens its listeners, so that an address that is
// taken is an error here. Its goroutines run from Serve on.
func New(settings *beechsettings.Agent, d Dependencies) (*Agent, error) {
	listener, err := beechlink.Listen(settings.Listen)
	if err != nil {
		return nil, err
	}
	life, endLife := context.WithCancel(context.Background())
	a := &Agent{
		settings:    settings,
		clock:       d.Clock,
		log:         d.Log.Named("agent"),
		store:       d.Store,
		engine:      d.Engine,
		service:     d.Service,
		incarnation: uint64(d.Clock.Now().UnixNano()),
		holder:      beechmanifest.NewHolder(),
		listener:    listener,
		records:     beechrecord.New(d.Store, d.Clock, beechrecord.Settings{Shards: beechwire.RecordShards}),
		index:       beechindex.New(beechindex.Settings{}),
		suspects:    beechsuspect.New(beechsuspect.Settings{}, d.Clock),
		library:     newLibrary(settings.Limits, d.Clock),
		fleet:       newFleet(),
		running:     newRunningSet(),
		used:        newUsedClaims(),
		placements:  newPlacements(d.Clock),
		unsettled:   newUnsettled(d.Clock),
		life:        life,
		endLife:     endLife,
	}
	a.view = newBackendView()
	a.scheduler = newScheduler(a.queueSettings(nil), d.Clock, a.view.queueLoad)
	a.server = beechlink.NewServer(
		beechlink.Settings{Key: settings.Secret}, a.hello, a, a, a, a, d.LinkTLS, d.Clock)
	if err := a.supervise(); err != nil {
		listener.Close()
		return nil, err
	}
	a.warnOpen(d.LinkTLS)
	return a, nil
}

// supervise lists every goroutine that lives as long as the agent.
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
	a.supervisor.Add(beechtask.Task{Name: "report", Run: a.watchReport})
	a.supervisor.Add(beechtask.Task{Name: "cache events", Run: a.watchCache})
	a.supervisor.Add(beechtask.Task{Name: "configuration", Run: a.watchConfiguration})
	a.supervisor.Add(beechtask.Task{Name: "apply configuration", Run: a.applyConfigurations})
	a.supervisor.Add(beechtask.Task{Name: "loads", Run: a.keepModels})
	return nil
}

// Serve runs the agent until ctx ends. Then it says that it is leaving, takes
// no new work, finishes every request and returns nil.
func (a *Agent) Serve(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	supervised := a.supervisor.ServeBackground(inner)
	served := make(chan error, 1)
	go func() { served <- a.server.Serve(inner, a.listener) }()
	a.log.Info("agent serves", zap.Stringer("listen", a.listener.Addr()), zap.Uint64("incarnation", a.incarnation))

	var err error
	select {
	case <-ctx.Done():
		err = a.drain()
	case err = <-served:
	}
	a.endLife()
	a.runs.Wait()
	stop()
	<-supervised
	a.log.Info("agent ended", zap.Error(err))
	return err
}

// drain lets everything that was accepted end. Entry hosts are told first and
// given a moment to stop choosing this server; what still comes is refused,
// not run, and goes elsewhere.
func (a *Agent) drain() error {
	a.leaving.Store(true)
	a.server.PushHeartbeat()
	a.log.Info("agent leaves", beechlog.Step("drain"))
	a.clock.Sleep(leavingNotice)
	ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	if err := a.server.Drain(ctx); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	a.awaitRuns(ctx)
	return a.finishRecords(ctx)
}

// awaitRuns lets what may not be repeated end. Generations whose callers are
// gone are cancelled: nobody can come back to them any more.
func (a *Agent) awaitRuns(ctx context.Context) {
	a.library.cancelRepeatable()
	beechtask.Wait(ctx, &a.runs)
}

// finishRecords waits until the outcomes known here are in the platform's
// service. One that is lost with this process would be told as unknown.
func (a *Agent) finishRecords(ctx context.Context) error {
	closing, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	_ = beechtask.Every(closing, a.clock, recordsPause, func() {
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

// warnOpen says when links beyond loopback are not under TLS.
func (a *Agent) warnOpen(config *tls.Config) {
	if config == nil && !a.settings.Listen.Addr().IsLoopback() {
		a.log.Warn("links listen beyond loopback without TLS", zap.Stringer("listen", a.settings.Listen))
	}
}
