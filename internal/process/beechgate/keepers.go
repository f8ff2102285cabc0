package beechgate

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechbeat"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechshare"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechplace"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

// followNow has the keepers told at once.
func (g *Gate) followNow() {
	select {
	case g.news <- struct{}{}:
	default:
	}
}

// followKeepers asks the keepers for their engines' state, and tells them what
// these are to have.
func (g *Gate) followKeepers(ctx context.Context) error {
	for {
		g.followOnce()
		next := g.clock.After(followInterval)
	turns:
		for {
			select {
			case <-g.turnNews:
				g.grantTurns()
			case <-next:
				break turns
			case <-g.news:
				break turns
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

func (g *Gate) followOnce() {
	if g.Leaving() {
		return
	}
	g.mu.Lock()
	servers := g.servers
	g.mu.Unlock()
	targets := g.targets()
	suspects := beechshare.WireSuspects(beechshare.Worst(g.suspects.News()))
	for _, s := range servers {
		if g.keeps(s) {
			g.follow(s, targets[s.ID], suspects)
		}
	}
}

// grantTurns tells the keepers whose turn has come now that another engine's
// has ended. At the follow interval alone, turns of half a second would stand
// empty for as long again.
func (g *Gate) grantTurns() {
	if g.Leaving() {
		return
	}
	g.mu.Lock()
	servers := g.servers
	g.mu.Unlock()
	targets := g.targets()
	for _, s := range servers {
		if slices.ContainsFunc(targets[s.ID], func(t beechwire.Target) bool { return t.Granted }) {
			g.follow(s, targets[s.ID], beechshare.WireSuspects(nil))
		}
	}
}

// keeps tells whether a server has a keeper: plain services' have none, nor has
// what somebody wrote there for a service that operators do not name.
func (g *Gate) keeps(s beechcall.Server) bool {
	if c := g.configuration.Load(); c != nil {
		if _, named := c.Services[s.Service]; !named {
			return false
		}
	}
	return len(s.Weights) > 0
}

func (g *Gate) follow(s beechcall.Server, targets []beechwire.Target, suspects []beechwire.Suspect) {
	to := netip.AddrPortFrom(s.Address.Addr(), g.settings.Beats.Port())
	follow := &beechwire.Follow{Gate: g.settings.Name, Zone: g.settings.Zone, Targets: targets, Suspects: suspects}
	if err := g.socket.Send(to, beechbeat.Follow{Follow: follow}); err != nil {
		g.log.Debug("keeper not told", zap.String("server", s.ID), zap.Error(err))
	}
}

// targets gives the targets of each server.
func (g *Gate) targets() map[string][]beechwire.Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	targets := make(map[string][]beechwire.Target)
	now := g.clock.Now()
	for model, n := range g.named {
		engines := g.placer.Standing(model)
		granted := beechrollout.Turns(engines, n.Version, g.pace.Most(len(engines)))
		for id, alone := range beechrollout.Alone(engines, time.Duration(g.bounds.Load().Weights)) {
			targets[id] = append(targets[id], beechwire.Target{
				Model: model, Version: n.Version, Fence: n.Revision, Granted: slices.Contains(granted, id),
				Alone: max(n.at.Add(alone).Sub(now), 0).Milliseconds(),
			})
		}
	}
	return targets
}

// sawPhase takes in an engine's phase. When its turn ends another one's comes.
func (g *Gate) sawPhase(engine string, phase beechrollout.Phase, weights map[string]uint64) {
	if engine == "" {
		return
	}
	versions := uint64(0)
	for _, version := range weights {
		versions += version // any model's newer version is a load
	}
	g.mu.Lock()
	took := g.pace.Saw(engine, phase, versions, g.clock.Now())
	window, load := g.pace.Window(), g.pace.Load()
	g.mu.Unlock()
	if took == 0 {
		return
	}
	g.log.Info("weights loaded", zap.String("server", engine), zap.Duration("took", took), zap.Duration("alone", load), zap.Float64("window", window))
	select {
	case g.turnNews <- struct{}{}:
	default:
	}
}

// announce tells a keeper of a prompt that is on its way to its engine.
func (g *Gate) announce(s beechcall.Server, tokens int, parts []uint64, kept bool) {
	to := netip.AddrPortFrom(s.Address.Addr(), g.settings.Beats.Port())
	if err := g.socket.Send(to, beechbeat.Announce{Announce: &beechwire.Announce{Read: tokens, Parts: parts, Kept: kept}}); err != nil {
		g.log.Debug("keeper not told", zap.String("server", s.ID), zap.Error(err))
	}
}

// hear takes in a keeper's word.
func (g *Gate) hear(from netip.AddrPort, m beechbeat.Message) {
	tell, ok := m.(beechbeat.Tell)
	if !ok {
		return
	}
	weights := make(map[string]uint64, len(tell.Have))
	for _, w := range tell.Have {
		weights[w.Model] = w.Version
	}
	engine := g.placer.Tell(beechplace.State{
		Address: netip.AddrPortFrom(from.Addr(), tell.Port), Phase: beechrollout.Phase(tell.Phase), Weights: weights, Born: tell.Born,
		Reading: tell.Read, Running: tell.Run, Waiting: tell.Wait, CacheUsed: tell.Used, CacheTotal: tell.Room, Parts: tell.Parts, Gone: tell.Gone, Kept: tell.Kept,
	})
	g.sawPhase(engine, beechrollout.Phase(tell.Phase), weights)
	g.suspects.Merge(beechshare.SuspectRecords(tell.Suspects))
	g.setGates(tell.Gates)
}

// setGates follows the number of gates that keepers see. It grows at once and
// shrinks slowly: keepers that see fewer may be cut off from some.
func (g *Gate) setGates(n int) {
	g.mu.Lock()
	old := g.gates
	g.gates = max(g.gates, n)
	now := g.gates
	g.mu.Unlock()
	if now == old {
		return
	}
	g.budgets.SetGates(now)
	g.placer.SetFronts(now)
	if c := g.configuration.Load(); c != nil {
		g.bound(c)
	}
}
