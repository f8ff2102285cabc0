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
	// aloneRecheck paces an agent that has no entry host to learn from. With
	// one linked it never asks the platform's service: 12,000 agents that all
	// watched it would take its whole rate.
	aloneRecheck = 2 * time.Second
)

func (a *Agent) pool() *beechmanifest.Pool {
	configuration := a.holder.Current()
	if configuration == nil {
		return nil
	}
	pool, _ := configuration.Pool(a.settings.Pool)
	return pool
}

// pullIfNewer fetches a configuration that an entry host has and this agent
// has not. It must not block: it is called from link events.
func (a *Agent) pullIfNewer(p beechlink.Peer, generation uint64) {
	if p.Role != beechwire.RoleEntry || generation <= a.holder.Generation() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(a.life, pullTimeout)
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
		a.log.Warn("configuration not read", beechlog.Step("pull configuration"), beechlog.Peer(p.Address), zap.Error(err))
		return
	}
	a.offer(got.Generation, got.Manifest, p)
}

// offer puts a configuration in force if it is newer. A bad one is refused and
// what is in force goes on.
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

// watchConfiguration asks the platform's service only while no entry host is
// linked, until ctx ends.
func (a *Agent) watchConfiguration(ctx context.Context) error {
	watcher := beechmanifest.NewWatcher(a.store, a.holder, a.clock, beechmanifest.WatcherSettings{
		Watching: func() bool { return a.entryCount() == 0 },
		Recheck:  aloneRecheck,
		Report: func(err error) {
			a.log.Warn("configuration not followed", beechlog.Step("watch configuration"), zap.Error(err))
		},
	})
	return watcher.Serve(ctx)
}

// applyConfigurations puts what a new configuration says into the queue, until
// ctx ends.
func (a *Agent) applyConfigurations(ctx context.Context) error {
	for {
		changed := a.holder.Changed()
		if configuration := a.holder.Current(); configuration != nil {
			a.scheduler.queue.Configure(a.queueSettings(configuration))
			if pool, known := configuration.Pool(a.settings.Pool); known {
				a.view.setSlots(pool.Slots)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// queueSettings are the queue's bounds with the configuration's shares.
func (a *Agent) queueSettings(c *beechmanifest.Configuration) beechqueue.Settings {
	s := beechqueue.Settings{
		MaxWaiting:      a.settings.Limits.Waiting,
		MaxWait:         maxWait,
		MaxLongPrefills: maxLongPrefills,
		LongPrefill:     longPrefill,
		MaxPrefixWait:   prefillWait,
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
