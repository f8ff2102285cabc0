package beechgate

import (
	"context"
	"net/netip"
	"time"

	"github.com/beechring/beechring/internal/decision/beechsaturation"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechtask"
)

// maxOverloadedServers limits a datagram, at some 12 bytes per server.
const maxOverloadedServers = 400

// wakeOverloadSender makes sendOverloads send at once.
func (g *Gate) wakeOverloadSender() {
	beechtask.Wake(g.overloadsDue)
}

// sendOverloads tells the other gates which servers have rejected requests of this gate.
func (g *Gate) sendOverloads(ctx context.Context) error {
	for round := uint32(0); ; round++ {
		select {
		case <-g.overloadsDue:
		case <-ctx.Done():
			return ctx.Err()
		}
		var servers []beechwire.FullServer
		for _, overload := range g.overloaded.NextUpdate() {
			servers = append(servers, beechwire.FullServer{Server: overload.Server, Left: overload.Remaining.Milliseconds()})
		}
		servers = servers[:min(len(servers), maxOverloadedServers)]
		if len(servers) > 0 {
			g.sendToGates(round, false, func(pass bool) beechdatagram.Message {
				return beechdatagram.Full{Full: &beechwire.Full{Pass: pass, List: servers}}
			})
		}
		select {
		case <-g.clock.After(beechsaturation.UpdateInterval(g.gateCount())):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// receiveOverloads handles the overloaded servers sent by another gate.
func (g *Gate) receiveOverloads(from netip.AddrPort, f beechdatagram.Full) {
	if !g.isKnownGate(from) {
		return
	}
	if f.Pass {
		g.sendToZone(beechdatagram.Full{Full: &beechwire.Full{List: f.List}})
	}
	overloads := make([]beechsaturation.FullServer, 0, len(f.List))
	for _, s := range f.List {
		overloads = append(overloads, beechsaturation.FullServer{Server: s.Server, Remaining: time.Duration(s.Left) * time.Millisecond})
	}
	g.overloaded.ApplyUpdate(overloads)
}
