package beechgate

import (
	"context"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/request/beechcall"
)

const (
	// poisonPause gathers what one crash brings about in one message.
	poisonPause = 40 * time.Millisecond
	// poisonRepeat is the time between messages while there is something to repeat.
	poisonRepeat = 250 * time.Millisecond
	// poisonRefresh is the time between messages that tell what is blamed to gates that have
	// started or were cut off.
	poisonRefresh = time.Second
	// keeperRefresh is the number of rounds of followKeepers between those in which keepers are
	// told what is blamed, for the time when all gates start anew.
	keeperRefresh = 4
	// askingRounds is the number of first rounds of followKeepers in which a gate asks for it.
	askingRounds = 4
)

func (g *Gate) wakePoisonSender() { beechtask.Notify(g.poisonDue) }

// poisonTurn returns how many gates may begin a trial before this one.
func (g *Gate) poisonTurn(key uint64) int {
	score := func(gate netip.AddrPort) uint64 {
		return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(gate.String()), key))
	}
	own, before := score(g.members.Self()), 0
	for _, m := range g.members.Members() {
		if m.Address != g.members.Self() && score(m.Address) < own {
			before++
		}
	}
	return before
}

// sendPoison tells the other gates what servers crashed on.
func (g *Gate) sendPoison(ctx context.Context) error {
	var refreshed time.Time
	for round := uint32(0); ; round++ {
		var repeat <-chan time.Time
		if g.poison.Busy() {
			repeat = g.clock.After(poisonRepeat)
		}
		select {
		case <-g.poisonDue:
		case <-repeat:
		case <-ctx.Done():
			return ctx.Err()
		}
		g.sendNewPoison(round)
		if now := g.clock.Now(); now.Sub(refreshed) >= poisonRefresh {
			refreshed = now
			g.refreshPoison(round)
		}
		select {
		case <-g.clock.After(poisonPause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendNewPoison sends what is new, through the collectors of this zone.
func (g *Gate) sendNewPoison(round uint32) {
	t := g.topology.Load()
	collectors := t.Collectors[g.settings.Zone]
	if len(collectors) > 0 && !slices.Contains(collectors, t.Self) {
		g.sendPoisonNear(collectors, g.poison.Next(beechpoison.Collector))
		return
	}
	g.sendPoisonNear(t.Neighbors, g.poison.Next(beechpoison.Near))
	g.sendPoisonFar(round, g.poison.Next(beechpoison.Far))
}

// refreshPoison tells what is blamed: a collector to its zone, and the first gates of a large fleet
// to all zones.
func (g *Gate) refreshPoison(round uint32) {
	active := g.poison.Active()
	t := g.topology.Load()
	if slices.Contains(t.Collectors[g.settings.Zone], t.Self) {
		g.sendPoisonNear(t.Neighbors, active)
	}
	if t.Direct || slices.Contains(t.Readers, t.Self) {
		g.sendPoisonFar(round, active)
	}
}

func (g *Gate) sendPoisonNear(to []netip.AddrPort, u beechpoison.Update) {
	if !u.IsEmpty() {
		g.sendToPeers(to, beechdatagram.Poison{Poison: beechconvert.WirePoison(u, false)})
	}
}

func (g *Gate) sendPoisonFar(round uint32, u beechpoison.Update) {
	if !u.IsEmpty() {
		g.sendToOtherZones(round, false, beechdatagram.Poison{Poison: beechconvert.WirePoison(u, true)})
	}
}

// tellKeepersOfPoison sends keepers what is blamed. A gate that starts sends an empty message, which
// asks for it.
func (g *Gate) tellKeepersOfPoison(round int, servers []netip.AddrPort) {
	active := g.poison.Active()
	if round >= askingRounds && (active.IsEmpty() || round%keeperRefresh != 0) {
		return
	}
	message := beechdatagram.Poison{Poison: beechconvert.WirePoison(active, false)}
	if round < askingRounds {
		message = beechdatagram.Poison{Poison: beechconvert.WirePoison(beechpoison.Update{}, false)}
		g.sendToPeers(g.topology.Load().Neighbors, message)
	}
	for _, keeper := range servers {
		if err := g.socket.Send(keeper, beechdatagram.SameZone, message); err != nil {
			g.log.Debug("send to keeper failed", zap.Stringer("peer", keeper), zap.Error(err))
		}
	}
}

// receivePoison handles what another gate or a keeper tells.
func (g *Gate) receivePoison(from netip.AddrPort, m beechdatagram.Poison) {
	if !g.isKeeper(from) && !g.isKnownGate(from) {
		return
	}
	update := beechconvert.Poison(m.Poison)
	if update.IsEmpty() {
		if active := g.poison.Active(); !active.IsEmpty() {
			g.sendTo(from, beechdatagram.Poison{Poison: beechconvert.WirePoison(active, false)})
		}
		return
	}
	origin := beechpoison.Elsewhere
	if g.scopeToGate(from) == beechdatagram.SameZone {
		origin = beechpoison.Zone
	}
	g.poison.Apply(update, origin)
}

// isKeeper reports whether a message comes from the keeper of a listed server.
func (g *Gate) isKeeper(from netip.AddrPort) bool {
	return from.Port() == g.settings.Beats.Port() && slices.ContainsFunc(g.keeperServers(), func(s beechcall.Server) bool { return s.Address.Addr() == from.Addr() })
}
