package beechentry

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/decision/beechroute"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/state/beechmember"
	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// sharedState is the state that was last shared with agents: the members, the
	// agents and the time.
	sharedState struct {
		members []beechwire.Member
		targets []shareTarget
		at      time.Time
	}

	shareTarget struct {
		address     netip.AddrPort
		incarnation uint64
	}
)

const (
	hostsInterval = time.Second
	hostsTimeout  = 2 * time.Second
	shareInterval = 2 * time.Second

	// membersInterval is the interval after which the members are sent again even
	// if nothing changed.
	membersInterval = 30 * time.Second

	shareAgents         = 3
	restoreTries        = 40
	restorePause        = 25 * time.Millisecond
	nonWatcherReadEvery = 15 // entries that are not watchers read the host list only every 15th time
	awaitServersTries   = 12 // pauses of restorePause to wait for agents that have not reported
)

// watchMembers reads the platform's host list until ctx ends. At start-up it
// first restores the state that other entries shared with agents, which works
// even if the platform's service is down. Without seeds only the host list can
// name agents.
func (e *Entry) watchMembers(ctx context.Context) error {
	if len(e.settings.Seeds) == 0 {
		e.readHosts(ctx)
	}
	e.restore(ctx)
	e.awaitServers(ctx)
	e.restored.Store(true)
	round := 0
	return beechtask.Every(ctx, e.clock, hostsInterval, func() {
		if e.isWatcher() || round%nonWatcherReadEvery == 0 {
			e.readHosts(ctx)
		} else {
			e.fleet.rebuild()
		}
		round++
	})
}

func (e *Entry) readHosts(ctx context.Context) {
	reading, cancel := context.WithTimeout(ctx, hostsTimeout)
	defer cancel()
	hosts, err := e.store.Hosts(reading, beechstore.ImportanceOther)
	if err != nil {
		e.log.Warn("could not read the host list", beechlog.Step("read hosts"), zap.Error(err))
		e.fleet.rebuild()
		return
	}
	e.fleet.setHosts(hosts)
}

// restore fetches members, hot prefixes and suspects from the first agent that
// has them. An entry that started without them would send hot prefixes to
// servers that must compute them again. It stops as soon as every known agent
// has answered without shared state.
func (e *Entry) restore(ctx context.Context) {
	for range restoreTries {
		agents := e.fleet.reachable()
		for _, agent := range agents {
			if e.restoreFrom(ctx, agent) {
				return
			}
		}
		if len(agents) > 0 && len(agents) == e.fleet.countLinks() {
			return
		}
		select {
		case <-e.clock.After(restorePause):
		case <-ctx.Done():
			return
		}
	}
}

// awaitServers waits briefly until all known agents offer something. An entry
// that accepted requests after its first link would send all of them to one
// server instead of those that cache the prompts' prefixes, which would delay
// first tokens for a while after each restart.
func (e *Entry) awaitServers(ctx context.Context) {
	for range awaitServersTries {
		if e.fleet.countServing() == e.fleet.countLinks() {
			return
		}
		select {
		case <-e.clock.After(restorePause):
		case <-ctx.Done():
			return
		}
	}
}

// restoreFrom restores the state from one agent. It returns false if the agent
// does not answer or has no members to share.
func (e *Entry) restoreFrom(ctx context.Context, agent netip.AddrPort) bool {
	asking, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var got beechwire.Snapshot
	if err := e.fleet.call(asking, agent, beechwire.MethodSnapshot, &beechwire.ConfigurationAsk{}, &got); err != nil {
		return false
	}
	e.suspects.Merge(beechconvert.SuspectRecords(got.Suspects))
	e.poison.Apply(beechconvert.Poison(&got.Poison), beechpoison.Zone)
	if len(got.Members) == 0 {
		return false
	}
	e.fleet.restoreMembers(got.Members)
	e.fleet.router.RestorePrefixes(hotPrefixes(got.Hot))
	e.log.Info("restored shared state from agent", beechlog.Step("restore"), beechlog.Peer(agent),
		zap.Int("members", len(got.Members)), zap.Int("hot", len(got.Hot)))
	return true
}

// shareState shares this entry's members and hot prefixes with a few agents
// until ctx ends.
func (e *Entry) shareState(ctx context.Context) error {
	last := &sharedState{}
	return beechtask.Every(ctx, e.clock, shareInterval, func() { e.shareOnce(ctx, last) })
}

// shareOnce sends the members only if they changed, if an agent may not have
// them, or if they were last sent membersInterval ago. Sent every time, the
// members of 400 hosts would be most of an idle entry host's traffic. Agents
// keep the members they have if a message contains none.
func (e *Entry) shareOnce(ctx context.Context, last *sharedState) {
	now := sharedState{members: e.wireMembers(), targets: e.shareTargets(), at: e.clock.Now()}
	if len(now.members) == 0 {
		return
	}
	state := &beechwire.Snapshot{Members: now.members, Hot: wireHot(e.fleet.router.HotPrefixes())}
	if last.stillCurrent(now) {
		state.Members = nil
		now.at = last.at
	}
	if len(state.Members) == 0 && len(state.Hot) == 0 {
		return
	}
	*last = now
	for _, target := range now.targets {
		sharing, cancel := context.WithTimeout(ctx, callTimeout)
		if err := e.fleet.call(sharing, target.address, beechwire.MethodShare, state, nil); err != nil {
			e.log.Debug("could not share state with agent", beechlog.Step("share"), beechlog.Peer(target.address), zap.Error(err))
			*last = sharedState{}
		}
		cancel()
	}
}

// stillCurrent reports whether agents still have the members from the last
// time.
func (s *sharedState) stillCurrent(now sharedState) bool {
	return now.at.Sub(s.at) < membersInterval && slices.Equal(s.members, now.members) && slices.Equal(s.targets, now.targets)
}

// shareTargets returns the agents that a restarted entry of this zone will ask:
// the seeds or, without seeds, the same few agents for all entries.
func (e *Entry) shareTargets() []shareTarget {
	addresses := e.settings.Seeds[:min(len(e.settings.Seeds), shareAgents)]
	if len(addresses) == 0 {
		addresses = beechmember.Rank("share", e.fleet.reachable(), shareAgents)
	}
	targets := make([]shareTarget, 0, len(addresses))
	for _, address := range addresses {
		targets = append(targets, shareTarget{address: address, incarnation: e.fleet.incarnation(address)})
	}
	return targets
}

func (e *Entry) wireMembers() []beechwire.Member {
	var out []beechwire.Member
	for _, m := range e.fleet.members.Members() {
		if m.Host.Role == "" {
			continue
		}
		out = append(out, beechwire.Member{
			Address: m.Host.Address.String(), Role: m.Host.Role, Zone: m.Host.Zone, Incarnation: m.Incarnation, Leaving: m.Leaving,
		})
	}
	return out
}

// restoreMembers applies members that another entry shared. That an agent is
// leaving is valid only for the incarnation of that time, which may have been
// replaced since.
func (f *fleet) restoreMembers(members []beechwire.Member) {
	var hosts []beechstore.Host
	for _, m := range members {
		address, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			continue
		}
		seen := m.Incarnation > 0
		if seen {
			f.members.UpdateLeaving(address, m.Incarnation, m.Leaving)
		}
		hosts = append(hosts, beechstore.Host{Address: address, Role: m.Role, Zone: m.Zone, Leaving: m.Leaving && !seen})
	}
	f.setHosts(hosts)
}

func wireHot(hot []beechroute.HotPrefix) []beechwire.HotPrefix {
	out := make([]beechwire.HotPrefix, 0, len(hot))
	for _, h := range hot {
		holders := make([]string, 0, len(h.Holders))
		for _, a := range h.Holders {
			holders = append(holders, a.String())
		}
		out = append(out, beechwire.HotPrefix{Key: h.Key[:], Tokens: h.Tokens, Rate: h.Rate, Holders: holders})
	}
	return out
}

func hotPrefixes(hot []beechwire.HotPrefix) []beechroute.HotPrefix {
	out := make([]beechroute.HotPrefix, 0, len(hot))
	for _, h := range hot {
		prefix := beechroute.HotPrefix{Tokens: h.Tokens, Rate: h.Rate}
		copy(prefix.Key[:], h.Key)
		for _, text := range h.Holders {
			if address, err := netip.ParseAddrPort(text); err == nil {
				prefix.Holders = append(prefix.Holders, address)
			}
		}
		out = append(out, prefix)
	}
	return out
}
