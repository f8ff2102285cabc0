package beechgate

import (
	"context"
	"net/netip"
	"slices"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// requestFollow makes followKeepers contact the keepers at once.
func (g *Gate) requestFollow() {
	beechtask.Notify(g.followDue)
}

// followKeepers periodically sends the keepers of engines that this gate collects the target
// versions, and asks for the engines' states.
func (g *Gate) followKeepers(ctx context.Context) error {
	next := g.clock.After(followInterval)
	for round := 0; ; round++ {
		select {
		case <-g.turnEnded:
			g.grantTurns()
			continue
		case <-next:
		case <-g.followDue:
		case <-ctx.Done():
			return ctx.Err()
		}
		g.followRound(round)
		next = g.clock.After(followInterval)
	}
}

// followRound contacts the keepers whose engines this gate collects.
func (g *Gate) followRound(round int) {
	servers := g.collectedServers()
	if len(servers) == 0 {
		return
	}
	targets := g.targets()
	suspects := beechconvert.WireSuspects(beechconvert.MostCrashes(g.suspects.RecentChanges()))
	keepers := make([]netip.AddrPort, 0, len(servers))
	for _, s := range servers {
		g.sendFollow(s, targets[s.ID], suspects)
		g.sendHealthPath(s)
		keepers = append(keepers, netip.AddrPortFrom(s.Address.Addr(), g.settings.Beats.Port()))
	}
	g.tellKeepersOfPoison(round, keepers)
}

// collectedServers returns the servers whose keepers report to this gate.
func (g *Gate) collectedServers() []beechcall.Server {
	t := g.topology.Load()
	switch {
	case !t.settled:
		return nil // while all gates start, each would follow keepers that others will follow
	case t.Direct:
		return g.keeperServers()
	}
	return slices.DeleteFunc(g.keeperServers(), func(s beechcall.Server) bool {
		_, collects := t.Collects[s.Zone]
		return !collects
	})
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

// sendFollow contacts a server's keeper.
func (g *Gate) sendFollow(s beechcall.Server, targets []beechwire.Target, suspects []beechwire.Suspect) {
	address := netip.AddrPortFrom(s.Address.Addr(), g.settings.Beats.Port())
	follow := &beechwire.Follow{Gate: g.settings.Name, Zone: g.settings.Zone, Targets: targets, Rate: g.placer.PrefillRate(), Suspects: suspects}
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
		g.receiveReport(from.Addr(), v.Tell)
	case beechdatagram.Gossip:
		g.receiveGossip(from, v)
	case beechdatagram.Summary:
		g.receiveSummary(from, v)
	case beechdatagram.Recall:
		g.receiveRecall(from, v)
	case beechdatagram.Borrow:
		g.receiveBorrow(from, v)
	case beechdatagram.Loan:
		g.receiveLoan(from, v)
	case beechdatagram.Spent:
		g.receiveUsage(from, v)
	case beechdatagram.Limits:
		g.receiveLimits(from, v)
	case beechdatagram.Full:
		g.receiveOverloads(from, v)
	case beechdatagram.Inquiry:
		g.receiveInquiry(from, v.Number)
	case beechdatagram.Proof:
		g.receiveProof(from, v)
	case beechdatagram.Entries:
		g.receiveEntries(from, v)
	case beechdatagram.Origins:
		g.receiveOrigins(from, v)
	case beechdatagram.Query:
		g.receiveQuery(from, v)
	case beechdatagram.Found:
		g.receiveFound(from, v)
	case beechdatagram.Prove:
		g.receiveProve(from, v)
	case beechdatagram.Sole:
		g.receiveSole(from, v)
	case beechdatagram.Quiet:
		g.receiveQuiet(from, v)
	case beechdatagram.Outage:
		g.receiveOutage(from, v)
	case beechdatagram.Served:
		g.receiveServed(from, v)
	case beechdatagram.Poison:
		g.receivePoison(from, v)
	case beechdatagram.Pressure:
		g.receivePressure(from, v)
	case beechdatagram.Returns:
		g.receiveReturns(from, v)
	case beechdatagram.Acquire:
		g.receiveAcquire(from, v.Number)
	}
}
