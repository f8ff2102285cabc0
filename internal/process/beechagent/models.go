package beechagent

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechload"
	"github.com/beechring/beechring/internal/process/beechbackend"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/state/beechfence"
	"github.com/beechring/beechring/internal/state/beechmanifest"
)

const (
	loadInterval = 200 * time.Millisecond
	loadTimeout  = 2 * time.Minute
	slotMargin   = 2 * time.Second

	// slotPause and up to as much again lies between two requests for a load
	// slot. Each costs the platform's service a lease and a write for each slot:
	// asked for at every step, 17 engines that wait for three others would take
	// 340 writes a second, and claims would be refused.
	slotPause = 500 * time.Millisecond
)

// keepModels brings the engine to what the configuration asks for, until ctx
// ends: new versions are loaded beside old ones, and old ones are dropped once
// nothing uses them, so that the model keeps serving.
func (a *Agent) keepModels(ctx context.Context) error {
	// The lease is on the backend server, not on this agent: two agents beside
	// one server, an old one that was paused and its successor, must not each
	// hold a lease of their own.
	guard := beechfence.New(a.store, a.clock, a.settings.Backend, beechfence.Settings{})
	defer a.closeGuard(guard)
	slots := beechfence.NewSlots(a.store, a.clock, beechfence.Settings{})
	var next time.Time
	return beechtask.Every(ctx, a.clock, loadInterval, func() {
		if a.clock.Now().Before(next) {
			return
		}
		err := a.stepModels(ctx, guard, slots)
		next = a.clock.Now().Add(pauseAfter(err))
	})
}

// closeGuard gives the right to order back, so that the next agent of this
// server need not wait for the lease to end.
func (a *Agent) closeGuard(guard *beechfence.Guard) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := guard.Close(ctx); err != nil {
		a.log.Warn("lease not given back", beechlog.Step("close guard"), zap.Error(err))
	}
}

// pauseAfter is how long nothing is asked for after a step.
func pauseAfter(err error) time.Duration {
	var busy beechfence.Busy
	if !errors.As(err, &busy) {
		return 0
	}
	return slotPause + rand.N(slotPause)
}

func (a *Agent) stepModels(ctx context.Context, guard *beechfence.Guard, slots *beechfence.Slots) error {
	configuration := a.holder.Current()
	pool := a.pool()
	report, alive := a.view.last()
	if pool == nil || pool.Kind != engineKind || !alive || a.leaving.Load() {
		return nil
	}
	plan := beechload.Plan(
		[]beechload.Pool{{Name: pool.Name, Models: wantedModels(configuration, pool)}},
		[]beechload.Member{{Server: a.settings.Listen, Pool: pool.Name, Loaded: report.Models, Loading: first(report.Loading)}},
		max(1, configuration.Manifest.Targets.MaxLoads))
	step, found := beechload.NextStep(plan, a.settings.Listen)
	if !found {
		a.view.retire(nil)
		return nil
	}
	switch step := step.(type) {
	case beechload.Load:
		err := a.load(ctx, guard, slots, step.Model, configuration.Manifest.Targets.MaxLoads)
		a.logOrder("load", step.Model, err)
		return err
	case beechload.Unload:
		a.unload(ctx, guard, step.Model)
	}
	return nil
}

func wantedModels(configuration *beechmanifest.Configuration, pool *beechmanifest.Pool) []string {
	var wanted []string
	for _, name := range pool.Models {
		if model, ok := configuration.Model(name); ok {
			wanted = append(wanted, modelKey(model.Name, model.Weights))
		}
	}
	return wanted
}

func first(names []string) string {
	if len(names) == 0 {
		return ""
	}
	return names[0]
}

// load takes one of the deployment's load slots, orders the load and waits for
// it, so that no more engines load at once than the weight store bears.
func (a *Agent) load(ctx context.Context, guard *beechfence.Guard, slots *beechfence.Slots, model string, maxLoads int) error {
	loading, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	slot, err := slots.Acquire(loading, max(1, maxLoads))
	if err != nil {
		return err
	}
	defer slot.Release(context.WithoutCancel(loading))
	err = guard.Order(loading, func(ctx context.Context, fence uint64) error {
		return a.engine.Order(ctx, beechbackend.Order{Fence: fence, Load: model})
	})
	if err != nil {
		return err
	}
	return a.awaitModel(loading, slot, model)
}

// unload stops new work for the model, waits until none runs, and drops it. A
// request in the middle of its answer would be cut by an unload.
func (a *Agent) unload(ctx context.Context, guard *beechfence.Guard, model string) {
	a.view.retire([]string{model})
	if a.running.uses(model) || a.library.waits(model) {
		return
	}
	err := guard.Order(ctx, func(ctx context.Context, fence uint64) error {
		return a.engine.Order(ctx, beechbackend.Order{Fence: fence, Unload: model})
	})
	a.logOrder("unload", model, err)
	a.readReport(ctx)
}

func (a *Agent) logOrder(kind, model string, err error) {
	if err != nil {
		a.log.Warn("order not given", beechlog.Step(kind), beechlog.Peer(a.settings.Backend), zap.String("model", model), zap.Error(err))
		return
	}
	a.log.Info("order given", beechlog.Step(kind), beechlog.Peer(a.settings.Backend), zap.String("model", model))
}

// awaitModel returns once the engine reports the model loaded, keeping the load
// slot meanwhile.
func (a *Agent) awaitModel(ctx context.Context, slot *beechfence.Slot, model string) error {
	ticker := a.clock.NewTicker(cacheInterval)
	defer ticker.Stop()
	for {
		report, err := a.engine.Report(ctx)
		if err != nil {
			return err
		}
		if slices.Contains(report.Models, model) {
			a.readReport(ctx)
			return nil
		}
		if slot.Left() < slotMargin {
			if err := slot.Renew(ctx); err != nil {
				return err
			}
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
