package beechplay

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechpool"
	"github.com/beechring/beechring/internal/process/beechgate"
	"github.com/beechring/beechring/internal/process/beechkeeper"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechfresh"
	"github.com/beechring/beechring/platform"
)

type (
	// Launcher starts the gates and keepers of a cluster. InProcess runs them in
	// the current process; tests may supply one that starts separate processes.
	Launcher interface {
		Gate(s *beechsettings.Gate) (Process, error)
		Keeper(s *beechsettings.Keeper) (Process, error)
	}

	// Process is a running gate or keeper.
	Process interface {
		// Signal requests a stop and does not wait for it.
		Signal()
		// Wait waits for the process to stop. It returns an error if the process
		// does not stop in time or stopped with a failure.
		Wait() error
	}

	// InProcess starts gates and keepers in the current process.
	InProcess struct {
		Age beechfresh.Clock // clock by which gates measure the age of their data
		Log *zap.Logger
		// WrapBackend may replace the backend of gates; nil keeps it.
		WrapBackend func(beechcall.Backend) beechcall.Backend
	}

	// Applier is a process that applies changed settings while it runs.
	Applier interface {
		Apply(s *beechsettings.Gate)
	}

	inProcess struct {
		name   string
		gate   *beechgate.Gate // nil for a keeper
		cancel context.CancelFunc
		done   chan error
	}
)

// stopTimeout is the time a process may take to stop. It must exceed the grace
// period.
const stopTimeout = 12 * time.Second

// Gate implements Launcher.
func (i InProcess) Gate(s *beechsettings.Gate) (Process, error) {
	clock := clockwork.NewRealClock()
	pool := beechpool.New(beechpool.DefaultSettings, clock)
	store := platform.NewStore(s.Store)
	backend := beechcall.Backend(platform.NewEngines(pool, clock))
	if i.WrapBackend != nil {
		backend = i.WrapBackend(backend)
	}
	g, err := beechgate.New(s, beechgate.Dependencies{
		Clock: clock, Age: i.Age, Log: i.Log.With(zap.String("process", s.Name)), Source: store, StoreUse: store.CallStats(),
		Backend: backend, Pool: pool, OperatorPrefix: platform.OperatorPrefix, ServerPrefix: platform.ServerPrefix,
		Operators: platform.DecodeConfiguration, Servers: platform.DecodeServers, Revision: store.Revision,
	})
	if err != nil {
		return nil, err
	}
	door := platform.NewHandler(g, clock)
	p := i.launch(s.Name, func(ctx context.Context) error { return g.Run(ctx, door, http.HandlerFunc(door.ServeReady)) })
	p.gate = g
	return p, nil
}

// Keeper implements Launcher.
func (i InProcess) Keeper(s *beechsettings.Keeper) (Process, error) {
	clock := clockwork.NewRealClock()
	engines := platform.NewEngines(beechpool.New(beechpool.DefaultSettings, clock), clock)
	k, err := beechkeeper.New(s, beechkeeper.Dependencies{
		Clock: clock, Log: i.Log.With(zap.String("process", s.Name)), Engine: platform.KeeperEngine{Engines: engines, Address: s.Engine},
	})
	if err != nil {
		return nil, err
	}
	return i.launch(s.Name, k.Run), nil
}

func (i InProcess) launch(name string, run func(context.Context) error) *inProcess {
	ctx, cancel := context.WithCancel(context.Background())
	p := &inProcess{name: name, cancel: cancel, done: make(chan error, 1)}
	go func() {
		err := run(ctx)
		if err != nil {
			i.Log.Error("process ended", zap.String("process", name), zap.Error(err))
		}
		p.done <- err
	}()
	return p
}

// Apply implements Applier for gates.
func (p *inProcess) Apply(s *beechsettings.Gate) { p.gate.Apply(s) }

// Signal implements Process.
func (p *inProcess) Signal() { p.cancel() }

// Wait implements Process.
func (p *inProcess) Wait() error {
	select {
	case err := <-p.done:
		p.done <- err
		return err
	case <-time.After(stopTimeout):
		return fmt.Errorf("stop %s: not within %s", p.name, stopTimeout)
	}
}
