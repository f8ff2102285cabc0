package beechkeeper

import (
	"iter"
	"maps"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechrelay"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechconvert"
)

// recipient is a gate, or all gates of another zone, with what it has been sent.
type recipient struct {
	relays    []netip.AddrPort // of a zone; nil for a gate
	messages  uint32           // sent to a zone, so that its relays alternate
	sentAt    time.Time
	sentState urgentState // the last one sent
	added     keyQueue    // parts that came into the cache
	removed   keyQueue    // parts that the cache has evicted
	stored    keyQueue    // parts that were also sent to the KV cache store
}

const (
	nearInterval = 120 * time.Millisecond // between messages about a busy engine, to gates of its zone
	farInterval  = 200 * time.Millisecond // to gates of other zones
	// relayedInterval is the interval to a zone with relays: a message to it crosses zones
	// as often as one to a single gate, and if one relay is down the other's messages still
	// arrive well within the time that gates consider a message current.
	relayedInterval     = 300 * time.Millisecond
	idleInterval        = 600 * time.Millisecond
	maxInterval         = 1200 * time.Millisecond // gates consider a keeper's message current for 1.5 s
	gatesAtBaseInterval = 16                      // up to so many gates, the intervals do not grow
	// sequenceBits is the number of bits for the messages of one second. The other bits hold
	// the second in which the keeper started, so that its message numbers continue after
	// those of the process before it.
	sequenceBits = 12
)

// notify sends the engine's state to the gates: at once if its phase or weights changed or
// the message is urgent, else at intervals.
func (k *Keeper) notify(urgent bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.deps.Clock.Now()
	state := k.currentState()
	before := len(k.gates)
	maps.DeleteFunc(k.gates, func(_ netip.AddrPort, gate *gateState) bool { return now.Sub(gate.lastHeard) > gateTimeout })
	if len(k.gates) != before {
		k.updateRelays()
	}
	for address, gate := range k.gates {
		if k.isDirect(gate) && (state != gate.sentState || urgent || now.Sub(gate.sentAt) >= k.gateInterval(k.scopeTo(gate))) {
			k.notifyGate(address, gate, now)
		}
		if k.scopeTo(gate) == beechdatagram.SameZone && now.Sub(gate.peersSentAt) >= peersInterval {
			gate.peersSentAt = now
			k.sendPeers(address)
		}
	}
	for zone, r := range k.relayedZones {
		if state != r.sentState || urgent || now.Sub(r.sentAt) >= k.relayedZoneInterval() {
			k.notifyZone(zone, r, now)
		}
	}
}

// currentState returns the state whose changes are sent at once. The caller holds the
// lock.
func (k *Keeper) currentState() urgentState {
	state := urgentState{phase: k.phase}
	for _, version := range k.lastReport.Versions {
		state.version += version
	}
	return state
}

// updateRelays selects the relays of other zones after gates were added or removed. The
// caller holds the lock.
func (k *Keeper) updateRelays() {
	gates := make(map[string][]netip.AddrPort)
	for address, gate := range k.gates {
		if k.scopeTo(gate) == beechdatagram.CrossZone {
			gates[gate.zone] = append(gates[gate.zone], address)
		}
	}
	for zone, list := range gates {
		relays := beechrelay.Select(k.settings.Beats, list)
		if relays == nil {
			delete(k.relayedZones, zone)
			continue
		}
		if k.relayedZones[zone] == nil {
			k.relayedZones[zone] = &recipient{}
		}
		k.relayedZones[zone].relays = relays
	}
	maps.DeleteFunc(k.relayedZones, func(zone string, _ *recipient) bool { return gates[zone] == nil })
}

// isDirect reports whether a gate is sent messages directly. The caller holds the lock.
func (k *Keeper) isDirect(gate *gateState) bool {
	return k.scopeTo(gate) == beechdatagram.SameZone || k.relayedZones[gate.zone] == nil
}

// recipients returns all recipients of changes to the engine's cache. The caller holds the
// lock.
func (k *Keeper) recipients() iter.Seq[*recipient] {
	return func(yield func(*recipient) bool) {
		for _, gate := range k.gates {
			if k.isDirect(gate) && !yield(&gate.recipient) {
				return
			}
		}
		for _, r := range k.relayedZones {
			if !yield(r) {
				return
			}
		}
	}
}

// scopeTo reports whether messages to a gate leave this zone.
func (k *Keeper) scopeTo(gate *gateState) beechdatagram.Scope { return gate.zone != k.settings.Zone }

// gateInterval returns the time between messages to a gate. It grows with the number of
// gates, since the total number of messages would otherwise grow with its square. Long
// prompts are reported to the gates of all zones at once: gates that learned of one an
// interval later would queue requests behind it unknowingly.
func (k *Keeper) gateInterval(scope beechdatagram.Scope) time.Duration {
	factor := time.Duration(max(len(k.gates)/gatesAtBaseInterval, 1))
	switch {
	case k.engineBusy() && scope == beechdatagram.SameZone:
		return nearInterval
	case k.engineBusy():
		return min(farInterval*factor, maxInterval)
	}
	return min(idleInterval*factor, maxInterval)
}

func (k *Keeper) relayedZoneInterval() time.Duration {
	if k.engineBusy() {
		return relayedInterval
	}
	return idleInterval
}

// engineBusy reports whether the engine has running or waiting requests.
func (k *Keeper) engineBusy() bool { return k.lastReport.Running+k.lastReport.Waiting > 0 }

// notifyGate sends the state to one gate. The caller holds the lock.
func (k *Keeper) notifyGate(address netip.AddrPort, gate *gateState, now time.Time) {
	k.send([]netip.AddrPort{address}, k.scopeTo(gate), beechdatagram.Tell{Tell: k.stateMessage(&gate.recipient, now)})
}

// notifyZone sends the state to the gates of another zone through their relays. A change of
// the engine's phase or weights goes through both relays, since every gate that misses it
// may send a request that the engine rejects. The caller holds the lock.
func (k *Keeper) notifyZone(zone string, r *recipient, now time.Time) {
	changed := k.currentState() != r.sentState
	r.messages++
	to := beechrelay.Recipients(r.relays, r.messages, changed)
	k.send(to, beechdatagram.CrossZone, beechdatagram.Pass{Pass: &beechwire.Pass{Tell: *k.stateMessage(r, now)}})
	k.deps.Log.Debug("state sent to zone", zap.String("zone", zone), zap.Stringers("peers", to))
}

func (k *Keeper) send(to []netip.AddrPort, scope beechdatagram.Scope, m beechdatagram.Message) {
	if err := k.socket.SendAll(to, scope, m); err != nil {
		k.deps.Log.Debug("sending to gates failed", zap.Error(err))
	}
}

// stateMessage returns the engine's state as a message to a recipient, and records that it
// was sent. The caller holds the lock.
func (k *Keeper) stateMessage(r *recipient, now time.Time) *beechwire.Tell {
	r.sentAt, r.sentState = now, k.currentState()
	k.lastNumber++
	message := &beechwire.Tell{
		Number: k.lastNumber, Port: k.settings.Engine.Port(), Phase: int(k.phase), Run: k.lastReport.Running, Wait: k.lastReport.Waiting,
		Used: k.lastReport.CacheUsed, Room: k.lastReport.CacheTotal, Read: k.backlog.Remaining(now), Gates: len(k.gates),
		Born: k.lastReport.Born, Tries: k.updater.UnansweredOrders(), Old: k.updater.SupersededFor(now).Milliseconds(), Took: k.updater.LoadTime().Milliseconds(),
		Parts: r.added.take(), Gone: r.removed.take(), Kept: r.stored.take(), Suspects: beechconvert.WireSuspects(beechconvert.MostCrashes(k.suspects.RecentChanges())),
	}
	for _, model := range slices.Sorted(maps.Keys(k.lastReport.Versions)) {
		message.Have = append(message.Have, beechwire.Weights{Model: model, Version: k.lastReport.Versions[model]})
	}
	return message
}

// roster returns the gates of the other zones. The caller holds the lock.
func (k *Keeper) roster() *beechwire.Roster {
	zones := make(map[string][]string)
	for address, gate := range k.gates {
		if k.scopeTo(gate) == beechdatagram.CrossZone {
			text, _ := address.MarshalBinary() // never fails
			zones[gate.zone] = append(zones[gate.zone], string(text))
		}
	}
	roster := &beechwire.Roster{}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		roster.Zones = append(roster.Zones, beechwire.Zone{Name: zone, Gates: zones[zone]})
	}
	return roster
}

// sendPeers sends a gate the list of gates of this zone, itself included: they share their
// reads of the store and forward messages to each other. It also sends the gates of other
// zones. The caller holds the lock.
func (k *Keeper) sendPeers(address netip.AddrPort) {
	peers := &beechwire.Peers{}
	for address, gate := range k.gates {
		if k.scopeTo(gate) == beechdatagram.SameZone {
			peers.Gates = append(peers.Gates, address.String())
		}
	}
	k.send([]netip.AddrPort{address}, beechdatagram.SameZone, beechdatagram.Peers{Peers: peers})
	if roster := k.roster(); len(roster.Zones) > 0 {
		k.send([]netip.AddrPort{address}, beechdatagram.SameZone, beechdatagram.Roster{Roster: roster})
	}
}
