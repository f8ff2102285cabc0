package beechgate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

// paceSettleTime is the time from the announcement of a version until the observed pace
// reflects the current duration of loads.
const paceSettleTime = 2 * time.Second

// grantTurns notifies the keepers whose engines may load weights now that another engine's
// turn has ended. If it waited for the next round, turns of half a second would be followed by
// idle time of the same length.
func (g *Gate) grantTurns() {
	servers := g.collectedServers()
	if len(servers) == 0 {
		return
	}
	targets := g.targets()
	for _, s := range servers {
		if slices.ContainsFunc(targets[s.ID], func(t beechwire.Target) bool { return t.Granted }) {
			g.sendFollow(s, targets[s.ID], beechconvert.WireSuspects(nil))
		}
	}
}

// targets returns the target versions of each server.
func (g *Gate) targets() map[string][]beechwire.Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	targets := make(map[string][]beechwire.Target)
	now := g.clock.Now()
	fence := g.newestAnnouncement()
	limit := time.Duration(g.bounds.Load().Weights)
	rollouts := g.rollouts(limit)
	granted := beechrollout.Schedule(rollouts)
	for _, r := range rollouts {
		version := g.announced[r.Model]
		for id, delay := range beechrollout.FallbackDelays(r.Engines, limit) {
			targets[id] = append(targets[id], beechwire.Target{
				Model: r.Model, Version: version.Version, Fence: fence, Granted: slices.Contains(granted[r.Model], id),
				Alone: max(version.learnedAt.Add(delay).Sub(now), 0).Milliseconds(),
			})
		}
	}
	return targets
}

// rollouts returns the rollouts of all models, those announced first before the others, so that all
// gates schedule them alike. The caller holds the lock.
func (g *Gate) rollouts(limit time.Duration) []beechrollout.Rollout {
	var rollouts []beechrollout.Rollout
	for _, version := range slices.SortedFunc(maps.Values(g.announced), func(x, y announcedVersion) int {
		return cmp.Or(cmp.Compare(x.Revision, y.Revision), cmp.Compare(x.Model, y.Model))
	}) {
		engines := g.placer.RolloutEngines(version.Model)
		fleet := beechrollout.SummarizeFleet(engines, version.Version, limit-outdatedMargin)
		rollouts = append(rollouts, beechrollout.Rollout{Model: version.Model, Newest: version.Version, Engines: engines, Limit: g.rolloutPace.Limit(fleet)})
		g.warnOfLateVersion(version, fleet)
	}
	return rollouts
}

// warnOfLateVersion logs once that not all engines can load a version in time. The caller holds
// the lock.
func (g *Gate) warnOfLateVersion(version announcedVersion, fleet beechrollout.Fleet) {
	if version.lateLogged || g.clock.Since(version.learnedAt) <= paceSettleTime || !g.rolloutPace.MissesDeadline(fleet) {
		return
	}
	version.lateLogged = true
	g.announced[version.Model] = version
	g.metrics.lateVersions.Add(1)
	g.log.Warn("weights cannot be in all engines in time", zap.String("model", version.Model), zap.Uint64("version", version.Version),
		zap.Int("engines", fleet.Engines), zap.Int("behind", len(fleet.TimeLeft)), zap.Int("lost", fleet.Expired), zap.Float64("window", g.rolloutPace.Size()), zap.Duration("load", g.rolloutPace.BaseLoadTime()))
}

// newestAnnouncement returns the revision of the newest announcement of a version of any model,
// as the fencing number for keepers that do not request one. With the revision of its own
// version an order for one model could follow one for another under a lower number. The caller
// holds the lock.
func (g *Gate) newestAnnouncement() uint64 {
	newest := uint64(0)
	for _, version := range g.announced {
		newest = max(newest, version.Revision)
	}
	return newest
}

// observePhase records an engine's phase. When its turn to load weights ends, the next is
// granted.
func (g *Gate) observePhase(engine string, phase beechrollout.Phase, weights map[string]uint64, reported time.Duration) {
	if engine == "" {
		return
	}
	versions := uint64(0)
	for _, version := range weights {
		versions += version // a newer version of any model counts as a load
	}
	g.mu.Lock()
	took := g.rolloutPace.Observe(engine, phase, versions, reported, g.clock.Now())
	window, load := g.rolloutPace.Size(), g.rolloutPace.BaseLoadTime()
	g.mu.Unlock()
	if took == 0 {
		return
	}
	level := zap.DebugLevel
	if g.placer.InOwnZone(engine) {
		level = zap.InfoLevel // each gate logs its own zone's engines only, as the lines would otherwise grow with gates times engines
	}
	g.log.Log(level, "weights loaded", zap.String("server", engine), zap.Duration("took", took), zap.Duration("alone", load), zap.Float64("window", window))
	beechtask.Notify(g.turnEnded)
}
