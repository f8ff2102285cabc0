package beechgate

import (
	"context"
	"math/rand/v2"
	"net/netip"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechgossip"
	"github.com/beechring/beechring/internal/decision/beechrelay"
	"github.com/beechring/beechring/internal/decision/beechsummary"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/process/beechtask"
)

type (
	// topology is what follows from the list of gates.
	topology struct {
		*beechgossip.Duties
		version uint64 // of the list
		joined  bool   // duties may be taken
		settled bool   // the list is probably complete
		duty    beechsummary.Duty
	}
)

const (
	millicores = 1000
	// searchRounds is the number of ticks between the questions of a gate that knows no other
	// to searchedKeepers keepers.
	searchRounds    = 10
	searchedKeepers = 2
)

// newGossip returns this gate's membership.
func newGossip(g *Gate) *beechgossip.Group {
	self := beechgossip.Member{Address: g.socket.Address(), Zone: g.settings.Zone, Capacity: int(g.settings.Cores * millicores)}
	var seeds []netip.AddrPort
	for _, seed := range g.settings.Seeds {
		seeds = append(seeds, netip.AddrPortFrom(seed.Addr(), g.settings.Beats.Port()))
	}
	return beechgossip.New(self, seeds, beechgossip.DefaultSettings, g.clock, rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// gossip finds and watches the other gates.
func (g *Gate) gossip(ctx context.Context) error {
	rounds := 0
	return beechtask.Every(ctx, g.clock, beechgossip.TickInterval, func() {
		g.sendGossip(g.members.Tick())
		g.updateTopology()
		g.loseSilent()
		if rounds++; rounds%searchRounds == 0 && g.topology.Load().Gates <= 1 {
			g.searchThroughKeepers()
		}
	})
}

// searchThroughKeepers asks a few keepers for the gates that follow them: the seeds may all be
// stale.
func (g *Gate) searchThroughKeepers() {
	servers := g.keeperServers()
	for range min(searchedKeepers, len(servers)) {
		s := servers[rand.IntN(len(servers))]
		g.sendGossip([]beechgossip.Send{{To: netip.AddrPortFrom(s.Address.Addr(), g.settings.Beats.Port()), Message: g.members.Search()}})
	}
}

// leave tells the other gates that this one ends.
func (g *Gate) leave() { g.sendGossip(g.members.Leave()) }

func (g *Gate) sendGossip(sends []beechgossip.Send) {
	for _, s := range sends {
		message := beechdatagram.Gossip{Gossip: beechconvert.WireGossip(s.Message)}
		if err := g.socket.Send(s.To, g.scopeToGate(s.To), message); err != nil {
			g.log.Debug("send to gate failed", zap.Error(err))
		}
	}
}

func (g *Gate) receiveGossip(from netip.AddrPort, m beechdatagram.Gossip) {
	message, ok := beechconvert.Gossip(m.Gossip)
	if !ok {
		g.metrics.invalidGossip.Add(1)
		return
	}
	g.sendGossip(g.members.Receive(from, message))
	g.updateTopology()
}

// scopeToGate returns whether a message to a gate leaves this zone. Gates that are not known
// are counted as being in another one.
func (g *Gate) scopeToGate(gate netip.AddrPort) beechdatagram.Scope {
	return g.topology.Load().ZoneOf[gate] != g.settings.Zone
}

// updateTopology derives the duties anew if the list of gates has changed.
func (g *Gate) updateTopology() {
	old := g.topology.Load()
	if old.version != g.members.Version() || old.settled != g.members.Settled() || old.joined != g.members.Joined() {
		g.refreshDuties()
	}
}

// refreshDuties derives the duties from the list of gates and the servers.
func (g *Gate) refreshDuties() {
	g.topologyMutex.Lock()
	defer g.topologyMutex.Unlock()
	old := g.topology.Load()
	t := &topology{version: g.members.Version(), joined: g.members.Joined(), settled: g.members.Settled()}
	t.Duties = beechgossip.Assign(g.members.Members(), g.members.Self(), g.settings.Zone, g.engineZones())
	t.duty = beechsummary.Duty{Zones: t.CollectedZones(), Gates: len(t.Neighbors), ZoneEngines: t.Engines}
	g.topology.Store(t)
	g.applyTopology(old, t)
}

// applyTopology passes a changed topology to what depends on it.
func (g *Gate) applyTopology(old, t *topology) {
	g.readers.SetReaders(t.Readers, t.ZoneReaders[g.settings.Zone])
	g.origins.updateFormer(old.ZoneOf, t.ZoneOf, g.clock.Now())
	g.board.SetDuty(t.duty)
	collectors := t.Collectors[g.settings.Zone]
	g.loans.SetActive(t.settled && len(collectors) > 0 && collectors[0] == t.Self && !g.Draining())
	switch {
	case t.settled:
		g.setGates(t.Gates)
	case t.joined:
		g.shareAmong(max(t.Gates, defaultGates)) // more will be found
	}
	if old.Gates <= 1 && t.Gates > 1 {
		g.log.Info("gates known", zap.Int("gates", t.Gates), zap.Int("zones", len(t.Collectors)), zap.Duration("after", g.quotas.Age()))
		beechtask.Notify(g.usageDue)
		g.tellAllOrigins()
	}
	if t.duty.Zones != old.duty.Zones {
		g.log.Info("collects states", zap.String("zones", t.duty.Zones), zap.Int("gates", t.Gates), zap.Int("engines", t.Engines))
	}
	if t.settled && (len(t.Collects) > len(old.Collects) || t.Direct && !old.Direct || !old.settled) {
		g.requestFollow()
	}
	beechtask.Notify(g.summariesDue)
}

// engineZones returns the number of engines with a keeper in each zone.
func (g *Gate) engineZones() map[string]int {
	zones := make(map[string]int)
	for _, s := range g.keeperServers() {
		zones[s.Zone]++
	}
	return zones
}

// setGates updates the number of gates among which bounds are shared. It increases at once
// and decreases slowly, as a gate that is not heard may still be serving.
func (g *Gate) setGates(n int) {
	g.mu.Lock()
	recent := g.recentGates.add(n, g.clock.Now())
	g.mu.Unlock()
	g.shareAmong(recent)
}

// shareAmong shares the bounds among a number of gates.
func (g *Gate) shareAmong(gates int) {
	g.mu.Lock()
	unchanged := g.gates == gates
	g.gates = gates
	g.mu.Unlock()
	if unchanged {
		return
	}
	g.budgets.SetGates(gates)
	g.placer.SetGates(gates)
	g.quotas.SetGates(gates)
	g.limits.SetGates(gates)
	g.admission.SetGates(gates)
	if c := g.configuration.Load(); c != nil {
		g.limitConnections(c)
	}
}

// sendToZone sends a message to all other gates of this zone.
func (g *Gate) sendToZone(m beechdatagram.Message) { g.sendToPeers(g.topology.Load().Neighbors, m) }

func (g *Gate) sendToPeers(peers []netip.AddrPort, m beechdatagram.Message) {
	if len(peers) == 0 {
		return
	}
	if err := g.socket.SendAll(peers, beechdatagram.SameZone, m); err != nil {
		g.log.Debug("send to gate failed", zap.Error(err))
	}
}

// sendToGates sends the message of the given round to all other gates: directly within this
// zone, and through relays, which pass it on, in each other zone. An urgent message is sent to
// all relays, so that it is not lost with one of them.
func (g *Gate) sendToGates(round uint32, urgent bool, message func(pass bool) beechdatagram.Message) {
	g.sendToZone(message(false))
	for _, zone := range g.topology.Load().OtherZones {
		targets := zone
		relays := beechrelay.Select(g.members.Self(), zone)
		if relays != nil {
			targets = beechrelay.Recipients(relays, round, urgent)
		}
		if err := g.socket.SendAll(targets, beechdatagram.CrossZone, message(relays != nil)); err != nil {
			g.log.Debug("send to gate failed", zap.Error(err))
		}
	}
}

// isKnownGate reports whether the sender is a member. Messages of others are counted.
func (g *Gate) isKnownGate(from netip.AddrPort) bool {
	if g.members.Contains(from) {
		return true
	}
	g.metrics.unknownSenders.Add(1)
	return false
}
