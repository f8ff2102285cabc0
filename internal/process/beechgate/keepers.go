package beechgate

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechbeat"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechshare"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechplace"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

// followNow has the keepers told at once.
func (g *Gate) followNow() {
	beechtask.Wake(g.news)
}

// followKeepers asks the keepers for their engines' state, and tells them what
// these are to have.
func (g *Gate) followKeepers(ctx context.Context) error {
	g.followOnce(beechbeat.Far)
	next := g.clock.After(followInterval)
	for round := 1; ; round++ {
		farthest := beechbeat.Far
		select {
		case <-g.turnNews:
			g.grantTurns()
			continue
		case <-next:
			farthest = beechbeat.Way(round%farRounds == 0)
		case <-g.news:
		case <-ctx.Done():
			return ctx.Err()
		}
		g.followOnce(farthest)
		next = g.clock.After(followInterval)
	}
}

// followOnce has a word with the keepers of this zone, or of all zones.
func (g *Gate) followOnce(farthest beechbeat.Way) {
	targets := g.targets()
	suspects := beechshare.WireSuspects(beechshare.Worst(g.suspects.RecentChanges()))
	for _, s := range g.keptServers() {
		if farthest == beechbeat.Far || g.way(s) == beechbeat.Near || g.placer.KeeperSilent(s.ID) {
			g.follow(s, targets[s.ID], suspects)
		}
	}
}

// way tells whether words to a server's keeper cross the border of this zone.
func (g *Gate) way(s beechcall.Server) beechbeat.Way { return s.Zone != g.settings.Zone }

// keptServers gives the servers that have a keeper; none where this gate is
// about to end. Plain services' have none, nor has what somebody wrote among the
// servers for a service that operators do not name.
func (g *Gate) keptServers() []beechcall.Server {
	c := g.configuration.Load()
	if g.Leaving() || c == nil {
		return nil
	}
	g.mu.Lock()
	servers := g.servers
	g.mu.Unlock()
	var kept []beechcall.Server
	for _, s := range servers {
		if _, named := c.Services[s.Service]; named && len(s.Weights) > 0 {
			kept = append(kept, s)
		}
	}
	return kept
}

// follow has a word with a server's keeper. Suspects reach the keepers of other
// zones by those of this one, and what a keeper logs of a gate is of its own zone;
// so words that cross a border, where bytes are paid for, do without both.
func (g *Gate) follow(s beechcall.Server, targets []beechwire.Target, suspects []beechwire.Suspect) {
	to := netip.AddrPortFrom(s.Address.Addr(), g.settings.Beats.Port())
	follow := &beechwire.Follow{Zone: g.settings.Zone, Targets: targets, Ask: g.placer.KeeperSilent(s.ID), Rate: g.placer.PrefillRate()}
	if g.way(s) == beechbeat.Near {
		follow.Gate, follow.Suspects = g.settings.Name, suspects
	}
	if err := g.socket.Send(to, g.way(s), beechbeat.Follow{Follow: follow}); err != nil {
		g.log.Debug("keeper not told", zap.String("server", s.ID), zap.Error(err))
	}
}

// announce tells a keeper of a prompt that is on its way to its engine.
func (g *Gate) announce(s beechcall.Server, tokens int, parts []uint64, kept bool) {
	to := netip.AddrPortFrom(s.Address.Addr(), g.settings.Beats.Port())
	if err := g.socket.Send(to, g.way(s), beechbeat.Announce{Announce: &beechwire.Announce{Read: tokens, Parts: parts, Kept: kept}}); err != nil {
		g.log.Debug("keeper not told", zap.String("server", s.ID), zap.Error(err))
	}
}

// hear takes in a keeper's word, or another gate's.
func (g *Gate) hear(from netip.AddrPort, m beechbeat.Message) {
	switch v := m.(type) {
	case beechbeat.Tell:
		g.hearTell(from.Addr(), v.Tell)
	case beechbeat.Pass:
		g.passOn(from.Addr(), v)
	case beechbeat.Passed:
		g.hearPassed(from, v)
	case beechbeat.Peers:
		g.hearPeers(v)
	case beechbeat.Roster:
		g.hearRoster(v)
	case beechbeat.Spent:
		g.hearSpent(from, v)
	case beechbeat.Paces:
		g.hearPaces(from, v)
	case beechbeat.Limits:
		g.hearLimits(from, v)
	case beechbeat.Full:
		g.hearFull(from, v)
	case beechbeat.Inquiry:
		g.toPeers([]netip.AddrPort{from}, g.vouch(v.Number))
	case beechbeat.Vouch:
		g.hearVouch(v)
	case beechbeat.Entries:
		g.hearEntries(from, v)
	}
}

// passOn takes in a keeper's word and hands it to the other gates of this zone.
func (g *Gate) passOn(host netip.Addr, p beechbeat.Pass) {
	passed := beechbeat.Passed{Passed: &beechwire.Passed{Host: host.String(), Tell: p.Tell}}
	g.toZone(passed)
	g.hearTell(host, &p.Tell)
}

func (g *Gate) hearPassed(from netip.AddrPort, p beechbeat.Passed) {
	host, err := netip.ParseAddr(p.Host)
	if err != nil || !g.circle.Knows(from) {
		return
	}
	g.hearTell(host, &p.Tell)
}

// hearTell takes in a keeper's word on the engine of its host.
func (g *Gate) hearTell(host netip.Addr, tell *beechwire.Tell) {
	weights := make(map[string]uint64, len(tell.Have))
	for _, w := range tell.Have {
		weights[w.Model] = w.Version
	}
	engine := g.placer.UpdateState(beechplace.State{
		Number: tell.Number, Address: netip.AddrPortFrom(host, tell.Port), Phase: beechrollout.Phase(tell.Phase), Weights: weights, Tries: tell.Tries, Born: tell.Born, Old: time.Duration(tell.Old) * time.Millisecond,
		Reading: tell.Read, Running: tell.Run, Waiting: tell.Wait, CacheUsed: tell.Used, CacheTotal: tell.Room, Parts: tell.Parts, Gone: tell.Gone, Kept: tell.Kept,
	})
	g.sawPhase(engine, beechrollout.Phase(tell.Phase), weights, time.Duration(tell.Took)*time.Millisecond)
	g.suspects.Merge(beechshare.SuspectRecords(tell.Suspects))
	g.setGates(tell.Gates)
}

// setGates follows the number of gates that keepers see. It grows at once and
// shrinks slowly: keepers that see fewer may be cut off from some.
func (g *Gate) setGates(n int) {
	g.mu.Lock()
	old := g.gates
	g.gates = g.seen.told(n, g.clock.Now())
	now := g.gates
	g.mu.Unlock()
	if now == old {
		return
	}
	g.budgets.SetGates(now)
	g.placer.SetGates(now)
	g.quotas.SetGates(now)
	g.limits.SetGates(now)
	if c := g.configuration.Load(); c != nil {
		g.bound(c)
	}
}
