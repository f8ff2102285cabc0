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
	reconcileInterval = 200 * time.Millisecond
	loadTimeout       = 2 * time.Minute
	slotRenewMargin   = 2 * time.Second

	// slotRetryDelay is the minimum delay before a load slot is requested again; a
	// random delay of up to the same length is added. Each request costs the
	// platform's service a lease and a write per slot. If 17 engines that wait for
	// three others requested slots at every step, they would cause 340 writes a
	// second, and claims would be refused.
	slotRetryDelay = 500 * time.Millisecond
)

// reconcileModels loads and unloads models until the engine has those that the
// configuration requires, and repeats this until ctx ends. A new version is loaded
// before the old one is unloaded, and the old one is unloaded only when no request
// uses it, so that the model remains available.
func (a *Agent) reconcileModels(ctx context.Context) error {
	// The lease is for the backend server, not for this agent: if two agents run
	// next to one server, such as one that was paused and its successor, only one
	// of them may hold the lease.
	guard := beechfence.New(a.store, a.clock, a.settings.Backend, beechfence.Settings{})
	defer a.releaseGuard(guard)
	slots := beechfence.NewSlots(a.store, a.clock, beechfence.Settings{})
	var next time.Time
	return beechtask.Every(ctx, a.clock, reconcileInterval, func() {
		if a.clock.Now().Before(next) {
			return
		}
		err := a.reconcileStep(ctx, guard, slots)
		next = a.clock.Now().Add(loadRetryDelay(err))
	})
}

// releaseGuard releases the lease for orders to the server, so that its next agent
// need not wait until the lease expires.
func (a *Agent) releaseGuard(guard *beechfence.Guard) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := guard.Close(ctx); err != nil {
		a.log.Warn("lease not released", beechlog.Step("close guard"), zap.Error(err))
	}
}

// loadRetryDelay returns the delay before the next step, after a step that returned
// err.
func loadRetryDelay(err error) time.Duration {
	var busy beechfence.Busy
	if !errors.As(err, &busy) {
		return 0
	}
	return slotRetryDelay + rand.N(slotRetryDelay)
}

func (a *Agent) reconcileStep(ctx context.Context, guard *beechfence.Guard, slots *beechfence.Slots) error {
	configuration := a.holder.Current()
	pool := a.pool()
	report, alive := a.backend.last()
	if pool == nil || pool.Kind != engineKind || !alive || a.leaving.Load() {
		return nil
	}
	plan := beechload.Plan(
		[]beechload.Pool{{Name: pool.Name, Models: desiredModels(configuration, pool)}},
		[]beechload.Member{{Server: a.settings.Listen, Pool: pool.Name, Loaded: report.Models, Loading: firstOrEmpty(report.Loading)}},
		max(1, configuration.Manifest.Targets.MaxLoads))
	step, found := beechload.NextStep(plan, a.settings.Listen)
	if !found {
		a.backend.setRetiring(nil)
		return nil
	}
	switch step := step.(type) {
	case beechload.Load:
		trace := &orderTrace{clock: a.clock}
		err := a.load(ctx, guard, slots, trace, step.Model, configuration.Manifest.Targets.MaxLoads)
		a.logOrder("load", step.Model, guard, trace, err)
		return err
	case beechload.Unload:
		a.unload(ctx, guard, step.Model)
	}
	return nil
}

func desiredModels(configuration *beechmanifest.Configuration, pool *beechmanifest.Pool) []string {
	var wanted []string
	for _, name := range pool.Models {
		if model, ok := configuration.Model(name); ok {
			wanted = append(wanted, modelKey(model.Name, model.Weights))
		}
	}
	return wanted
}

func firstOrEmpty(names []string) string {
	if len(names) == 0 {
		return ""
	}
	return names[0]
}

// load acquires one of the deployment's load slots, orders the load and waits until
// it is done. The slots limit how many engines load at the same time to what the
// weight store can serve.
func (a *Agent) load(ctx context.Context, guard *beechfence.Guard, slots *beechfence.Slots, trace *orderTrace, model string, maxLoads int) error {
	loading, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	slot, err := slots.Acquire(loading, max(1, maxLoads))
	if err != nil {
		return err
	}
	defer slot.Release(context.WithoutCancel(loading))
	err = guard.Order(loading, func(ctx context.Context, fence uint64) error {
		return a.engine.Order(trace.attach(ctx), beechbackend.Order{Fence: fence, Load: model})
	}, slot.Renew) // the store may have ended the lease of the slot
	if err != nil {
		return err
	}
	return a.waitForModel(loading, slot, model)
}

// unload stops offering the model, and orders the unload once no request uses it.
// While requests use it, unload returns, and a later step tries again: an unload
// would interrupt their answers.
func (a *Agent) unload(ctx context.Context, guard *beechfence.Guard, model string) {
	a.backend.setRetiring([]string{model})
	if a.running.uses(model) || a.generations.needsModel(model) {
		return
	}
	trace := &orderTrace{clock: a.clock}
	err := guard.Order(ctx, func(ctx context.Context, fence uint64) error {
		return a.engine.Order(trace.attach(ctx), beechbackend.Order{Fence: fence, Unload: model})
	})
	a.logOrder("unload", model, guard, trace, err)
	a.refreshReport(ctx)
}

// waitForModel waits until the engine reports the model as loaded, and renews the
// lease of the load slot in the meantime.
func (a *Agent) waitForModel(ctx context.Context, slot *beechfence.Slot, model string) error {
	ticker := a.clock.NewTicker(cachePollInterval)
	defer ticker.Stop()
	for {
		report, err := a.engine.Report(ctx)
		if err != nil {
			return err
		}
		if slices.Contains(report.Models, model) {
			a.refreshReport(ctx)
			return nil
		}
		if err := renewSlot(ctx, slot); err != nil {
			return err
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// renewSlot renews the lease of a load slot that is about to end. It returns an error if the
// lease has ended, since another agent may hold the slot then.
func renewSlot(ctx context.Context, slot *beechfence.Slot) error {
	if slot.Remaining() >= slotRenewMargin {
		return nil
	}
	return slot.Renew(ctx)
}
