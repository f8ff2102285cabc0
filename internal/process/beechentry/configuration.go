package beechentry

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechlimit"
	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechburn"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/state/beechmanifest"
)

type (
	marshaler   = msgp.Marshaler
	unmarshaler = msgp.Unmarshaler
)

const (
	// watchersPerZone is how many entries of a zone watch the platform's service;
	// the others hear of new generations from agents. A single watcher could be
	// slow or cut off unnoticed; if all entries watched, each would cost a call.
	watchersPerZone = 2
	// headCheckInterval is the time between checks of all entries whether they have the newest generation. With the time that
	// agents are left to bring it, and its reads, a change is in force within 5 s whoever the service is silent to.
	headCheckInterval = 3 * time.Second
)

// servedShare is the share of requests that must get their complete answer.
const servedShare = 0.999

// watchConfiguration watches the published configuration until ctx ends.
func (e *Entry) watchConfiguration(ctx context.Context) error {
	watcher := beechmanifest.NewWatcher(e.store, e.holder, e.clock, beechmanifest.WatcherSettings{
		Watching: e.isWatcher,
		Check:    headCheckInterval,
		Report: func(err error) {
			e.log.Warn("configuration not followed", beechlog.Step("watch configuration"), zap.Error(err))
		},
	})
	return watcher.Serve(ctx)
}

// isWatcher reports whether this entry is one of its zone's watchers. Without a
// configuration it always is.
func (e *Entry) isWatcher() bool {
	if e.holder.Current() == nil {
		return true
	}
	self := e.settings.Listen
	live := []netip.AddrPort{self}
	for _, m := range e.fleet.members.Members() {
		if m.Host.Role == beechwire.RoleEntry && m.Host.Zone == e.settings.Zone && !m.Leaving && m.Host.Address != self {
			live = append(live, m.Host.Address)
		}
	}
	return beechmanifest.IsWatcher(self, live, watchersPerZone)
}

// applyConfigurations applies each new configuration to the limits, the router
// and the objectives until ctx ends.
func (e *Entry) applyConfigurations(ctx context.Context) error {
	for {
		changed := e.holder.Changed()
		if configuration := e.holder.Current(); configuration != nil {
			e.applyConfiguration(configuration)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (e *Entry) applyConfiguration(c *beechmanifest.Configuration) {
	limits := make(map[string]beechlimit.Limit, len(c.Manifest.Workspaces))
	for _, w := range c.Manifest.Workspaces {
		limits[w.Name] = beechlimit.Limit{Requests: w.RequestsPerMin, Tokens: w.TokensPerMin, Concurrent: w.MaxConcurrent}
	}
	e.fleet.dialer.PushHeartbeat()
	e.limiter.SetLimits(limits)
	e.fleet.router.SetWasteWeight(c.Manifest.Targets.WasteWeight)
	e.burn.SetObjectives(beechburn.Objectives{
		ServedShare:     servedShare,
		FirstToken:      time.Duration(c.Manifest.Targets.FirstToken),
		FirstTokenShare: c.Manifest.Targets.Share,
	})
	e.configured.Store(true)
	e.startup.notify()
	e.log.Info("configuration in force", beechlog.Generation(c.Generation))
}

// pullIfNewer fetches the configuration from an agent whose generation is newer
// than this entry's. It must not block: it is called from link events.
func (e *Entry) pullIfNewer(agent netip.AddrPort, generation uint64) {
	if generation <= e.holder.Generation() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		e.pull(ctx, agent)
	}()
}

// pull fetches a newer configuration from an agent and applies it.
func (e *Entry) pull(ctx context.Context, agent netip.AddrPort) {
	var got beechwire.Configuration
	ask := &beechwire.ConfigurationAsk{Have: e.holder.Generation()}
	if err := e.fleet.call(ctx, agent, beechwire.MethodConfiguration, ask, &got); err != nil {
		e.log.Warn("configuration not pulled", beechlog.Step("pull configuration"), beechlog.Peer(agent), zap.Error(err))
		return
	}
	if len(got.Manifest) == 0 {
		return
	}
	if _, err := e.holder.Offer(got.Generation, got.Manifest); err != nil {
		e.log.Error("configuration refused", beechlog.Step("offer configuration"), beechlog.Peer(agent), zap.Error(err))
	}
}

// Answer implements beechlink.CallHandler: it answers the calls of agents.
func (e *Entry) Answer(_ context.Context, p beechlink.Peer, method string, payload []byte) ([]byte, error) {
	if method != beechwire.MethodConfiguration {
		return nil, fmt.Errorf("no such method: %s", method)
	}
	var ask beechwire.ConfigurationAsk
	if _, err := ask.UnmarshalMsg(payload); err != nil {
		return nil, fmt.Errorf("read question of %s: %w", p.Address, err)
	}
	generation, data := e.holder.Encoded()
	reply := beechwire.Configuration{Generation: generation}
	if generation > ask.Have {
		reply.Manifest = data
	}
	return reply.MarshalMsg(nil)
}
