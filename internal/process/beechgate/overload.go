package beechgate

import (
	"context"
	"net/netip"
	"time"

	"github.com/beechring/beechring/internal/decision/beechroom"
	"github.com/beechring/beechring/internal/link/beechbeat"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechtask"
)

// maxOverloadedServers go into one datagram: a server is some 12 bytes.
const maxOverloadedServers = 400

// foundFull has the other gates told at once of a server that turns work away.
func (g *Gate) wakeOverloadSender() {
	beechtask.Wake(g.overloadsDue)
}

// tellFull tells the other gates which servers have turned away this one's requests.
func (g *Gate) sendOverloads(ctx context.Context) error {
	for number := uint32(0); ; number++ {
		select {
		case <-g.overloadsDue:
		case <-ctx.Done():
			return ctx.Err()
		}
		var list []beechwire.FullServer
		for _, overload := range g.overloaded.Word() {
			list = append(list, beechwire.FullServer{Server: overload.Server, Left: overload.Left.Milliseconds()})
		}
		list = list[:min(len(list), maxOverloadedServers)]
		if len(list) > 0 {
			g.sendToGates(number, false, func(pass bool) beechbeat.Message {
				return beechbeat.Full{Full: &beechwire.Full{Pass: pass, List: list}}
			})
		}
		select {
		case <-g.clock.After(beechroom.Interval(g.gateCount())):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// hearFull takes in another gate's word.
func (g *Gate) receiveOverloads(from netip.AddrPort, f beechbeat.Full) {
	if !g.isKnownGate(from) {
		return
	}
	if f.Pass {
		g.sendToZone(beechbeat.Full{Full: &beechwire.Full{List: f.List}})
	}
	overloads := make([]beechroom.Told, 0, len(f.List))
	for _, s := range f.List {
		overloads = append(overloads, beechroom.Told{Server: s.Server, Left: time.Duration(s.Left) * time.Millisecond})
	}
	g.overloaded.Hear(overloads)
}
