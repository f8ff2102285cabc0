package beechgate

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechgossip"
	"github.com/beechring/beechring/internal/decision/beechrelay"
	"github.com/beechring/beechring/internal/decision/beechsummary"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/state/beechreader"
)

type (
	// topology is what follows from the list of gates.
	topology struct {
		version    uint64
		settled    bool
		gates      int
		zone       []netip.AddrPort               // the other gates of this zone
		otherZones map[string][]netip.AddrPort    // gates, by zone
		zoneOf     map[netip.AddrPort]string      // of all other gates
		collectors map[string][]netip.AddrPort    // by zone, by rank
		readers    map[string][2][]netip.AddrPort // by zone: readers of the zone, without those of the fleet
		collects   map[string]bool                // zones for whose engines this gate is a collector
		duty       beechsummary.Duty
	}
)

// Duties that are assigned by rendezvous hashing.
const (
	dutyRead    = "read"
	dutyCollect = "collect"

	collectorsPerZone = 2
	millicores        = 1000
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
		if rounds++; rounds%searchRounds == 0 && g.topology.Load().gates <= 1 {
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
	return g.topology.Load().zoneOf[gate] != g.settings.Zone
}

// updateTopology derives the duties from the list of gates, if it has changed.
func (g *Gate) updateTopology() {
	old := g.topology.Load()
	version, settled := g.members.Version(), g.members.Settled()
	if old.version == version && old.settled == settled {
		return
	}
	g.topologyMutex.Lock()
	defer g.topologyMutex.Unlock()
	t := g.deriveTopology(g.members.Members(), g.engineZones())
	t.version, t.settled = version, settled
	g.topology.Store(t)
	g.applyTopology(old, t)
}

// refreshDuty derives the duties anew after the servers have changed.
func (g *Gate) refreshDuty() {
	g.topologyMutex.Lock()
	defer g.topologyMutex.Unlock()
	old := g.topology.Load()
	t := g.deriveTopology(g.members.Members(), g.engineZones())
	t.version, t.settled = old.version, old.settled
	g.topology.Store(t)
	g.applyTopology(old, t)
}

func (g *Gate) deriveTopology(members []beechgossip.Member, engines map[string]int) *topology {
	self := g.members.Self()
	t := &topology{
		gates: len(members), otherZones: make(map[string][]netip.AddrPort), zoneOf: make(map[netip.AddrPort]string),
		collectors: make(map[string][]netip.AddrPort), readers: make(map[string][2][]netip.AddrPort), collects: make(map[string]bool),
	}
	for _, m := range members {
		switch {
		case m.Address == self:
		case m.Zone == g.settings.Zone:
			t.zone = append(t.zone, m.Address)
			t.zoneOf[m.Address] = m.Zone
		default:
			t.otherZones[m.Zone] = append(t.otherZones[m.Zone], m.Address)
			t.zoneOf[m.Address] = m.Zone
		}
	}
	fleet := beechgossip.Choose(members, dutyRead, beechreader.Readers)
	for _, zone := range beechgossip.Zones(members) {
		list := beechgossip.InZone(members, zone)
		t.collectors[zone] = beechgossip.Choose(list, dutyCollect, collectorsPerZone)
		t.readers[zone] = [2][]netip.AddrPort{fleet, beechgossip.Choose(list, dutyRead, beechreader.Readers)}
	}
	t.duty.Gates = len(t.zone)
	for zone, count := range engines {
		collectors, ok := t.collectors[zone]
		if !ok { // a zone without gates
			collectors = beechgossip.Choose(members, dutyCollect, collectorsPerZone)
		}
		slot := slices.Index(collectors, self)
		if slot < 0 || g.Draining() {
			continue
		}
		t.collects[zone] = true
		t.duty = beechsummary.Duty{Collects: true, Slot: slot, Alone: len(collectors) == 1, Gates: len(t.zone), ZoneEngines: t.duty.ZoneEngines + count}
	}
	return t
}

// applyTopology passes a changed topology to what depends on it.
func (g *Gate) applyTopology(old, t *topology) {
	readers := t.readers[g.settings.Zone]
	g.readers.SetReaders(readers[0], readers[1])
	g.board.SetDuty(t.duty)
	if t.settled {
		g.setGates(t.gates)
	}
	if old.gates <= 1 && t.gates > 1 {
		g.log.Info("gates known", zap.Int("gates", t.gates), zap.Int("zones", len(t.collectors)), zap.Duration("after", g.quotas.Age()))
		beechtask.Notify(g.usageDue)
	}
	if t.duty.Collects != old.duty.Collects {
		g.log.Info("collects states", zap.Bool("now", t.duty.Collects), zap.Int("gates", t.gates), zap.Int("engines", t.duty.ZoneEngines))
	}
	if t.settled && (len(t.collects) > len(old.collects) || !old.settled) {
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

// sendToZone sends a message to all other gates of this zone.
func (g *Gate) sendToZone(m beechdatagram.Message) { g.sendToPeers(g.topology.Load().zone, m) }

func (g *Gate) sendToPeers(peers []netip.AddrPort, m beechdatagram.Message) {
	if err := g.socket.SendAll(peers, beechdatagram.SameZone, m); err != nil {
		g.log.Debug("send to gate failed", zap.Error(err))
	}
}

// sendToGates sends the message of the given round to all other gates: directly within this
// zone, and through relays, which pass it on, in each other zone. An urgent message is sent to
// all relays, so that it is not lost with one of them.
func (g *Gate) sendToGates(round uint32, urgent bool, message func(pass bool) beechdatagram.Message) {
	g.sendToZone(message(false))
	for _, zone := range g.topology.Load().otherZones {
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
