package beechagent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechqueue"
	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/state/beechmanifest"
)

const (
	// unlinkedRecheckInterval is how often an agent without a linked entry host
	// asks the platform's service for the configuration. An agent with a linked
	// entry host never does: 12,000 agents watching the service would use up its
	// whole rate limit.
	unlinkedRecheckInterval = 2 * time.Second
)

func (a *Agent) pool() *beechmanifest.Pool {
	configuration := a.holder.Current()
	if configuration == nil {
		return nil
	}
	pool, _ := configuration.Pool(a.settings.Pool)
	return pool
}

// pullIfNewer fetches the configuration from an entry host that has a newer one.
// It must not block, since it is called from link event handlers.
func (a *Agent) pullIfNewer(p beechlink.Peer, generation uint64) {
	if p.Role != beechwire.RoleEntry || generation <= a.holder.Generation() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(a.generationContext, pullTimeout)
		defer cancel()
		a.pullFrom(ctx, p)
	}()
}

func (a *Agent) pullFrom(ctx context.Context, p beechlink.Peer) {
	ask := beechwire.ConfigurationAsk{Have: a.holder.Generation()}
	payload, err := ask.MarshalMsg(nil)
	if err != nil {
		return
	}
	data, err := a.server.Call(ctx, p.Address, beechwire.MethodConfiguration, payload)
	if err != nil {
		a.log.Warn("configuration not pulled", beechlog.Step("pull configuration"), beechlog.Peer(p.Address), zap.Error(err))
		return
	}
	var got beechwire.Configuration
	if _, err := got.UnmarshalMsg(data); err != nil {
		a.log.Warn("configuration not decoded", beechlog.Step("pull configuration"), beechlog.Peer(p.Address), zap.Error(err))
		return
	}
	a.offer(got.Generation, got.Manifest, p)
}

// offer applies a configuration if it is newer than the current one. An invalid
// configuration is refused, and the current one stays in force.
func (a *Agent) offer(generation uint64, data []byte, p beechlink.Peer) {
	if len(data) == 0 {
		return
	}
	taken, err := a.holder.Offer(generation, data)
	if err != nil {
		a.log.Error("configuration refused", beechlog.Step("offer configuration"), beechlog.Peer(p.Address), zap.Error(err))
		return
	}
	if taken {
		a.server.PushHeartbeat()
		a.log.Info("configuration in force", beechlog.Generation(generation), beechlog.Peer(p.Address))
	}
}

// watchConfiguration follows the configuration in the platform's service until
// ctx ends, but only while no entry host is linked.
func (a *Agent) watchConfiguration(ctx context.Context) error {
	watcher := beechmanifest.NewWatcher(a.store, a.holder, a.clock, beechmanifest.WatcherSettings{
		Watching: func() bool { return a.entryCount() == 0 },
		Recheck:  unlinkedRecheckInterval,
		Report: func(err error) {
			a.log.Warn("configuration not followed", beechlog.Step("watch configuration"), zap.Error(err))
		},
	})
	return watcher.Serve(ctx)
}

// applyConfigurations updates the queue and the number of slots for each new
// configuration, until ctx ends.
func (a *Agent) applyConfigurations(ctx context.Context) error {
	for {
		changed := a.holder.Changed()
		if configuration := a.holder.Current(); configuration != nil {
			a.scheduler.queue.Configure(a.queueSettings(configuration))
			if pool, known := configuration.Pool(a.settings.Pool); known {
				a.backend.setSlots(pool.Slots)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// queueSettings returns the limits of the queue and, if c is not nil, the weights
// of the workspaces.
func (a *Agent) queueSettings(c *beechmanifest.Configuration) beechqueue.Settings {
	s := beechqueue.Settings{
		MaxWaiting:      a.settings.Limits.Waiting,
		MaxWait:         maxQueueWait,
		MaxLongPrefills: maxLongPrefills,
		LongPrefill:     longPrefillTokens,
		MaxPrefixWait:   maxPrefixWait,
		PrefillAhead:    time.Duration(a.settings.Limits.PrefillAhead),
	}
	if c == nil {
		return s
	}
	s.Weights = make(map[string]int, len(c.Manifest.Workspaces))
	for _, w := range c.Manifest.Workspaces {
		s.Weights[w.Name] = w.Weight
	}
	return s
}
