package beechgate

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechplace"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

// requestFollow makes followKeepers contact the keepers at once.
func (g *Gate) requestFollow() {
	beechtask.Wake(g.followDue)
}

// followKeepers periodically sends keepers the target versions of their engines and asks for the
// engines' state.
func (g *Gate) followKeepers(ctx context.Context) error {
	g.followRound(beechdatagram.CrossZone)
	next := g.clock.After(followInterval)
	for round := 1; ; round++ {
		farthest := beechdatagram.CrossZone
		select {
		case <-g.turnEnded:
			g.grantTurns()
			continue
		case <-next:
			farthest = beechdatagram.Scope(round%otherZoneRounds == 0)
		case <-g.followDue:
		case <-ctx.Done():
			return ctx.Err()
		}
		g.followRound(farthest)
		next = g.clock.After(followInterval)
	}
}

// followRound contacts the keepers of this zone, or of all zones.
func (g *Gate) followRound(farthest beechdatagram.Scope) {
	targets := g.targets()
	suspects := beechconvert.WireSuspects(beechconvert.MostCrashes(g.suspects.RecentChanges()))
	for _, s := range g.keeperServers() {
		if farthest == beechdatagram.CrossZone || g.scopeTo(s) == beechdatagram.SameZone || g.placer.KeeperSilent(s.ID) {
			g.sendFollow(s, targets[s.ID], suspects)
		}
	}
}

// scopeTo returns whether messages to a server's keeper leave this zone.
func (g *Gate) scopeTo(s beechcall.Server) beechdatagram.Scope { return s.Zone != g.settings.Zone }

// keeperServers returns the servers that have a keeper, or none if this gate is draining.
// Plain services have no keeper, and neither do entries for services that operators have not
// configured.
func (g *Gate) keeperServers() []beechcall.Server {
	c := g.configuration.Load()
	if g.Draining() || c == nil {
		return nil
	}
	g.mu.Lock()
	servers := g.servers
	g.mu.Unlock()
	var withKeeper []beechcall.Server
	for _, s := range servers {
		if _, named := c.Services[s.Service]; named && len(s.Weights) > 0 {
			withKeeper = append(withKeeper, s)
		}
	}
	return withKeeper
}

// sendFollow contacts a server's keeper. Messages to other zones, which are paid for by the
// byte, omit the gate's name and the suspects: keepers there receive suspects from the keepers
// of this zone, and log only the gates of their own zone.
func (g *Gate) sendFollow(s beechcall.Server, targets []beechwire.Target, suspects []beechwire.Suspect) {
	address := netip.AddrPortFrom(s.Address.Addr(), g.settings.Beats.Port())
	follow := &beechwire.Follow{Zone: g.settings.Zone, Targets: targets, Ask: g.placer.KeeperSilent(s.ID), Rate: g.placer.PrefillRate()}
	if g.scopeTo(s) == beechdatagram.SameZone {
		follow.Gate, follow.Suspects = g.settings.Name, suspects
	}
	if err := g.socket.Send(address, g.scopeTo(s), beechdatagram.Follow{Follow: follow}); err != nil {
		g.log.Debug("send to keeper failed", zap.String("server", s.ID), zap.Error(err))
	}
}

// announcePrompt tells a keeper about a prompt sent to its engine.
func (g *Gate) announcePrompt(s beechcall.Server, tokens int, parts []uint64, saved bool) {
	address := netip.AddrPortFrom(s.Address.Addr(), g.settings.Beats.Port())
	if err := g.socket.Send(address, g.scopeTo(s), beechdatagram.Announce{Announce: &beechwire.Announce{Read: tokens, Parts: parts, Kept: saved}}); err != nil {
		g.log.Debug("send to keeper failed", zap.String("server", s.ID), zap.Error(err))
	}
}

// receive handles a message of a keeper or another gate.
func (g *Gate) receive(from netip.AddrPort, m beechdatagram.Message) {
	switch v := m.(type) {
	case beechdatagram.Tell:
		g.receiveState(from.Addr(), v.Tell)
	case beechdatagram.Pass:
		g.relayState(from.Addr(), v)
	case beechdatagram.Passed:
		g.receiveRelayed(from, v)
	case beechdatagram.Peers:
		g.receivePeers(v)
	case beechdatagram.Roster:
		g.receiveRoster(v)
	case beechdatagram.Spent:
		g.receiveUsage(from, v)
	case beechdatagram.Paces:
		g.receivePaces(from, v)
	case beechdatagram.Limits:
		g.receiveLimits(from, v)
	case beechdatagram.Full:
		g.receiveOverloads(from, v)
	case beechdatagram.Inquiry:
		g.sendToPeers([]netip.AddrPort{from}, g.mirrorStatus(v.Number))
	case beechdatagram.Vouch:
		g.receiveVouch(v)
	case beechdatagram.Entries:
		g.receiveEntries(from, v)
	}
}

// relayState applies a keeper's state and relays it to the other gates of this zone.
func (g *Gate) relayState(host netip.Addr, p beechdatagram.Pass) {
	relayed := beechdatagram.Passed{Passed: &beechwire.Passed{Host: host.String(), Tell: p.Tell}}
	g.sendToZone(relayed)
	g.receiveState(host, &p.Tell)
}

func (g *Gate) receiveRelayed(from netip.AddrPort, p beechdatagram.Passed) {
	host, err := netip.ParseAddr(p.Host)
	if err != nil || !g.peers.HasPeer(from) {
		return
	}
	g.receiveState(host, &p.Tell)
}

// receiveState applies a keeper's report on the engine of its host.
func (g *Gate) receiveState(host netip.Addr, state *beechwire.Tell) {
	weights := make(map[string]uint64, len(state.Have))
	for _, w := range state.Have {
		weights[w.Model] = w.Version
	}
	engine := g.placer.UpdateState(beechplace.State{
		Number: state.Number, Address: netip.AddrPortFrom(host, state.Port), Phase: beechrollout.Phase(state.Phase), Weights: weights, Tries: state.Tries, Born: state.Born, Old: time.Duration(state.Old) * time.Millisecond,
		Reading: state.Read, Running: state.Run, Waiting: state.Wait, CacheUsed: state.Used, CacheTotal: state.Room, Parts: state.Parts, Gone: state.Gone, Kept: state.Kept,
	})
	g.observePhase(engine, beechrollout.Phase(state.Phase), weights, time.Duration(state.Took)*time.Millisecond)
	g.suspects.Merge(beechconvert.SuspectRecords(state.Suspects))
	g.setGates(state.Gates)
}

// setGates updates the number of gates from a keeper's count. It increases at once and
// decreases slowly, as a keeper with a lower count may be cut off from some gates.
func (g *Gate) setGates(n int) {
	g.mu.Lock()
	previous := g.gates
	g.gates = g.recentGates.add(n, g.clock.Now())
	current := g.gates
	g.mu.Unlock()
	if current == previous {
		return
	}
	g.budgets.SetGates(current)
	g.placer.SetGates(current)
	g.quotas.SetGates(current)
	g.limits.SetGates(current)
	if c := g.configuration.Load(); c != nil {
		g.limitConnections(c)
	}
}
