package beechgate

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/state/beechmirror"
)

// naming is a named version with when this gate learned of it.
type naming struct {
	beechcall.WeightsVersion
	at    time.Time
	short bool // it was told that not all engines can have it in time
}

// connectionsUneven is how many times its even share of a server's connections a
// gate may have: some gates have more callers than others.
const connectionsUneven = 1.8

// setOperators takes in what operators wrote. What cannot be read leaves the
// last good state in force.
func (g *Gate) setOperators(items []beechmirror.Item) {
	c, named, err := g.needs.Operators(items)
	if err != nil {
		g.log.Error("operators' document passed over", zap.Error(err))
	}
	old := g.configuration.Load()
	if c != nil && (old == nil || c.Revision > old.Revision) {
		g.configuration.Store(c)
		g.placer.SetConfiguration(c)
		g.setQuotas(c)
		g.bound(c)
		g.log.Info("configuration in force", zap.Uint64("version", c.Version), zap.Uint64("revision", c.Revision), zap.Int("routes", len(c.Routes)))
		if old == nil {
			g.followNow()
		}
	}
	for _, n := range named {
		if !g.placer.SetLatestVersion(n.Model, n.Version) {
			continue
		}
		g.mu.Lock()
		g.named[n.Model] = naming{WeightsVersion: n, at: g.clock.Now()}
		g.mu.Unlock()
		g.log.Info("weights named", zap.String("model", n.Model), zap.Uint64("version", n.Version), zap.Uint64("revision", n.Revision))
		g.followNow()
	}
}

// bound keeps the connections to a server within what it accepts from all
// gates together.
func (g *Gate) bound(c *beechcall.Configuration) {
	least := 0
	for _, s := range c.Services {
		if s.MaxConnections > 0 && (least == 0 || s.MaxConnections < least) {
			least = s.MaxConnections
		}
	}
	g.mu.Lock()
	gates := max(g.gates, 2)
	g.mu.Unlock()
	g.needs.Pool.Bound(int(float64(least)*connectionsUneven) / gates)
}

// passOver tells of entries that name no server to use, once each time that they
// change: they may lie there for long, beside others that change often.
func (g *Gate) passOver(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	g.mu.Lock()
	was := g.passedOver
	g.passedOver = text
	g.mu.Unlock()
	if text != "" && text != was {
		g.metrics.passedOver.Add(1)
		g.log.Error("server's entry passed over", zap.Error(err))
	}
}

func (g *Gate) setServers(items []beechmirror.Item) {
	servers, err := g.needs.Servers(items)
	g.passOver(err)
	g.mu.Lock()
	old := g.servers
	g.servers = servers
	g.mu.Unlock()
	ids := make([]string, 0, len(servers))
	for _, s := range servers {
		ids = append(ids, s.ID)
	}
	g.limits.SetServers(ids)
	g.placer.SetServers(servers)
	byService := make(map[string][]netip.AddrPort)
	now := make(map[string]beechcall.Server, len(servers))
	for _, s := range servers {
		byService[s.Service] = append(byService[s.Service], s.Address)
		now[s.ID] = s
	}
	for service, addresses := range byService {
		g.health.SetServers(service, addresses)
	}
	g.noteServers(old, servers)
	for _, s := range old {
		if _, ok := now[s.ID]; !ok {
			g.needs.Pool.Forget(s.Address)
		}
	}
	if len(old) == 0 && len(servers) > 0 {
		g.followNow()
	}
}

// noteServers logs what has changed among the servers: one line for all of them,
// and one for each of this gate's zone. With a line for each server at each gate
// the lines of a fleet would grow with its square.
func (g *Gate) noteServers(old, servers []beechcall.Server) {
	before := make(map[string]beechcall.Server, len(old))
	for _, s := range old {
		before[s.ID] = s
	}
	listed, leaving := 0, 0
	for _, s := range servers {
		was, known := before[s.ID]
		delete(before, s.ID)
		if known && was.Leaving == s.Leaving {
			continue
		}
		listed++
		if s.Leaving {
			leaving++
		}
		if s.Zone == g.settings.Zone {
			g.log.Info("server listed", zap.String("server", s.ID), zap.Stringer("peer", s.Address), zap.String("service", s.Service), zap.Bool("leaving", s.Leaving))
		}
	}
	for _, s := range before {
		if s.Zone == g.settings.Zone {
			g.log.Info("server gone", zap.String("server", s.ID), zap.Stringer("peer", s.Address))
		}
	}
	if listed+len(before) > 0 {
		g.log.Info("servers changed", zap.Int("listed", listed), zap.Int("leaving", leaving), zap.Int("gone", len(before)), zap.Int("servers", len(servers)))
	}
}
