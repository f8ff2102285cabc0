package beechgate

import (
	"net/netip"

	"github.com/beechring/beechring/internal/link/beechdatagram"
)

// receiveStrains handles how the hosts of engines do at this moment.
func (g *Gate) receiveStrains(netip.AddrPort, beechdatagram.Pressure) {}
