package beechgate

import (
	"context"
	"net/netip"
	"time"

	"github.com/beechring/beechring/internal/decision/beechsaturation"
	"github.com/beechring/beechring/internal/link/beechbeat"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechtask"
)

// fullListMost go into one datagram: a server is some 12 bytes.
const fullListMost = 400

// foundFull has the other gates told at once of a server that turns work away.
func (g *Gate) foundFull() {
	beechtask.Wake(g.fullNews)
}

// tellFull tells the other gates which servers have turned away this one's requests.
func (g *Gate) tellFull(ctx context.Context) error {
	for number := uint32(0); ; number++ {
		select {
		case <-g.fullNews:
		case <-ctx.Done():
			return ctx.Err()
		}
		var list []beechwire.FullServer
		for _, told := range g.full.NextUpdate() {
			list = append(list, beechwire.FullServer{Server: told.Server, Left: told.Remaining.Milliseconds()})
		}
		list = list[:min(len(list), fullListMost)]
		if len(list) > 0 {
			g.toGates(number, false, func(pass bool) beechbeat.Message {
				return beechbeat.Full{Full: &beechwire.Full{Pass: pass, List: list}}
			})
		}
		select {
		case <-g.clock.After(beechsaturation.UpdateInterval(g.manyGates())):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// hearFull takes in another gate's word.
func (g *Gate) hearFull(from netip.AddrPort, f beechbeat.Full) {
	if !g.knows(from) {
		return
	}
	if f.Pass {
		g.toZone(beechbeat.Full{Full: &beechwire.Full{List: f.List}})
	}
	word := make([]beechsaturation.FullServer, 0, len(f.List))
	for _, s := range f.List {
		word = append(word, beechsaturation.FullServer{Server: s.Server, Remaining: time.Duration(s.Left) * time.Millisecond})
	}
	g.full.ApplyUpdate(word)
}
