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
	"github.com/beechring/beechring/internal/request/beechfresh"
	"github.com/beechring/beechring/platform"
)

type (
	// Launcher starts the processes of a world: Inside within this process, or
	// what a test brings, as processes of their own.
	Launcher interface {
		Gate(s *beechsettings.Gate) (Process, error)
		Keeper(s *beechsettings.Keeper) (Process, error)
	}

	// Process is a gate or a keeper that runs.
	Process interface {
		// Signal asks it to stop.
		Signal()
		// Wait waits until it has stopped, and gives an error if it does not, or
		// did not end as it should.
		Wait() error
	}

	// Inside starts gates and keepers within this process.
	InProcess struct {
		Age beechfresh.Clock // by which gates tell how old their beliefs are
		Log *zap.Logger
	}

	inside struct {
		name   string
		cancel context.CancelFunc
		done   chan error
	}
)

// stopMost is how long a process may take to stop: its grace time and more.
const stopMost = 12 * time.Second

// Gate implements Launcher.
func (i InProcess) Gate(s *beechsettings.Gate) (Process, error) {
	clock := clockwork.NewRealClock()
	pool := beechpool.New(beechpool.DefaultSettings, clock)
	store := platform.NewStore(s.Store)
	g, err := beechgate.New(s, beechgate.Dependencies{
		Clock: clock, Age: i.Age, Log: i.Log.With(zap.String("process", s.Name)), Source: store, StoreUse: store.CallStats(),
		Backend: platform.NewEngines(pool, clock), Pool: pool, OperatorPrefix: platform.OperatorPrefix, ServerPrefix: platform.ServerPrefix,
		Operators: platform.DecodeConfiguration, Servers: platform.DecodeServers,
	})
	if err != nil {
		return nil, err
	}
	door := platform.NewHandler(g, clock)
	return i.launch(s.Name, func(ctx context.Context) error { return g.Run(ctx, door, http.HandlerFunc(door.ServeReady)) }), nil
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

func (i InProcess) launch(name string, run func(context.Context) error) *inside {
	ctx, cancel := context.WithCancel(context.Background())
	p := &inside{name: name, cancel: cancel, done: make(chan error, 1)}
	go func() {
		err := run(ctx)
		if err != nil {
			i.Log.Error("process ended", zap.String("process", name), zap.Error(err))
		}
		p.done <- err
	}()
	return p
}

// Signal implements Process.
func (p *inside) Signal() { p.cancel() }

// Wait implements Process.
func (p *inside) Wait() error {
	select {
	case err := <-p.done:
		p.done <- err
		return err
	case <-time.After(stopMost):
		return fmt.Errorf("stop %s: not within %s", p.name, stopMost)
	}
}
