package beechgate

import (
	"net/netip"

	"github.com/beechring/beechring/internal/link/beechdatagram"
)

// receivePressure handles what a keeper tells of its engine's host, and what other gates are asked for.
func (g *Gate) receivePressure(from netip.AddrPort, m beechdatagram.Pressure) {
	if !g.isKeeper(from) && !g.isKnownGate(from) {
		return
	}
	g.receiveStrains(from, m)
	g.receiveDemands(from, m)
}
