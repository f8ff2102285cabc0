package beechgate

import (
	"net/netip"

	"github.com/beechring/beechring/internal/link/beechdatagram"
)

// receiveDemands handles what other gates are asked for.
func (g *Gate) receiveDemands(netip.AddrPort, beechdatagram.Pressure) {}
