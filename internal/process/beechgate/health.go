package beechgate

import (
	"net/netip"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// sendHealthPath tells a server's keeper where the server says how slow its host is at this moment,
// if servers of its service say so and streams are limited in their pauses. Keepers of the release
// before skip the message.
func (g *Gate) sendHealthPath(s beechcall.Server) {
	c := g.configuration.Load()
	path := c.Services[s.Service].HealthPath
	if path == "" || !c.LimitsPauses(s.Service) || !g.placer.TellsSlowness(s.Service) {
		return
	}
	address := netip.AddrPortFrom(s.Address.Addr(), g.settings.Beats.Port())
	if err := g.socket.Send(address, g.scopeTo(s), beechdatagram.Health{Health: &beechwire.Health{Path: path}}); err != nil {
		g.log.Debug("send to keeper failed", zap.String("server", s.ID), zap.Error(err))
	}
}
