package beechgate

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

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
