package beechagent

import (
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechshare"
)

type (
	// fleet is what the agent keeps for entry hosts: which are linked, and what
	// they shared for those that start anew. An entry host that restarts while
	// the platform's service is down has nobody else to ask.
	fleet struct {
		mu      sync.Mutex
		entries map[uint64]beechlink.Peer // by incarnation
		shared  beechwire.Snapshot
	}
)

func newFleet() *fleet {
	return &fleet{entries: map[uint64]beechlink.Peer{}}
}

func (f *fleet) up(p beechlink.Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[p.Incarnation] = p
}

func (f *fleet) down(p beechlink.Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.entries, p.Incarnation)
}

func (f *fleet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.entries)
}

// take keeps what an entry host shared. One without members has not changed
// them.
func (f *fleet) take(shared beechwire.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(shared.Members) == 0 {
		shared.Members = f.shared.Members
	}
	f.shared = shared
}

func (f *fleet) sharedMembers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.shared.Members)
}

func (f *fleet) snapshot(entries int, suspects []beechwire.Suspect) beechwire.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return beechwire.Snapshot{
		Members:  slices.Clone(f.shared.Members),
		Hot:      slices.Clone(f.shared.Hot),
		Suspects: suspects,
		Entries:  entries,
	}
}

func (a *Agent) entryCount() int { return a.fleet.count() }

// Up implements beechlink.Events.
func (a *Agent) Up(p beechlink.Peer) {
	if p.Role == beechwire.RoleEntry {
		a.fleet.up(p)
	}
	a.pullIfNewer(p, p.Generation)
}

// Down implements beechlink.Events. What the lost entry host may not have
// recorded is recorded here, also of one that said that it leaves: it may have
// been killed since.
func (a *Agent) Down(p beechlink.Peer, err error) {
	a.log.Info("entry lost", beechlog.Peer(p.Address), zap.Error(err))
	a.fleet.down(p)
	for _, g := range a.unsettled.take(p) {
		a.runs.Go(func() { a.record(g) })
	}
}

// Heartbeat implements beechlink.Events.
func (a *Agent) Heartbeat(p beechlink.Peer, h beechwire.Heartbeat) {
	a.pullIfNewer(p, h.Generation)
	if len(h.Suspects) > 0 {
		a.suspects.Merge(beechshare.SuspectRecords(h.Suspects))
	}
}

// CurrentHeartbeat implements beechlink.HeartbeatSource.
func (a *Agent) CurrentHeartbeat() beechwire.Heartbeat {
	return beechwire.Heartbeat{
		Incarnation: a.incarnation,
		Generation:  a.holder.Generation(),
		Leaving:     a.leaving.Load(),
		Ready:       a.ready(),
		Entries:     a.entryCount(),
		Load:        a.wireLoad(),
		Models:      a.offered(),
		Suspects:    beechshare.WireSuspects(a.suspects.RecentChanges()),
	}
}

// offered is what entry hosts may send here: "model@weights" of an engine,
// "service:name" of a plain service.
func (a *Agent) offered() []string {
	pool := a.pool()
	if pool == nil {
		return nil
	}
	if pool.Kind == engineKind {
		return a.view.models()
	}
	if _, alive := a.view.last(); !alive {
		return nil
	}
	return []string{beechwire.ServiceTarget(pool.Service)}
}

func (a *Agent) ready() bool {
	return !a.leaving.Load() && len(a.offered()) > 0
}
