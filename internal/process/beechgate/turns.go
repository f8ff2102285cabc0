package beechgate

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechshare"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

// shortAfter a version was named the pace has seen what loads take now.
const shortAfter = 2 * time.Second

// grantTurns tells the keepers whose turn has come now that another engine's
// has ended. At the follow interval alone, turns of half a second would stand
// empty for as long again.
func (g *Gate) grantTurns() {
	targets := g.targets()
	for _, s := range g.keptServers() {
		if slices.ContainsFunc(targets[s.ID], func(t beechwire.Target) bool { return t.Granted }) {
			g.follow(s, targets[s.ID], beechshare.WireSuspects(nil))
		}
	}
}

// targets gives the targets of each server.
func (g *Gate) targets() map[string][]beechwire.Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	targets := make(map[string][]beechwire.Target)
	now := g.clock.Now()
	for model, n := range g.named {
		engines := g.placer.RolloutEngines(model)
		bound := time.Duration(g.bounds.Load().Weights)
		fleet := beechrollout.SummarizeFleet(engines, n.Version, bound-oldMargin)
		granted := beechrollout.NextUpdates(engines, n.Version, g.pace.Limit(fleet))
		if !n.short && now.Sub(n.at) > shortAfter && g.pace.MissesDeadline(fleet) {
			n.short = true
			g.named[model] = n
			g.metrics.short.Add(1)
			g.log.Warn("weights cannot be in all engines in time", zap.String("model", model), zap.Uint64("version", n.Version),
				zap.Int("engines", fleet.Engines), zap.Int("behind", len(fleet.TimeLeft)), zap.Int("lost", fleet.Expired), zap.Float64("window", g.pace.Size()), zap.Duration("load", g.pace.BaseLoadTime()))
		}
		for id, alone := range beechrollout.FallbackDelays(engines, bound) {
			targets[id] = append(targets[id], beechwire.Target{
				Model: model, Version: n.Version, Fence: n.Revision, Granted: slices.Contains(granted, id),
				Alone: max(n.at.Add(alone).Sub(now), 0).Milliseconds(),
			})
		}
	}
	return targets
}

// sawPhase takes in an engine's phase. When its turn ends another one's comes.
func (g *Gate) sawPhase(engine string, phase beechrollout.Phase, weights map[string]uint64, told time.Duration) {
	if engine == "" {
		return
	}
	versions := uint64(0)
	for _, version := range weights {
		versions += version // any model's newer version is a load
	}
	g.mu.Lock()
	took := g.pace.Observe(engine, phase, versions, told, g.clock.Now())
	window, load := g.pace.Size(), g.pace.BaseLoadTime()
	g.mu.Unlock()
	if took == 0 {
		return
	}
	level := zap.DebugLevel
	if g.placer.InOwnZone(engine) {
		level = zap.InfoLevel // each gate tells of its own zone's engines, or lines would grow with gates times engines
	}
	g.log.Log(level, "weights loaded", zap.String("server", engine), zap.Duration("took", took), zap.Duration("alone", load), zap.Float64("window", window))
	beechtask.Wake(g.turnNews)
}
