package beechdemo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/beechring/beechring/internal/process/beechagent"
	"github.com/beechring/beechring/internal/process/beechbackend"
	"github.com/beechring/beechring/internal/process/beechentry"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/standin/beechengine"
	"github.com/beechring/beechring/internal/standin/beechplatform"
	"github.com/beechring/beechring/internal/standin/beechservice"
	"github.com/beechring/beechring/internal/state/beechmanifest"
	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// deployment holds all running processes. They belong to group and stop when
	// the context passed to start ends.
	deployment struct {
		settings       Settings
		log            *zap.Logger
		clock          clockwork.Clock
		platform       netip.AddrPort
		hosts          []beechstore.Host
		entries        []*beechentry.Entry
		entryAddresses []netip.AddrPort
		engines        []netip.AddrPort
		group          *errgroup.Group
	}
)

const (
	demoKey           = "demo-key"
	demoSecret        = "demo-secret-of-one-process"
	demoAdminKey      = "demo-admin-key-of-one-process"
	model             = "fit-advisor"
	weights           = "1"
	engineCount       = 4
	readyTimeout      = 10 * time.Second
	readyPollInterval = 10 * time.Millisecond
	closeTimeout      = time.Second
	maxLoads          = 3

	// Settings of the simulated engines.
	enginePrefillRate = 20000 // tokens per second
	engineTokenTime   = 2 * time.Millisecond
	engineCacheTokens = 40000
	engineSlots       = 16
)

var (
	zones       = []string{"zone-a", "zone-b"}
	errNotReady = errors.New("the deployment did not become ready")
)

// start starts a deployment and waits until all entries are ready.
func start(ctx context.Context, s Settings, errs io.Writer) (*deployment, error) {
	log, err := beechlog.New(errs, s.Log)
	if err != nil {
		return nil, err
	}
	group, ctx := errgroup.WithContext(ctx)
	d := &deployment{settings: s, log: log, clock: clockwork.NewRealClock(), group: group}
	if err := d.startAll(ctx); err != nil {
		return nil, err
	}
	return d, d.awaitReady(ctx)
}

func (d *deployment) startAll(ctx context.Context) error {
	platform := beechplatform.New(beechplatform.Settings{}, d.clock)
	address, err := d.serve(ctx, platform.Handler())
	if err != nil {
		return err
	}
	d.platform = address
	if err := d.publish(ctx); err != nil {
		return err
	}
	for i := range engineCount {
		if err := d.startEngine(ctx, i); err != nil {
			return err
		}
	}
	if err := d.startService(ctx); err != nil {
		return err
	}
	for i, zone := range zones {
		if err := d.startEntry(ctx, i, zone); err != nil {
			return err
		}
	}
	platform.Fake().SetHosts(d.hosts)
	return nil
}

// newStore returns a store client. Each process has its own, with its own call
// budget.
func (d *deployment) newStore() beechstore.Store {
	return beechstore.New(beechstore.Settings{Addresses: []netip.AddrPort{d.platform}}, beechstore.NewHTTPClient(), d.clock)
}

// serve runs a simulated server's handler on a free loopback port.
func (d *deployment) serve(ctx context.Context, handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen for stand-in: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readyTimeout}
	d.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	context.AfterFunc(ctx, func() {
		time.Sleep(closeTimeout) // agents must stop first
		_ = server.Close()
	})
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (d *deployment) publish(ctx context.Context) error {
	manifest := manifest()
	switch o := beechmanifest.Publish(ctx, d.newStore(), d.clock, 0, manifest).(type) {
	case beechmanifest.Accepted:
		return nil
	default:
		return fmt.Errorf("publish demo manifest: %T", o)
	}
}

func manifest() *beechmanifest.Manifest {
	sum := sha256.Sum256([]byte(demoKey))
	return &beechmanifest.Manifest{
		Deployment: "demo",
		Targets: beechmanifest.Targets{
			FirstToken: beechmanifest.Duration(800 * time.Millisecond), Share: 0.95, WasteWeight: 2, MaxLoads: maxLoads,
		},
		Models:     []beechmanifest.Model{{Name: model, Weights: weights}},
		Priorities: []string{"interactive", "background"},
		Workspaces: []beechmanifest.Workspace{{
			Name: "granite-loop", Keys: []string{hex.EncodeToString(sum[:])}, Priority: "interactive", Weight: 1,
		}},
		Pools: []beechmanifest.Pool{
			{Name: "advisors", Kind: beechmanifest.KindEngine, Fenced: true, Models: []string{model}, Slots: engineSlots},
			{Name: "shipping", Kind: beechmanifest.KindService, Service: "shipping", Slots: 64},
		},
		Services: []beechmanifest.Service{{
			Name: "shipping", Once: []beechmanifest.OnceRule{{Method: http.MethodPost, Path: "/shipments"}},
		}},
	}
}

func (d *deployment) startEngine(ctx context.Context, number int) error {
	settings := beechengine.Settings{
		Models: []string{model + "@" + weights}, Slots: engineSlots, PrefillRate: enginePrefillRate,
		TokenTime: engineTokenTime, CacheTokens: engineCacheTokens, CheckFence: true,
	}
	if d.settings.instant {
		settings.PrefillRate = 0
		settings.TokenTime = 0
	}
	address, err := d.serve(ctx, beechengine.New(settings, d.clock).Handler())
	if err != nil {
		return err
	}
	d.engines = append(d.engines, address)
	return d.startAgent(ctx, fmt.Sprintf("agent-%d", number+1), zones[number%len(zones)], "advisors", address)
}

func (d *deployment) startService(ctx context.Context) error {
	address, err := d.serve(ctx, beechservice.New(beechservice.Settings{}, d.clock).Handler())
	if err != nil {
		return err
	}
	return d.startAgent(ctx, "agent-shipping", zones[0], "shipping", address)
}

func (d *deployment) startAgent(ctx context.Context, name, zone, pool string, backend netip.AddrPort) error {
	ports, err := freePorts(2)
	if err != nil {
		return err
	}
	client := beechbackend.NewClient(readyTimeout)
	agent, err := beechagent.New(&beechsettings.Agent{
		Common: d.common(name, zone, ports[1]), Listen: ports[0], Pool: pool, Backend: backend,
		Limits: beechsettings.AgentLimits{
			Grace: beechsettings.Duration(10 * time.Second), Keep: beechsettings.Duration(30 * time.Second), AnswerBytes: 1 << 20, Waiting: 256,
		},
	}, beechagent.Dependencies{
		Clock: d.clock, Log: d.log, Store: d.newStore(),
		Engine:  beechbackend.NewOpenAI(backend, client),
		Service: beechbackend.NewService(backend, "/ready", client),
	})
	if err != nil {
		return err
	}
	d.hosts = append(d.hosts, beechstore.Host{Name: name, Address: ports[0], Zone: zone, Role: "agent"})
	d.group.Go(func() error { return agent.Serve(ctx) })
	return nil
}

func (d *deployment) startEntry(ctx context.Context, number int, zone string) error {
	ports, err := freePorts(2)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("entry-%d", number+1)
	entry, err := beechentry.New(&beechsettings.Entry{
		Common: d.common(name, zone, ports[1]), Listen: ports[0],
		Limits: beechsettings.EntryLimits{
			HeaderBytes: 32 << 10, BodyBytes: 8 << 20, BodyTime: beechsettings.Duration(10 * time.Second),
			WriteTime: beechsettings.Duration(10 * time.Second), Streams: 1000, Grace: beechsettings.Duration(10 * time.Minute),
		},
	}, beechentry.Dependencies{Clock: d.clock, Log: d.log, Store: d.newStore()})
	if err != nil {
		return err
	}
	d.hosts = append(d.hosts, beechstore.Host{Name: name, Address: ports[0], Zone: zone, Role: "entry"})
	d.entries = append(d.entries, entry)
	d.entryAddresses = append(d.entryAddresses, ports[0])
	d.group.Go(func() error { return entry.Serve(ctx) })
	return nil
}

func (d *deployment) common(name, zone string, admin netip.AddrPort) beechsettings.Common {
	return beechsettings.Common{
		Name: name, Zone: zone, Admin: admin, AdminKey: demoAdminKey, Platform: []netip.AddrPort{d.platform}, Secret: demoSecret,
	}
}

// freePorts returns loopback addresses with currently unused ports.
func freePorts(count int) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer listener.Close()
		out = append(out, listener.Addr().(*net.TCPAddr).AddrPort())
	}
	return out, nil
}

// awaitReady waits until every entry is connected to all agents.
func (d *deployment) awaitReady(ctx context.Context) error {
	limit := time.Now().Add(readyTimeout)
	for time.Now().Before(limit) {
		if d.ready() {
			return nil
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return errNotReady
}

func (d *deployment) ready() bool {
	for _, e := range d.entries {
		status := e.Status()
		if !status.Ready || status.Serving < engineCount+1 {
			return false
		}
	}
	return true
}
