package beechentry

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
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
	"github.com/beechring/beechring/internal/decision/beechlimit"
	"github.com/beechring/beechring/internal/decision/beechretry"
	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechburn"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechmemory"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/prompt/beechprefix"
	"github.com/beechring/beechring/internal/state/beechmanifest"
	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// Dependencies are what an entry needs from outside.
	Dependencies struct {
		Clock   clockwork.Clock
		Log     *zap.Logger
		Store   beechstore.Store
		LinkTLS *tls.Config // nil without TLS on links
		TLS     *tls.Config // nil without TLS towards callers
	}

	// Entry is the process on an entry host. Make one with New.
	Entry struct {
		settings    *beechsettings.Entry
		clock       clockwork.Clock
		log         *zap.Logger
		store       beechstore.Store
		incarnation uint64

		holder    *beechmanifest.Holder
		fleet     *fleet
		limiter   *beechlimit.Limiter
		budget    *beechretry.Budget
		health    *beechhealth.Tracker
		suspects  *beechsuspect.Registry
		burn      *beechburn.Burn
		signer    *streamSigner
		estimator beechprefix.Estimator
		numbers   counters

		http       *http.Server
		listener   net.Listener
		supervisor *suture.Supervisor
		leaving    atomic.Bool
		restored   atomic.Bool // what other entries left with agents was asked for
		streams    atomic.Int64
		background sync.WaitGroup // outcomes that are followed for callers that left
	}
)

const (
	drainLimit     = 10 * time.Minute
	balancerNotice = 500 * time.Millisecond
	idleTimeout    = 2 * time.Minute
	requestIDBytes = 12
	retryPercent   = 20
	spareRetries   = 20
	maxAttempts    = 4
	firstBackoff   = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	limitBurst     = 10 * time.Second
	limitSettle    = 10 * time.Second
	maxEjected     = 30 // percent
	healthInterval = time.Second
)

// New makes an entry and opens its listeners, so that an address that is taken
// is an error here. Its goroutines run from Serve on.
func New(settings *beechsettings.Entry, d Dependencies) (*Entry, error) {
	listener, err := net.Listen("tcp", settings.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("listen for callers on %s: %w", settings.Listen, err)
	}
	if d.TLS != nil {
		listener = tls.NewListener(listener, d.TLS)
	}
	e := &Entry{
		settings:    settings,
		clock:       d.Clock,
		log:         d.Log.Named("entry"),
		store:       d.Store,
		incarnation: uint64(d.Clock.Now().UnixNano()),
		holder:      beechmanifest.NewHolder(),
		limiter:     beechlimit.New(beechlimit.Settings{Burst: limitBurst, GrowthDelay: limitSettle}, d.Clock),
		budget: beechretry.New(beechretry.Settings{
			RetryPercent: retryPercent, Reserve: spareRetries, MaxAttempts: maxAttempts, BaseBackoff: firstBackoff, MaxBackoff: maxBackoff,
		}, d.Clock, randv2.NewPCG(randv2.Uint64(), randv2.Uint64())),
		health:   beechhealth.New(beechhealth.Settings{MaxEjectedPercent: maxEjected}, d.Clock),
		suspects: beechsuspect.New(beechsuspect.Settings{}, d.Clock),
		burn:     beechburn.New(beechburn.Settings{}, d.Clock),
		signer:   newStreamSigner(settings.Secret),
		listener: listener,
	}
	e.fleet = newFleet(e, d.LinkTLS)
	e.http = &http.Server{
		Handler:           e.routes(),
		ReadHeaderTimeout: time.Duration(settings.Limits.BodyTime),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    settings.Limits.HeaderBytes,
		ErrorLog:          zap.NewStdLog(e.log),
	}
	if err := e.supervise(); err != nil {
		listener.Close()
		return nil, err
	}
	e.warnOpen(d)
	return e, nil
}

// supervise lists every goroutine that lives as long as the entry.
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
	e.supervisor.Add(beechtask.Task{Name: "cache changes", Run: e.followCaches})
	e.supervisor.Add(beechtask.Task{Name: "share", Run: e.shareState})
	return nil
}

// Serve runs the entry until ctx ends. Then it stops being ready, finishes
// every request and returns nil.
func (e *Entry) Serve(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	e.fleet.linkSeeds()
	supervised := e.supervisor.ServeBackground(inner)
	served := make(chan error, 1)
	go func() { served <- e.http.Serve(e.listener) }()
	e.log.Info("entry serves", zap.Stringer("listen", e.listener.Addr()), zap.Uint64("incarnation", e.incarnation))

	var err error
	select {
	case <-ctx.Done():
		err = e.drain()
	case err = <-served:
	}
	stop()
	<-supervised
	e.fleet.close()
	e.log.Info("entry ended", zap.Error(err))
	return err
}

// drain lets every request end. The platform's balancer sees that the entry is
// not ready and is given a moment to stop sending; what it sends meanwhile is
// still served.
func (e *Entry) drain() error {
	e.leaving.Store(true)
	e.fleet.dialer.PushHeartbeat()
	e.log.Info("entry leaves", beechlog.Step("drain"))
	e.clock.Sleep(balancerNotice)
	ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	if err := e.http.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("drain: %w", err)
	}
	beechtask.Wait(ctx, &e.background)
	return nil
}

func (e *Entry) ready() bool {
	return !e.leaving.Load() && e.restored.Load() && e.holder.Current() != nil && e.fleet.linked() > 0
}

// tickHealth lets the health tracker judge servers that nobody sends to, until
// ctx ends.
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

// warnOpen says what listens beyond loopback without TLS.
func (e *Entry) warnOpen(d Dependencies) {
	if d.TLS == nil && !e.settings.Listen.Addr().IsLoopback() {
		e.log.Warn("callers are served beyond loopback without TLS", zap.Stringer("listen", e.settings.Listen))
	}
	if d.LinkTLS == nil && !e.settings.Listen.Addr().IsLoopback() {
		e.log.Warn("links run beyond loopback without TLS")
	}
}

func newRequestID() string {
	raw := make([]byte, requestIDBytes)
	_, _ = rand.Read(raw)
	return "req-" + hex.EncodeToString(raw)
}
