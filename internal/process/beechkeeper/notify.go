package beechkeeper

import (
	"iter"
	"maps"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechrelay"
	"github.com/beechring/beechring/internal/link/beechbeat"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechshare"
)

// audience is what a gate, or all gates of another zone, were told.
type audience struct {
	relays []netip.AddrPort // of a zone; none for a gate
	words  uint32           // to a zone, so that its relays take turns
	told   time.Time
	is     state // that was told last
	parts  news
	gone   news
	kept   news
}

const (
	tellNear = 120 * time.Millisecond // between words of an engine that works, to gates of its zone
	tellFar  = 200 * time.Millisecond // to gates of other zones
	// tellZone is that to a zone through its relays: a word there costs no more
	// than one to a single gate, and if one relay is dead the other's still come
	// well within the time that gates believe a word for.
	tellZone     = 300 * time.Millisecond
	tellIdle     = 600 * time.Millisecond
	tellMost     = 1200 * time.Millisecond // a gate believes a keeper's word for 1.5 s
	followersFew = 16                      // gates that are told as often as each alone
	// numberBits are for words of one second: the seconds at which a keeper starts
	// are in the others, so that its numbers go on where those of the process
	// before it ended.
	numberBits = 12
)

// tell sends the engine's state to the gates: at once if its phase or weights
// changed or the news is urgent, else at intervals.
func (k *Keeper) tell(urgent bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at := k.needs.Clock.Now()
	is := k.state()
	before := len(k.followers)
	maps.DeleteFunc(k.followers, func(_ netip.AddrPort, f *follower) bool { return at.Sub(f.heard) > followerLasts })
	if len(k.followers) != before {
		k.regroup()
	}
	for gate, f := range k.followers {
		if k.direct(f) && (is != f.is || urgent || at.Sub(f.told) >= k.interval(k.way(f))) {
			k.tellGate(gate, f, at)
		}
		if k.way(f) == beechbeat.Near && at.Sub(f.named) >= namesInterval {
			f.named = at
			k.name(gate)
		}
	}
	for zone, a := range k.zones {
		if is != a.is || urgent || at.Sub(a.told) >= k.zoneInterval() {
			k.tellZone(zone, a, at)
		}
	}
}

// state is what is told at once when it changes. The caller holds the lock.
func (k *Keeper) state() state {
	is := state{phase: k.phase}
	for _, version := range k.last.Versions {
		is.version += version
	}
	return is
}

// regroup works out which zones are told through relays, after gates have come or
// gone. The caller holds the lock.
func (k *Keeper) regroup() {
	gates := make(map[string][]netip.AddrPort)
	for gate, f := range k.followers {
		if k.way(f) == beechbeat.Far {
			gates[f.zone] = append(gates[f.zone], gate)
		}
	}
	for zone, list := range gates {
		relays := beechrelay.Of(k.settings.Beats, list)
		if relays == nil {
			delete(k.zones, zone)
			continue
		}
		if k.zones[zone] == nil {
			k.zones[zone] = &audience{}
		}
		k.zones[zone].relays = relays
	}
	maps.DeleteFunc(k.zones, func(zone string, _ *audience) bool { return gates[zone] == nil })
}

// direct tells whether a gate is told directly. The caller holds the lock.
func (k *Keeper) direct(f *follower) bool {
	return k.way(f) == beechbeat.Near || k.zones[f.zone] == nil
}

// audiences gives all that are told of what the engine's cache holds. The caller
// holds the lock.
func (k *Keeper) audiences() iter.Seq[*audience] {
	return func(yield func(*audience) bool) {
		for _, f := range k.followers {
			if k.direct(f) && !yield(&f.audience) {
				return
			}
		}
		for _, a := range k.zones {
			if !yield(a) {
				return
			}
		}
	}
}

// way tells whether words to a gate cross the border of this zone.
func (k *Keeper) way(f *follower) beechbeat.Way { return f.zone != k.settings.Zone }

// interval is the time between words to a gate. It grows with the number of those
// that are told directly, or words would grow with its square. Of a long prompt the
// gates of all zones hear at once: those that hear an interval later have callers
// wait behind it without knowing.
func (k *Keeper) interval(way beechbeat.Way) time.Duration {
	many := time.Duration(max(len(k.followers)/followersFew, 1))
	switch {
	case k.works() && way == beechbeat.Near:
		return tellNear
	case k.works():
		return min(tellFar*many, tellMost)
	}
	return min(tellIdle*many, tellMost)
}

func (k *Keeper) zoneInterval() time.Duration {
	if k.works() {
		return tellZone
	}
	return tellIdle
}

// works tells whether the engine has something to do.
func (k *Keeper) works() bool { return k.last.Running+k.last.Waiting > 0 }

// tellGate tells one gate. The caller holds the lock.
func (k *Keeper) tellGate(gate netip.AddrPort, f *follower, at time.Time) {
	k.send([]netip.AddrPort{gate}, k.way(f), beechbeat.Tell{Tell: k.word(&f.audience, at)})
}

// tellZone tells the gates of another zone through their relays. What changes the
// engine's phase or weights goes through both: each choice that misses it is a
// request that is turned away. The caller holds the lock.
func (k *Keeper) tellZone(zone string, a *audience, at time.Time) {
	certain := k.state() != a.is
	a.words++
	to := beechrelay.Take(a.relays, a.words, certain)
	k.send(to, beechbeat.Far, beechbeat.Pass{Pass: &beechwire.Pass{Tell: *k.word(a, at)}})
	k.needs.Log.Debug("zone told", zap.String("zone", zone), zap.Stringers("peers", to))
}

func (k *Keeper) send(to []netip.AddrPort, way beechbeat.Way, m beechbeat.Message) {
	if err := k.socket.SendAll(to, way, m); err != nil {
		k.needs.Log.Debug("gate not told", zap.Error(err))
	}
}

// word gives the engine's state for an audience, which has been told it then. The
// caller holds the lock.
func (k *Keeper) word(a *audience, at time.Time) *beechwire.Tell {
	a.told, a.is = at, k.state()
	k.number++
	word := &beechwire.Tell{
		Number: k.number, Port: k.settings.Engine.Port(), Phase: int(k.phase), Run: k.last.Running, Wait: k.last.Waiting,
		Used: k.last.CacheUsed, Room: k.last.CacheTotal, Read: k.reading.Remaining(at), Gates: len(k.followers),
		Born: k.last.Born, Tries: k.turn.UnansweredOrders(), Old: k.turn.SupersededFor(at).Milliseconds(), Took: k.turn.LoadTime().Milliseconds(),
		Parts: a.parts.take(), Gone: a.gone.take(), Kept: a.kept.take(), Suspects: beechshare.WireSuspects(beechshare.Worst(k.suspects.News())),
	}
	for _, model := range slices.Sorted(maps.Keys(k.last.Versions)) {
		word.Have = append(word.Have, beechwire.Weights{Model: model, Version: k.last.Versions[model]})
	}
	return word
}

// roster gives the gates of the other zones. The caller holds the lock.
func (k *Keeper) roster() *beechwire.Roster {
	zones := make(map[string][]string)
	for peer, f := range k.followers {
		if k.way(f) == beechbeat.Far {
			text, _ := peer.MarshalBinary() // never fails
			zones[f.zone] = append(zones[f.zone], string(text))
		}
	}
	roster := &beechwire.Roster{}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		roster.Zones = append(roster.Zones, beechwire.Zone{Name: zone, Gates: zones[zone]})
	}
	return roster
}

// name tells a gate of the gates of this zone, itself among them: they share their
// reads of the store, and pass words on to one another. The caller holds the lock.
func (k *Keeper) name(gate netip.AddrPort) {
	peers := &beechwire.Peers{}
	for peer, f := range k.followers {
		if k.way(f) == beechbeat.Near {
			peers.Gates = append(peers.Gates, peer.String())
		}
	}
	k.send([]netip.AddrPort{gate}, beechbeat.Near, beechbeat.Peers{Peers: peers})
	if roster := k.roster(); len(roster.Zones) > 0 {
		k.send([]netip.AddrPort{gate}, beechbeat.Near, beechbeat.Roster{Roster: roster})
	}
}
