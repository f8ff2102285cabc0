package beechgate

import (
	"cmp"
	"context"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/beechring/beechring/internal/link/beechbeat"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/request/beechplace"
)

const (
	// pacesInterval is the time between words on engines' paces. One gate alone sees an
	// engine a few times in ten seconds.
	pacesInterval = time.Second
	pacesMost     = 400 // in a datagram
	thousand      = 1000
	slowFrom      = 1.2
	slowTold      = 8 // of the slow ones
)

// tellPaces tells the other gates what first words told of engines.
func (g *Gate) tellPaces(ctx context.Context) error {
	n := uint32(0)
	return beechtask.Every(ctx, g.clock, pacesInterval, func() {
		var list []beechwire.Seen
		for _, s := range g.placer.TakePaceReports(pacesMost) {
			list = append(list, beechwire.Seen{Engine: s.Engine, Samples: s.Samples, Log: int(s.Log * thousand)})
		}
		if len(list) == 0 {
			return
		}
		n++
		g.toGates(n, false, func(pass bool) beechbeat.Message {
			return beechbeat.Paces{Paces: &beechwire.Paces{Pass: pass, List: list}}
		})
	})
}

// hearPaces takes in what another gate has seen.
func (g *Gate) hearPaces(from netip.AddrPort, p beechbeat.Paces) {
	if !g.knows(from) {
		return
	}
	if p.Pass {
		g.toZone(beechbeat.Paces{Paces: &beechwire.Paces{List: p.List}})
	}
	for _, s := range p.List {
		g.placer.MergePaceReport(beechplace.PaceReport{Engine: s.Engine, Samples: s.Samples, Log: float64(s.Log) / thousand})
	}
}

// slowest gives the engines that take notably longer than the middle one, few of them.
func slowest(paces map[string]float64) map[string]float64 {
	ids := slices.SortedFunc(maps.Keys(paces), func(x, y string) int { return cmp.Compare(paces[y], paces[x]) })
	slow := make(map[string]float64)
	for _, id := range ids[:min(len(ids), slowTold)] {
		if paces[id] > slowFrom {
			slow[id] = math.Round(paces[id]*100) / 100
		}
	}
	return slow
}
