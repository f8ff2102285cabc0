package beechgate

import (
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechfresh"
	"github.com/beechring/beechring/internal/state/beechera"
	"github.com/beechring/beechring/internal/state/beechmirror"
)

// announcedVersion is a version of a model's weights that operators announced.
type announcedVersion struct {
	beechcall.WeightsVersion
	learnedAt  time.Time // when this gate learned of it
	lateLogged bool      // a warning that not all engines can load it in time was logged
}

// connectionSkew is the factor on a gate's even share of a server's connections. It exceeds 1
// because some gates have more callers than others.
const connectionSkew = 1.8

const (
	minConnections = 2 // to each server
	minGates       = 2 // that are assumed to share a server
)

// configurationAge tracks how long ago the store confirmed the configuration that is in force. A read of a version that
// could not be read confirms the copy of the store and what was read of it, not what is left of the version before:
// otherwise what the new version ends, like a key, would stay valid for as long as that is the newest.
type configurationAge struct {
	*beechfresh.Tracker                     // of the copy
	keys                *beechfresh.Tracker // of the workspaces and their keys in force
	whole               *beechfresh.Tracker // of all that is in force
	unreadKeys          atomic.Bool         // the keys of the newest version could not all be read
	unread              atomic.Bool         // some part of the newest version could not be read
}

func newConfigurationAge(c beechfresh.Clock) *configurationAge {
	return &configurationAge{Tracker: beechfresh.New(c), keys: beechfresh.New(c), whole: beechfresh.New(c)}
}

// Confirm implements beechmirror.Freshness.
func (a *configurationAge) Confirm(asked time.Duration) {
	a.Tracker.Confirm(asked)
	if !a.unreadKeys.Load() {
		a.keys.Confirm(asked)
	}
	if !a.unread.Load() {
		a.whole.Confirm(asked)
	}
}

// setUnread records what of the newest version could not be read, and reports whether it all was read again.
func (a *configurationAge) setUnread(u beechcall.Unread) (ended bool) {
	a.unreadKeys.Store(u.Workspaces)
	return a.unread.Swap(u.Any()) && !u.Any()
}

// nextConfiguration returns what is in force after a configuration was read, or nil if that is what was before, and what of
// the newest version is not in force.
func nextConfiguration(c, previous *beechcall.Configuration) (next *beechcall.Configuration, unread beechcall.Unread) {
	if previous != nil {
		unread = previous.Unread
	}
	if c == nil || previous != nil && c.Revision <= previous.Revision {
		return nil, unread
	}
	if next = c.CompletedBy(previous); next == nil {
		return nil, c.Unread
	}
	if previous != nil && !supersedes(next, previous) {
		return nil, unread
	}
	return next, next.Unread
}

// setOperators applies the operators' documents. Of documents that cannot be read as a whole, what can be read is applied,
// and the rest of the state before stays until its age ends it.
func (g *Gate) setOperators(items []beechmirror.Item) {
	read, named, err := g.deps.Operators(items)
	previous := g.configuration.Load()
	c, unread := nextConfiguration(read, previous)
	if err != nil {
		g.log.Error("operator document not read as a whole", zap.Any("unread", unread), zap.Error(err))
	}
	if g.freshness.setUnread(unread) {
		g.operatorMirror.ReadNow() // confirms it
	}
	if c != nil {
		idle := g.idleTimeout()
		g.configuration.Store(c)
		if g.idleTimeout() != idle {
			g.connections.Refresh()
		}
		g.placer.SetConfiguration(c)
		g.setQuotas(c)
		g.origins.setLifetime(c)
		g.limitConnections(c)
		g.log.Info("configuration in force", zap.Uint64("version", c.Version), zap.Uint64("revision", plainRevision(c.Revision)), zap.Int("routes", len(c.Routes)), zap.Int("isolated", len(c.Isolated)))
		if previous == nil {
			g.refreshDuties()
			g.requestFollow()
			beechtask.Notify(g.usageDue) // until it has exchanged usage, this gate uses only a share of the quotas
		}
	}
	for _, version := range named {
		if !g.placer.SetLatestVersion(version.Model, version.Version) {
			g.raiseFence(version)
			continue
		}
		g.mu.Lock()
		g.announced[version.Model] = announcedVersion{WeightsVersion: version, learnedAt: g.clock.Now()}
		g.mu.Unlock()
		g.log.Info("weights named", zap.String("model", version.Model), zap.Uint64("version", version.Version), zap.Uint64("revision", plainRevision(version.Revision)))
		g.requestFollow()
	}
}

// supersedes reports whether a configuration replaces the one in force. A restored store may
// list one that operators have replaced since, and which they will write again; until then the
// one in force stays.
func supersedes(c, inForce *beechcall.Configuration) bool {
	if beechera.Same(c.Revision, inForce.Revision) {
		return c.Revision > inForce.Revision
	}
	return c.Revision > inForce.Revision && c.Version >= inForce.Version
}

// raiseFence takes the fencing number of a version that is known, if it is higher: after a
// restore of the store, gates that have started since know only the new one.
func (g *Gate) raiseFence(version beechcall.WeightsVersion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known, ok := g.announced[version.Model]; ok && known.Version == version.Version && known.Revision < version.Revision {
		known.Revision = version.Revision
		g.announced[version.Model] = known
	}
}

// configurationVersion returns the version of the configuration in force, or 0 if there is none.
func (g *Gate) configurationVersion() uint64 {
	if c := g.configuration.Load(); c != nil {
		return c.Version
	}
	return 0
}

// readOperators has the operators' documents read now.
func (g *Gate) readOperators() { g.operatorMirror.ReadNow() }

// plainRevision returns a revision as the store shows it.
func plainRevision(ordered uint64) uint64 {
	_, revision := beechera.Split(ordered)
	return revision
}

// limitConnections bounds this gate's connections to each server, so that all gates together
// stay within what the server accepts.
func (g *Gate) limitConnections(c *beechcall.Configuration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	limits := make(map[netip.AddrPort]int, len(g.servers))
	for _, s := range g.servers {
		if share := connectionShare(c.Services[s.Service].MaxConnections, g.gates); share > 0 {
			limits[s.Address] = share
		}
	}
	g.deps.Pool.SetLimits(limits)
}

// connectionShare returns how many connections to a server one of the gates may open, or 0 if
// the server names no limit. Each gate may open a few, however many there are: with none it
// would serve nothing, and a server resets the connections beyond its limit.
func connectionShare(limit, gates int) int {
	if limit <= 0 {
		return 0
	}
	return max(int(float64(limit)*connectionSkew)/max(gates, minGates), minConnections)
}

// logEntryError logs invalid server entries once each time that the set of them changes: they
// may stay for long, next to entries that change often.
func (g *Gate) logEntryError(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	g.mu.Lock()
	previous := g.entryError
	g.entryError = text
	g.mu.Unlock()
	if text != "" && text != previous {
		g.metrics.invalidEntries.Add(1)
		g.log.Error("invalid server entry ignored", zap.Error(err))
	}
}

func (g *Gate) setServers(items []beechmirror.Item) {
	servers, err := g.deps.Servers(items)
	g.logEntryError(err)
	g.mu.Lock()
	previous := g.servers
	g.departures.retain(previous, servers)
	g.servers = servers
	g.mu.Unlock()
	ids := make([]string, 0, len(servers))
	for _, s := range servers {
		ids = append(ids, s.ID)
	}
	g.limits.SetServers(ids)
	g.placer.SetServers(servers)
	g.observeVersions(servers)
	byService := make(map[string][]netip.AddrPort)
	current := make(map[string]beechcall.Server, len(servers))
	for _, s := range servers {
		byService[s.Service] = append(byService[s.Service], s.Address)
		current[s.ID] = s
	}
	for service, addresses := range byService {
		g.health.SetServers(service, addresses)
	}
	if c := g.configuration.Load(); c != nil {
		g.limitConnections(c)
	}
	g.logServerChanges(previous, servers)
	for _, s := range previous {
		if _, ok := current[s.ID]; !ok {
			g.deps.Pool.CloseIdle(s.Address)
		}
	}
	g.updateStates(previous, servers)
}

// updateStates applies the states of engines that were heard of before they were listed, and
// drops those of engines that are gone.
func (g *Gate) updateStates(previous, servers []beechcall.Server) {
	known := make(map[netip.AddrPort]bool, len(previous))
	for _, s := range previous {
		known[s.Address] = true
	}
	hosts := make(map[netip.Addr]bool, len(servers))
	added := make(map[netip.AddrPort]bool)
	for _, s := range servers {
		hosts[s.Address.Addr()] = true
		if !known[s.Address] {
			added[s.Address] = true
		}
	}
	g.board.Forget(func(host netip.Addr) bool { return hosts[host] })
	g.strains.Forget(func(host netip.Addr) bool { return hosts[host] })
	if len(added) == 0 {
		return
	}
	g.refreshDuties()
	for _, state := range g.board.States() {
		if added[state.Engine] {
			g.applyState(state)
		}
	}
	if len(previous) == 0 {
		g.askForStates()
	}
	g.requestFollow()
}

// logServerChanges logs changes of the server list: one line in total, and one for each server
// of this gate's zone. One line per server at every gate would make the log volume of a fleet
// grow quadratically.
func (g *Gate) logServerChanges(previous, servers []beechcall.Server) {
	removed := make(map[string]beechcall.Server, len(previous))
	for _, s := range previous {
		removed[s.ID] = s
	}
	listed, leaving := 0, 0
	for _, s := range servers {
		before, known := removed[s.ID]
		delete(removed, s.ID)
		if known && before.Leaving == s.Leaving {
			continue
		}
		listed++
		if s.Leaving {
			leaving++
		}
		if s.Zone == g.settings.Zone {
			g.log.Info("server listed", zap.String("server", s.ID), zap.Stringer("peer", s.Address), zap.String("service", s.Service), zap.String("software", s.Software), zap.Bool("leaving", s.Leaving), zap.Uint64("revision", plainRevision(s.Revision)))
		}
	}
	for _, s := range removed {
		if s.Zone == g.settings.Zone {
			g.log.Info("server gone", zap.String("server", s.ID), zap.Stringer("peer", s.Address))
		}
	}
	if listed+len(removed) > 0 {
		g.log.Info("servers changed", zap.Int("listed", listed), zap.Int("leaving", leaving), zap.Int("gone", len(removed)), zap.Int("servers", len(servers)),
			zap.Stringer("by", g.serverMirror.LastChange()), zap.Duration("listAge", g.serverFreshness.Age()), zap.Stringer("provenBy", g.serverMirror.LastProof()))
	}
}
