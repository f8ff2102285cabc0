package beechgate

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechadmission"
	"github.com/beechring/beechring/internal/decision/beechsummary"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/process/beechtask"
)

const (
	// demandsInterval is the time between messages of this gate to a collector, which each of them
	// covers, and between those of a collector to the other gates. What is asked changes within
	// seconds.
	demandsInterval = 500 * time.Millisecond
	// maxDemands is the number of demands in one message, at some 20 bytes each: the ranks of
	// a few services, and the workspaces that ask most.
	maxDemands = 100
)

// admissionMode returns the mode in which services are controlled: where callers compete for room,
// auto is on for all of them.
func admissionMode(mode beechadmission.Mode, callersCompete bool) beechadmission.Mode {
	if mode == beechadmission.Auto && callersCompete {
		return beechadmission.On
	}
	return mode
}

// sendDemands tells the other gates what this one is asked for, through the collectors of this zone,
// which sum it up. Nothing is sent for services without admission control.
func (g *Gate) sendDemands(ctx context.Context) error {
	round := 0
	return beechtask.Every(ctx, g.clock, demandsInterval, func() {
		round++
		t := g.topology.Load()
		for _, s := range g.admission.EndedShortages() {
			g.log.Info("room is no longer short", zap.String("service", s.Service), zap.Duration("lasted", s.Lasted), zap.Int("refused", s.Refused))
		}
		demands, controls := g.admission.TakeDemands()
		demands = beechadmission.MostAsked(demands, maxDemands)
		collectors := t.Collectors[g.settings.Zone]
		if slices.Contains(collectors, t.Self) || len(collectors) == 0 {
			if controls {
				g.demands.Add(demands, demandsInterval, true)
			}
			g.sendDemandTotals(uint32(round))
			return
		}
		if controls {
			g.sendToPeers(collectors[round%len(collectors):][:1], pressureOf(demands, demandsInterval, true))
		}
	})
}

func (g *Gate) sendDemandTotals(round uint32) {
	if near, covered := g.demands.Take(beechadmission.Near, maxDemands); covered > 0 {
		g.admission.Merge(near, covered)
		g.sendDemandsToZone(round, pressureOf(near, covered, false))
	}
	if far, covered := g.demands.Take(beechadmission.Far, maxDemands); covered > 0 {
		g.sendToOtherZones(round, false, pressureOf(far, covered, true))
	}
}

// sendDemandsToZone sends a message to all gates of this zone. If they are many, some of them forward
// the message.
func (g *Gate) sendDemandsToZone(round uint32, m beechdatagram.Pressure) {
	var direct []netip.AddrPort
	for _, branch := range beechsummary.Fan(g.topology.Load().Neighbors, round) {
		if len(branch.Forward) == 0 {
			direct = append(direct, branch.To)
			continue
		}
		message := *m.Pressure
		message.Forward = beechconvert.WireAddresses(branch.Forward)
		g.sendToPeers([]netip.AddrPort{branch.To}, beechdatagram.Pressure{Pressure: &message})
	}
	g.sendToPeers(direct, m)
}

// forwardDemands sends a collector's message on to the gates of this zone that it names.
func (g *Gate) forwardDemands(m beechdatagram.Pressure) {
	t := g.topology.Load()
	to := slices.DeleteFunc(beechconvert.Addresses(m.Forward), func(a netip.AddrPort) bool { return t.ZoneOf[a] != g.settings.Zone })
	g.sendToPeers(to, beechdatagram.Pressure{Pressure: &beechwire.Pressure{Millis: m.Millis, Demands: m.Demands}})
}

func pressureOf(demands []beechadmission.Demand, covered time.Duration, pass bool) beechdatagram.Pressure {
	return beechdatagram.Pressure{Pressure: &beechwire.Pressure{
		Pass: pass, Millis: covered.Milliseconds(), Demands: beechconvert.WireDemands(demands),
	}}
}

// receiveDemands handles what other gates are asked for.
func (g *Gate) receiveDemands(from netip.AddrPort, m beechdatagram.Pressure) {
	if m.Millis <= 0 || !g.isKnownGate(from) {
		return
	}
	if len(m.Forward) > 0 {
		g.forwardDemands(m)
	}
	demands, covered := beechconvert.Demands(m.Demands), time.Duration(m.Millis)*time.Millisecond
	if m.Pass {
		g.demands.Add(demands, covered, g.scopeToGate(from) == beechdatagram.SameZone)
		return
	}
	g.admission.Merge(demands, covered)
}
