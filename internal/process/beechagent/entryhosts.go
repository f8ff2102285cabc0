package beechagent

import (
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/process/beechlog"
)

type (
	// entryHosts tracks the linked entry hosts and keeps the latest snapshot that
	// they shared. An entry host that restarts while the platform's service is down
	// can get this snapshot only from agents.
	entryHosts struct {
		mu     sync.Mutex
		linked map[uint64]beechlink.Peer // by incarnation
		shared beechwire.Snapshot
	}
)

func newEntryHosts() *entryHosts {
	return &entryHosts{linked: map[uint64]beechlink.Peer{}}
}

func (h *entryHosts) add(p beechlink.Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.linked[p.Incarnation] = p
}

func (h *entryHosts) remove(p beechlink.Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.linked, p.Incarnation)
}

func (h *entryHosts) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.linked)
}

// storeShared stores a snapshot shared by an entry host. A snapshot without members
// means that they have not changed, so the previous ones are kept.
func (h *entryHosts) storeShared(shared beechwire.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(shared.Members) == 0 {
		shared.Members = h.shared.Members
	}
	h.shared = shared
}

func (h *entryHosts) sharedMembers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.shared.Members)
}

func (h *entryHosts) snapshot(entries int, suspects []beechwire.Suspect, poison beechpoison.Update) beechwire.Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return beechwire.Snapshot{
		Members:  slices.Clone(h.shared.Members),
		Hot:      slices.Clone(h.shared.Hot),
		Suspects: suspects,
		Poison:   *beechconvert.WirePoison(poison, false),
		Entries:  entries,
	}
}

func (a *Agent) entryCount() int { return a.entryHosts.count() }

// Up implements beechlink.Events.
func (a *Agent) Up(p beechlink.Peer) {
	if p.Role == beechwire.RoleEntry {
		a.entryHosts.add(p)
	}
	a.pullIfNewer(p, p.Generation)
}

// Down implements beechlink.Events. The agent records the outcomes that the lost
// entry host may not have recorded. It also does so for an entry host that had
// announced that it was leaving, since that may have been killed before it finished.
func (a *Agent) Down(p beechlink.Peer, err error) {
	a.log.Info("link to entry host lost", beechlog.Peer(p.Address), zap.Error(err))
	a.entryHosts.remove(p)
	for _, g := range a.pendingOutcomes.takeUnrecorded(p) {
		a.runs.Go(func() { a.record(g) })
	}
}

// Heartbeat implements beechlink.Events.
func (a *Agent) Heartbeat(p beechlink.Peer, beat beechwire.Heartbeat) {
	a.pullIfNewer(p, beat.Generation)
	if len(beat.Suspects) > 0 {
		a.suspects.Merge(beechconvert.SuspectRecords(beat.Suspects))
	}
	a.poison.Apply(beechconvert.Poison(&beat.Poison), beechpoison.Zone)
}

// CurrentHeartbeat implements beechlink.HeartbeatSource. It returns the agent's own heartbeat.
func (a *Agent) CurrentHeartbeat() beechwire.Heartbeat {
	return beechwire.Heartbeat{
		Incarnation: a.incarnation,
		Generation:  a.holder.Generation(),
		Leaving:     a.leaving.Load(),
		Ready:       a.ready(),
		Entries:     a.entryCount(),
		Load:        a.wireLoad(),
		Models:      a.offered(),
		Suspects:    beechconvert.WireSuspects(a.suspects.RecentChanges()),
		Poison:      *beechconvert.WirePoison(a.poison.Recent(), false),
	}
}

// offered returns the targets that entry hosts may send requests for: the
// "model@weights" names of an engine, or the "service:name" of a plain service.
func (a *Agent) offered() []string {
	pool := a.pool()
	if pool == nil {
		return nil
	}
	if pool.Kind == engineKind {
		return a.backend.models()
	}
	if _, alive := a.backend.last(); !alive {
		return nil
	}
	return []string{beechwire.ServiceTarget(pool.Service)}
}

func (a *Agent) ready() bool {
	return !a.leaving.Load() && len(a.offered()) > 0
}
