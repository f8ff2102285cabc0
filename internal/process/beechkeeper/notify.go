package beechkeeper

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechgossip"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

type (
	// urgentState is the part of the state whose changes are sent at once.
	urgentState struct {
		phase   beechrollout.Phase
		version uint64
	}

	// load is the part of the state whose changes are sent after changeInterval.
	load struct{ running, waiting, used int }
)

const (
	changeInterval = 40 * time.Millisecond  // between messages about a changed load
	farInterval    = 150 * time.Millisecond // between messages about a changed load, to gates of other zones
	idleInterval   = 200 * time.Millisecond // between messages without a change; gates take an engine for lost after four of them
	// sequenceBits is the number of bits for the messages of one second. The other bits hold
	// the second in which the keeper started, so that its message numbers continue after
	// those of the process before it.
	sequenceBits = 12
)

// notify sends the engine's state to the gates that collect it: at once if its phase or
// weights changed or the message is urgent, soon if its load changed, else at intervals.
// All gates get the same message, so that they can tell by its number whether another one
// has passed it on.
func (k *Keeper) notify(urgent bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.deps.Clock.Now()
	maps.DeleteFunc(k.gates, func(_ netip.AddrPort, gate *gateState) bool { return now.Sub(gate.lastHeard) > gateTimeout })
	age := now.Sub(k.sentAt)
	changed := k.currentLoad() != k.sentLoad || len(k.added.keys)+len(k.removed.keys)+len(k.stored.keys) > 0
	if urgent || k.currentState() != k.sentState || age >= idleInterval || (changed && age >= changeInterval) {
		k.notifyGates(now, urgent || k.currentState() != k.sentState)
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

func (k *Keeper) currentLoad() load {
	return load{k.lastReport.Running, k.lastReport.Waiting, k.lastReport.CacheUsed}
}

// notifyGates sends the state to the gates that follow. Those of other zones, to which each byte
// is paid for, get a change of the load alone less often. The caller holds the lock.
func (k *Keeper) notifyGates(now time.Time, urgent bool) {
	if len(k.gates) == 0 {
		return
	}
	k.sentAt, k.sentState, k.sentLoad = now, k.currentState(), k.currentLoad()
	tell := k.stateMessage(now, k.added.take(), k.removed.take(), k.stored.take())
	urgent = urgent || len(tell.Parts)+len(tell.Gone)+len(tell.Kept) > 0
	message := beechdatagram.Tell{Tell: tell}
	var near, far []netip.AddrPort
	for address, gate := range k.gates {
		switch {
		case gate.zone == k.settings.Zone:
			near = append(near, address)
		case urgent || now.Sub(gate.sentAt) >= farInterval:
			far = append(far, address)
		default:
			continue
		}
		gate.sentAt = now
	}
	k.send(near, beechdatagram.SameZone, message)
	k.send(far, beechdatagram.CrossZone, message)
}

// notifyNewGate sends the state to a gate that has begun to follow, with the most recent
// cached parts. A gate that has just started knows none; it would send each history to another
// engine, which would have to prefill or fetch it. All of that would fall into the first
// second, and some answers would be late. The caller holds the lock.
func (k *Keeper) notifyNewGate(address netip.AddrPort, gate *gateState, now time.Time) {
	keys := k.cachedParts.Keys()
	recent := slices.Clone(keys[max(len(keys)-maxKeysPerMessage, 0):])
	scope := beechdatagram.Scope(gate.zone != k.settings.Zone)
	k.send([]netip.AddrPort{address}, scope, beechdatagram.Tell{Tell: k.stateMessage(now, recent, []uint64{}, []uint64{})})
	k.notifyNewGateOfStrain(address, scope)
}

func (k *Keeper) send(to []netip.AddrPort, scope beechdatagram.Scope, m beechdatagram.Message) {
	if len(to) == 0 {
		return
	}
	if err := k.socket.SendAll(to, scope, m); err != nil {
		k.deps.Log.Debug("sending to gates failed", zap.Error(err))
	}
}

// stateMessage returns the engine's state as a message. The caller holds the lock.
func (k *Keeper) stateMessage(now time.Time, added, removed, stored []uint64) *beechwire.Tell {
	k.lastNumber++
	message := &beechwire.Tell{
		Number: k.lastNumber, Port: k.settings.Engine.Port(), Phase: int(k.phase), Run: k.lastReport.Running, Wait: k.lastReport.Waiting,
		Used: k.lastReport.CacheUsed, Room: k.lastReport.CacheTotal, Read: k.backlog.Remaining(now), Gates: len(k.gates),
		Born: k.lastReport.Born, Tries: k.updater.UnansweredOrders(), Old: k.updater.SupersededFor(now).Milliseconds(), Took: k.updater.LoadTime().Milliseconds(),
		Parts: added, Gone: removed, Kept: stored, Suspects: beechconvert.WireSuspects(beechconvert.MostCrashes(k.suspects.RecentChanges())),
	}
	for _, model := range slices.Sorted(maps.Keys(k.lastReport.Versions)) {
		message.Have = append(message.Have, beechwire.Weights{Model: model, Version: k.lastReport.Versions[model]})
	}
	return message
}

// receiveGossip answers a gate that looks for others, and whose seeds are all stale, with the
// addresses of those that follow this keeper.
func (k *Keeper) receiveGossip(from netip.AddrPort, m beechdatagram.Gossip) {
	message, ok := beechconvert.Gossip(m.Gossip)
	if list, isList := message.(beechgossip.List); !ok || !isList || !list.Reply {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	answer := beechgossip.List{}
	for address := range k.gates {
		answer.Members = append(answer.Members, beechgossip.Member{Address: address})
	}
	k.send([]netip.AddrPort{from}, beechdatagram.SameZone, beechdatagram.Gossip{Gossip: beechconvert.WireGossip(answer)})
}
