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

// rosterLasts is how long a gate of another zone that no keeper names any more is still
// told: keepers forget one after about as long.
const rosterLasts = 4 * time.Second

// roster is the gates of the other availability zones, as keepers name them. It is safe
// for concurrent use.
type roster struct {
	mu    sync.Mutex
	gates map[netip.AddrPort]listed
}

type listed struct {
	zone string
	at   time.Time
}

func newRoster() *roster { return &roster{gates: make(map[netip.AddrPort]listed)} }

// named takes in a keeper's word.
func (r *roster) named(word beechbeat.Roster, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, zone := range word.Zones {
		for _, text := range zone.Gates {
			var gate netip.AddrPort
			if err := gate.UnmarshalBinary([]byte(text)); err == nil && gate.IsValid() {
				r.gates[gate] = listed{zone.Name, now}
			}
		}
	}
	maps.DeleteFunc(r.gates, func(_ netip.AddrPort, l listed) bool { return now.Sub(l.at) > rosterLasts })
}

// hearRoster takes in a keeper's word on the gates of the other zones.
func (g *Gate) hearRoster(word beechbeat.Roster) {
	now := g.clock.Now()
	alone := len(g.others.zones(now)) == 0
	g.others.named(word, now)
	if alone {
		g.met("other zones", len(g.others.zones(now)))
	}
}

// zones gives the gates of each other zone.
func (r *roster) zones(now time.Time) [][]netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	byZone := make(map[string][]netip.AddrPort)
	for gate, l := range r.gates {
		if now.Sub(l.at) <= rosterLasts {
			byZone[l.zone] = append(byZone[l.zone], gate)
		}
	}
	return slices.Collect(maps.Values(byZone))
}

// knows tells whether a gate is listed.
func (r *roster) knows(gate netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.gates[gate]
	return ok
}

// toZone tells all other gates of this zone.
func (g *Gate) toZone(m beechbeat.Message) { g.toPeers(g.circle.Peers(g.clock.Now()), m) }

// toGates tells all other gates its n-th word: those of this zone directly, each other
// zone through relays that pass it on there. One that must not be lost goes through all
// relays.
func (g *Gate) toGates(n uint32, certain bool, word func(pass bool) beechbeat.Message) {
	g.toZone(word(false))
	for _, zone := range g.others.zones(g.clock.Now()) {
		to := zone
		relays := beechrelay.Select(g.circle.Self(), zone)
		if relays != nil {
			to = beechrelay.Recipients(relays, n, certain)
		}
		if err := g.socket.SendAll(to, beechbeat.Far, word(relays != nil)); err != nil {
			g.log.Debug("gate not told", zap.Error(err))
		}
	}
}

// knows tells whether a word is of a gate that keepers name. Others are counted.
func (g *Gate) knows(from netip.AddrPort) bool {
	if g.circle.Knows(from) || g.others.knows(from) {
		return true
	}
	g.metrics.strangers.Add(1)
	return false
}
