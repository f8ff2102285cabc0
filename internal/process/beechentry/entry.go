package beechentry

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"expvar"
	"fmt"
	randv2 "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechhealth"
	"github.com/beechring/beechring/internal/decision/beechintake"
	"github.com/beechring/beechring/internal/decision/beechlimit"
	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/decision/beechretry"
	"github.com/beechring/beechring/internal/decision/beechstop"
	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/link/beechaccept"
	"github.com/beechring/beechring/internal/link/beechkeepalive"
	"github.com/beechring/beechring/internal/link/beechsocket"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechbody"
	"github.com/beechring/beechring/internal/process/beechburn"
	"github.com/beechring/beechring/internal/process/beechdescriptor"
	"github.com/beechring/beechring/internal/process/beechending"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechmemory"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/prompt/beechprefix"
	"github.com/beechring/beechring/internal/state/beechmanifest"
	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// Dependencies are the external services and credentials that an entry uses.
	Dependencies struct {
		Clock   clockwork.Clock
		Log     *zap.Logger
		Store   beechstore.Store
		LinkTLS *tls.Config // nil: links are not encrypted
		TLS     *tls.Config // nil: callers are served without TLS
	}

	// Entry is the process on an entry host. Create one with New.
	Entry struct {
		settings    *beechsettings.Entry
		clock       clockwork.Clock
		log         *zap.Logger
		limitLog    *zap.Logger // at most maxLimitLogLines per second of each message
		store       beechstore.Store
		incarnation uint64

		holder      *beechmanifest.Holder
		fleet       *fleet
		limiter     *beechlimit.Limiter
		budget      *beechretry.Budget
		health      *beechhealth.Tracker
		suspects    *beechsuspect.Registry
		poison      *beechpoison.Tracker // what servers crash on
		burn        *beechburn.Burn
		signer      *streamSigner
		startup     *startup
		estimator   beechprefix.Estimator
		counters    counters
		door        *beechending.Door
		descriptors beechdescriptor.Plan
		intake      *beechintake.Intake // memory of callers' bodies
		bodies      *beechbody.Reader

		http         *http.Server
		listener     net.Listener
		callers      *beechsocket.Watcher  // notices callers that leave
		connections  *beechkeepalive.Group // of callers
		supervisor   *suture.Supervisor
		draining     atomic.Bool
		stopPlan     atomic.Pointer[beechstop.Plan] // nil: the process is not to stop
		ending       context.Context                // ends when requests that are under way get their last answers
		end          context.CancelFunc             // of ending
		restored     atomic.Bool                    // the start-up restore of shared state has run, successfully or not
		configured   atomic.Bool                    // the limits of a configuration are in force
		openRequests atomic.Int64
		background   sync.WaitGroup // work that outlives its request: claims, outcomes, owner notifications
	}
)

const (
	drainDelay        = 500 * time.Millisecond
	idleTimeout       = 2 * time.Minute
	requestIDBytes    = 12
	retryPercent      = 20
	retryReserve      = 20
	maxAttempts       = 4
	baseBackoff       = 20 * time.Millisecond
	maxBackoff        = 500 * time.Millisecond
	limitBurst        = 10 * time.Second
	limitGrowthDelay  = 10 * time.Second
	maxEjectedPercent = 30
	healthInterval    = time.Second
	// maxClosingLogLines per second; all closings are counted.
	maxClosingLogLines = 10
	// maxLimitLogLines per second; all refusals are counted.
	maxLimitLogLines = 10
)

// New creates an entry and opens its listeners, so that an address already in
// use is reported here. Its goroutines start in Serve.
func New(settings *beechsettings.Entry, d Dependencies) (*Entry, error) {
	descriptors, err := beechdescriptor.New(settings.Descriptors, settings.Memory)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", settings.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("listen for callers on %s: %w", settings.Listen, err)
	}
	callers, err := beechsocket.NewWatcher(d.Clock)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	log := d.Log.Named("entry")
	connections := beechkeepalive.New(beechkeepalive.Settings{
		IdleTimeout: func() time.Duration { return idleTimeout }, HeadTimeout: time.Duration(settings.Limits.BodyTime),
		HeadBytes: beechbody.HeadMemory(settings.Memory, settings.Limits.HeaderBytes), BehindBytes: beechbody.UnreadMemory(settings.Memory), MaxOpen: descriptors.Open, Closed: logUnreadClosing(log),
	}, d.Clock)
	listener = connections.Listen(beechaccept.Listen(callers.Listen(listener), beechaccept.Settings{MaxWaiting: descriptors.Waiting, MaxUnread: beechbody.UnreadMemory(settings.Memory)}, d.Clock))
	if d.TLS != nil {
		listener = tls.NewListener(listener, d.TLS)
	}
	e := &Entry{
		settings:    settings,
		clock:       d.Clock,
		log:         log,
		limitLog:    beechlog.Sampled(log, maxLimitLogLines, new(expvar.Int)),
		store:       d.Store,
		incarnation: uint64(d.Clock.Now().UnixNano()),
		holder:      beechmanifest.NewHolder(),
		limiter:     beechlimit.New(beechlimit.Settings{Burst: limitBurst, GrowthDelay: limitGrowthDelay}, d.Clock),
		budget: beechretry.New(beechretry.Settings{
			RetryPercent: retryPercent, Reserve: retryReserve, MaxAttempts: maxAttempts, BaseBackoff: baseBackoff, MaxBackoff: maxBackoff,
		}, d.Clock, randv2.NewPCG(randv2.Uint64(), randv2.Uint64())),
		health:   beechhealth.New(beechhealth.Settings{MaxEjectedPercent: maxEjectedPercent}, d.Clock),
		suspects: beechsuspect.New(beechsuspect.Settings{}, d.Clock),
		burn:     beechburn.New(beechburn.Settings{}, d.Clock),
		signer:   newStreamSigner(settings.Secret),
		startup:  newStartup(d.Clock),
		listener: listener, descriptors: descriptors,
		callers: callers, connections: connections,
		intake: newIntake(settings, d.Clock),
	}
	e.ending, e.end = context.WithCancel(context.Background())
	e.bodies = beechbody.New(e.intake)
	e.door = beechending.NewDoor(e.log, e.clock, e.holder.Generation, writeFault)
	e.poison = beechpoison.New(d.Clock, e.poisonTurn, func() { e.fleet.dialer.PushHeartbeat() })
	e.fleet = newFleet(e, d.LinkTLS)
	e.http = &http.Server{
		Handler:           e.announceDrain(e.routes()),
		ReadHeaderTimeout: time.Duration(settings.Limits.BodyTime),
		MaxHeaderBytes:    settings.Limits.HeaderBytes,
		ErrorLog:          zap.NewStdLog(e.log),
		ConnContext:       beechsocket.ConnContext,
		ConnState:         connections.ConnState,
	}
	if err := e.supervise(); err != nil {
		_ = listener.Close()
		_ = callers.Close()
		return nil, err
	}
	e.warnWithoutTLS(d)
	return e, nil
}

// supervise registers every goroutine that lives as long as the entry.
func (e *Entry) supervise() error {
	admin, err := e.newAdmin()
	if err != nil {
		return err
	}
	e.supervisor = suture.New("entry", suture.Spec{EventHook: beechlog.SupervisorHook(e.log)})
	e.supervisor.Add(beechtask.Task{Name: "admin", Run: admin})
	e.supervisor.Add(beechmemory.New(e.clock))
	e.supervisor.Add(beechtask.Task{Name: "configuration", Run: e.watchConfiguration})
	e.supervisor.Add(beechtask.Task{Name: "apply configuration", Run: e.applyConfigurations})
	e.supervisor.Add(beechtask.Task{Name: "members", Run: e.watchMembers})
	e.supervisor.Add(beechtask.Task{Name: "health", Run: e.tickHealth})
	e.supervisor.Add(beechtask.Task{Name: "cache changes", Run: e.watchCaches})
	e.supervisor.Add(beechtask.Task{Name: "share", Run: e.shareState})
	e.supervisor.Add(beechtask.Task{Name: "watch callers", Run: e.callers.Run})
	return nil
}

// Serve runs the entry until ctx ends. It then reports itself as not ready,
// finishes the open requests and returns nil.
func (e *Entry) Serve(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	e.startup.begin()
	e.fleet.linkSeeds()
	supervised := e.supervisor.ServeBackground(inner)
	served := make(chan error, 1)
	go func() { served <- e.http.Serve(e.listener) }()
	e.log.Info("entry started", zap.Stringer("listen", e.listener.Addr()), zap.Uint64("incarnation", e.incarnation), zap.Int("descriptors", e.descriptors.Limit), zap.Int("maxConnections", e.descriptors.Open), zap.Int("intakeBytes", e.intake.State().Capacity))

	var err error
	select {
	case <-ctx.Done():
		err = e.drain()
	case err = <-served:
	}
	stop()
	<-supervised
	e.fleet.close()
	e.log.Info("entry stopped", zap.Error(err))
	return errors.Join(err, e.callers.Close())
}

// drain waits for the open requests to finish, and answers those that are left
// shortly before the grace ends. The platform's load balancer is given drainDelay
// to see that the entry is not ready; requests that it still sends in that time
// are served.
func (e *Entry) drain() error {
	plan := e.beginStop()
	e.startup.end()
	e.fleet.dialer.PushHeartbeat()
	e.log.Info("entry draining", beechlog.Step("drain"))
	e.clock.Sleep(plan.CloseListener.Sub(e.clock.Now()))
	defer e.clock.AfterFunc(plan.Answer.Sub(e.clock.Now()), e.end).Stop()
	ctx, cancel := clockwork.WithDeadline(context.Background(), e.clock, plan.End)
	defer cancel()
	err := e.connections.Drain(ctx)
	_ = e.http.Close()
	if err == nil && e.ending.Err() != nil {
		err = errCut
	}
	beechtask.Wait(ctx, &e.background)
	if err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	return nil
}

func (e *Entry) ready() bool {
	return !e.draining.Load() && e.restored.Load() && e.configured.Load() && e.fleet.countUp() > 0
}

// tickHealth runs the health tracker's periodic evaluation until ctx ends, so
// that servers without traffic are evaluated too.
func (e *Entry) tickHealth(ctx context.Context) error {
	return beechtask.Every(ctx, e.clock, healthInterval, e.health.Tick)
}

func (e *Entry) hello() beechwire.Hello {
	return beechwire.Hello{
		Version:     beechwire.Version,
		Role:        beechwire.RoleEntry,
		Zone:        e.settings.Zone,
		Address:     e.settings.Listen.String(),
		Incarnation: e.incarnation,
		Generation:  e.holder.Generation(),
		Key:         e.settings.Secret,
	}
}

// warnWithoutTLS logs a warning for traffic beyond loopback that is not
// encrypted.
func (e *Entry) warnWithoutTLS(d Dependencies) {
	if d.TLS == nil && !e.settings.Listen.Addr().IsLoopback() {
		e.log.Warn("listening beyond loopback without TLS", zap.Stringer("listen", e.settings.Listen))
	}
	if d.LinkTLS == nil && !e.settings.Listen.Addr().IsLoopback() {
		e.log.Warn("links to agents beyond loopback without TLS")
	}
}

// logUnreadClosing returns a function that logs a connection that is closed although its caller is
// there and has sent bytes that were not read.
func logUnreadClosing(log *zap.Logger) func(beechkeepalive.Closing) {
	log = beechlog.Sampled(log, maxClosingLogLines, new(expvar.Int)) // all closings are counted
	return func(c beechkeepalive.Closing) {
		log.Warn("connection closed with bytes unread", zap.String("cause", string(c.Cause)), zap.Int("unread", c.Unread), zap.Duration("idle", c.Idle), zap.Duration("heard", c.Heard))
	}
}

func newRequestID() string {
	raw := make([]byte, requestIDBytes)
	_, _ = rand.Read(raw)
	return "req-" + hex.EncodeToString(raw)
}
