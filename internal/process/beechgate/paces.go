package beechgate

import (
	"cmp"
	"context"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/request/beechplace"
)

const (
	// pacesInterval is the time between messages about engines' paces. A single gate samples
	// each engine a few times in ten seconds.
	pacesInterval       = time.Second
	maxPacesPerDatagram = 400
	fixedPointScale     = 1000
	// slowThreshold is the pace from which on an engine is listed as slow.
	slowThreshold = 1.2
	maxSlowListed = 8 // slow engines that are listed at most
)

// sendPaces sends this gate's samples of engines' paces to the other gates.
func (g *Gate) sendPaces(ctx context.Context) error {
	round := uint32(0)
	return beechtask.Every(ctx, g.clock, pacesInterval, func() {
		var list []beechwire.Seen
		for _, s := range g.placer.TakePaceReports(maxPacesPerDatagram) {
			list = append(list, beechwire.Seen{Engine: s.Engine, Samples: s.Samples, Log: int(s.Log * fixedPointScale)})
		}
		if len(list) == 0 {
			return
		}
		round++
		g.sendToGates(round, false, func(pass bool) beechdatagram.Message {
			return beechdatagram.Paces{Paces: &beechwire.Paces{Pass: pass, List: list}}
		})
	})
}

// receivePaces merges the samples of another gate.
func (g *Gate) receivePaces(from netip.AddrPort, p beechdatagram.Paces) {
	if !g.isKnownGate(from) {
		return
	}
	if p.Pass {
		g.sendToZone(beechdatagram.Paces{Paces: &beechwire.Paces{List: p.List}})
	}
	for _, s := range p.List {
		g.placer.MergePaceReport(beechplace.PaceReport{Engine: s.Engine, Samples: s.Samples, Log: float64(s.Log) / fixedPointScale})
	}
}

// slowEngines returns the pace of the slowest engines that are notably slower than the median.
func slowEngines(paces map[string]float64) map[string]float64 {
	ids := slices.SortedFunc(maps.Keys(paces), func(x, y string) int { return cmp.Compare(paces[y], paces[x]) })
	slow := make(map[string]float64)
	for _, id := range ids[:min(len(ids), maxSlowListed)] {
		if paces[id] > slowThreshold {
			slow[id] = math.Round(paces[id]*100) / 100
		}
	}
	return slow
}
