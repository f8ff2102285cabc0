package beechgate

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechrelay"
	"github.com/beechring/beechring/internal/link/beechdatagram"
)

// rosterTTL is how long messages are sent to a gate of another zone after keepers last listed
// it. Keepers forget a gate after about the same time.
const rosterTTL = 4 * time.Second

// roster holds the gates of the other availability zones as listed by keepers. It is safe for
// concurrent use.
type roster struct {
	mu    sync.Mutex
	gates map[netip.AddrPort]rosterEntry
}

type rosterEntry struct {
	zone     string
	listedAt time.Time
}

func newRoster() *roster { return &roster{gates: make(map[netip.AddrPort]rosterEntry)} }

// update adds the gates listed by a keeper.
func (r *roster) update(message beechdatagram.Roster, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, zone := range message.Zones {
		for _, text := range zone.Gates {
			var gate netip.AddrPort
			if err := gate.UnmarshalBinary([]byte(text)); err == nil && gate.IsValid() {
				r.gates[gate] = rosterEntry{zone.Name, now}
			}
		}
	}
	maps.DeleteFunc(r.gates, func(_ netip.AddrPort, entry rosterEntry) bool { return now.Sub(entry.listedAt) > rosterTTL })
}

// receiveRoster handles a keeper's list of the gates of other zones.
func (g *Gate) receiveRoster(message beechdatagram.Roster) {
	now := g.clock.Now()
	first := len(g.otherZones.zones(now)) == 0
	g.otherZones.update(message, now)
	if first {
		g.gatesDiscovered("other zones", len(g.otherZones.zones(now)))
	}
}

// zones returns the gates of each other zone.
func (r *roster) zones(now time.Time) [][]netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	byZone := make(map[string][]netip.AddrPort)
	for gate, entry := range r.gates {
		if now.Sub(entry.listedAt) <= rosterTTL {
			byZone[entry.zone] = append(byZone[entry.zone], gate)
		}
	}
	return slices.Collect(maps.Values(byZone))
}

// contains reports whether a gate is listed.
func (r *roster) contains(gate netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.gates[gate]
	return ok
}

// sendToZone sends a message to all other gates of this zone.
func (g *Gate) sendToZone(m beechdatagram.Message) { g.sendToPeers(g.peers.Peers(g.clock.Now()), m) }

// sendToGates sends the message of the given round to all other gates: directly within this
// zone, and through relays, which pass it on, in each other zone. An urgent message is sent to
// all relays, so that it is not lost with one of them.
func (g *Gate) sendToGates(round uint32, urgent bool, message func(pass bool) beechdatagram.Message) {
	g.sendToZone(message(false))
	for _, zone := range g.otherZones.zones(g.clock.Now()) {
		targets := zone
		relays := beechrelay.Select(g.peers.Self(), zone)
		if relays != nil {
			targets = beechrelay.Recipients(relays, round, urgent)
		}
		if err := g.socket.SendAll(targets, beechdatagram.CrossZone, message(relays != nil)); err != nil {
			g.log.Debug("send to gate failed", zap.Error(err))
		}
	}
}

// isKnownGate reports whether the sender is a gate listed by keepers. Messages of others are
// counted.
func (g *Gate) isKnownGate(from netip.AddrPort) bool {
	if g.peers.HasPeer(from) || g.otherZones.contains(from) {
		return true
	}
	g.metrics.unknownSenders.Add(1)
	return false
}
