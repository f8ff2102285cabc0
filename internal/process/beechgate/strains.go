package beechgate

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/beechring/beechring/internal/decision/beechstrain"
	"github.com/beechring/beechring/internal/decision/beechsummary"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/process/beechtask"
)

// receiveStrains handles how the hosts of engines do at this moment, as a keeper or another
// gate tells.
func (g *Gate) receiveStrains(from netip.AddrPort, m beechdatagram.Pressure) {
	if len(m.Strains) == 0 {
		return
	}
	if g.members.Contains(from) {
		g.receiveSharedStrains(from, m)
	} else {
		g.receiveKeeperStrains(from.Addr(), m)
	}
	beechtask.Notify(g.strainsDue)
}

// receiveKeeperStrains handles what the keeper on an engine's host reports. It speaks for that
// host only.
func (g *Gate) receiveKeeperStrains(host netip.Addr, m beechdatagram.Pressure) {
	role := beechstrain.Listener
	if rank, collected := g.topology.Load().Collects[g.placer.ZoneOfHost(host)]; collected {
		role = beechstrain.RoleOf(host, rank.Slot, rank.Alone)
	}
	for _, s := range beechconvert.Strains(m.Strains, host) {
		if s.Host == host && g.strains.Report(s, role) {
			g.placer.UpdateStrain(s)
		}
	}
}

// receiveSharedStrains handles what a collector passes on.
func (g *Gate) receiveSharedStrains(from netip.AddrPort, m beechdatagram.Pressure) {
	if len(m.Forward) > 0 {
		g.forwardStrains(m)
	}
	handOn := m.Pass && g.scopeToGate(from) == beechdatagram.CrossZone
	for _, s := range g.strains.Apply(beechconvert.Strains(m.Strains, from.Addr()), handOn) {
		g.placer.UpdateStrain(s)
	}
}

// forwardStrains sends a collector's message on to the gates of this zone that it names.
func (g *Gate) forwardStrains(m beechdatagram.Pressure) {
	t := g.topology.Load()
	var to []netip.AddrPort
	for _, a := range beechconvert.Addresses(m.Forward) {
		if t.ZoneOf[a] == g.settings.Zone {
			to = append(to, a)
		}
	}
	g.sendToPeers(to, beechdatagram.Pressure{Pressure: &beechwire.Pressure{Strains: m.Strains}})
}

// sendStrains passes on what keepers and the collectors of other zones report.
func (g *Gate) sendStrains(ctx context.Context) error {
	for round := rand.Uint32(); ctx.Err() == nil; round++ {
		near, far := g.strains.Due(beechstrain.Near), g.strains.Due(beechstrain.Far)
		if wait := min(near, far); wait > 0 {
			g.waitForStrains(ctx, wait)
			continue
		}
		if near == 0 {
			g.sendStrainsToZone(round, beechconvert.WireStrains(g.strains.Next(beechstrain.Near)))
		}
		if far == 0 {
			message := &beechwire.Pressure{Pass: true, Strains: beechconvert.WireStrains(g.strains.Next(beechstrain.Far))}
			g.sendToOtherZones(round, false, beechdatagram.Pressure{Pressure: message})
		}
	}
	return ctx.Err()
}

func (g *Gate) waitForStrains(ctx context.Context, wait time.Duration) {
	var timer <-chan time.Time
	if wait != beechstrain.Never {
		timer = g.clock.After(wait)
	}
	select {
	case <-timer:
	case <-g.strainsDue:
	case <-ctx.Done():
	}
}

// sendStrainsToZone sends strains to all gates of this zone. If they are many, some of them
// forward the message.
func (g *Gate) sendStrainsToZone(round uint32, strains []beechwire.Strain) {
	var direct []netip.AddrPort
	for _, branch := range beechsummary.Fan(g.topology.Load().Neighbors, round) {
		if len(branch.Forward) == 0 {
			direct = append(direct, branch.To)
			continue
		}
		message := &beechwire.Pressure{Strains: strains, Forward: beechconvert.WireAddresses(branch.Forward)}
		g.sendToPeers([]netip.AddrPort{branch.To}, beechdatagram.Pressure{Pressure: message})
	}
	g.sendToPeers(direct, beechdatagram.Pressure{Pressure: &beechwire.Pressure{Strains: strains}})
}
