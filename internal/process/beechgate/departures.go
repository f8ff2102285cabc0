package beechgate

import (
	"maps"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/state/beechera"
)

// departureMemory is how long a server that has gone is remembered. A dead server's entry that a
// restored store lists again expires sooner.
const departureMemory = 30 * time.Second

type (
	// departures remembers which servers were leaving or gone when the store was restored from
	// a copy that lists them as ready. It is not safe for concurrent use.
	departures struct {
		clock clockwork.Clock
		gone  map[string]goneServer // by ID
	}

	goneServer struct {
		beechcall.Server
		at time.Time
	}
)

func newDepartures(clock clockwork.Clock) *departures {
	return &departures{clock: clock, gone: make(map[string]goneServer)}
}

// retain marks servers of a new list as leaving whose departure the store has lost. An entry
// that is written again after the restore is believed.
func (d *departures) retain(previous, next []beechcall.Server) {
	now := d.clock.Now()
	maps.DeleteFunc(d.gone, func(_ string, g goneServer) bool { return now.Sub(g.at) > departureMemory })
	before := make(map[string]beechcall.Server, len(previous))
	for _, s := range previous {
		before[s.ID] = s
	}
	for i := range next {
		s := &next[i]
		old, listed := before[s.ID]
		delete(before, s.ID)
		switch gone, known := d.gone[s.ID]; {
		case listed:
			s.Leaving = s.Leaving || (old.Leaving && sameLifetime(old, *s) && !writtenSince(old, *s))
		case known:
			s.Leaving = s.Leaving || (sameLifetime(gone.Server, *s) && !beechera.Same(gone.Revision, s.Revision))
		}
		delete(d.gone, s.ID)
	}
	for id, s := range before {
		d.gone[id] = goneServer{Server: s, at: now}
	}
}

// writtenSince reports whether an entry was written after another, in the same era of the store.
func writtenSince(old, s beechcall.Server) bool {
	return beechera.Same(old.Revision, s.Revision) && s.Revision > old.Revision
}

// sameLifetime reports whether two entries with one ID are not known to be of different lifetimes.
func sameLifetime(x, y beechcall.Server) bool { return x.Born == y.Born || x.Born == 0 || y.Born == 0 }
