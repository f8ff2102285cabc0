package beechgate

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechrelay"
	"github.com/beechring/beechring/internal/link/beechbeat"
)

// rosterTTL is how long a gate of another zone that no keeper names any more is still
// told: keepers forget one after about as long.
const rosterTTL = 4 * time.Second

// roster is the gates of the other availability zones, as keepers name them. It is safe
// for concurrent use.
type roster struct {
	mu    sync.Mutex
	gates map[netip.AddrPort]rosterEntry
}

type rosterEntry struct {
	zone    string
	namedAt time.Time
}

func newRoster() *roster { return &roster{gates: make(map[netip.AddrPort]rosterEntry)} }

// named takes in a keeper's word.
func (r *roster) update(message beechbeat.Roster, now time.Time) {
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
	maps.DeleteFunc(r.gates, func(_ netip.AddrPort, l rosterEntry) bool { return now.Sub(l.namedAt) > rosterTTL })
}

// hearRoster takes in a keeper's word on the gates of the other zones.
func (g *Gate) receiveRoster(message beechbeat.Roster) {
	now := g.clock.Now()
	alone := len(g.otherZones.zones(now)) == 0
	g.otherZones.update(message, now)
	if alone {
		g.gatesDiscovered("other zones", len(g.otherZones.zones(now)))
	}
}

// zones gives the gates of each other zone.
func (r *roster) zones(now time.Time) [][]netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	byZone := make(map[string][]netip.AddrPort)
	for gate, l := range r.gates {
		if now.Sub(l.namedAt) <= rosterTTL {
			byZone[l.zone] = append(byZone[l.zone], gate)
		}
	}
	return slices.Collect(maps.Values(byZone))
}

// knows tells whether a gate is listed.
func (r *roster) contains(gate netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.gates[gate]
	return ok
}

// toZone tells all other gates of this zone.
func (g *Gate) sendToZone(m beechbeat.Message) { g.sendToPeers(g.peers.Peers(g.clock.Now()), m) }

// toGates tells all other gates its n-th word: those of this zone directly, each other
// zone through relays that pass it on there. One that must not be lost goes through all
// relays.
func (g *Gate) sendToGates(round uint32, urgent bool, message func(pass bool) beechbeat.Message) {
	g.sendToZone(message(false))
	for _, zone := range g.otherZones.zones(g.clock.Now()) {
		targets := zone
		relays := beechrelay.Of(g.peers.Self(), zone)
		if relays != nil {
			targets = beechrelay.Take(relays, round, urgent)
		}
		if err := g.socket.SendAll(targets, beechbeat.Far, message(relays != nil)); err != nil {
			g.log.Debug("gate not told", zap.Error(err))
		}
	}
}

// knows tells whether a word is of a gate that keepers name. Others are counted.
func (g *Gate) isKnownGate(from netip.AddrPort) bool {
	if g.peers.Knows(from) || g.otherZones.contains(from) {
		return true
	}
	g.metrics.unknownSenders.Add(1)
	return false
}
