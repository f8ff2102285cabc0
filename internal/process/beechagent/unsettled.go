package beechagent

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/link/beechlink"
)

type (
	// unsettled remembers for a short while which answers of requests that may
	// not be repeated went to which entry host. An entry host that is killed
	// right then has perhaps recorded no outcome; the agent does it instead.
	unsettled struct {
		clock clockwork.Clock
		mu    sync.Mutex
		given map[uint64][]handover // by the entry's incarnation
	}

	handover struct {
		generation *generation
		at         time.Time
	}
)

// settleTime is longer than an entry host takes to record an outcome.
const settleTime = 3 * time.Second

func newUnsettled(clock clockwork.Clock) *unsettled {
	return &unsettled{clock: clock, given: map[uint64][]handover{}}
}

// note remembers that a stream of the entry has ended, whole or not.
func (u *unsettled) note(entry beechlink.Peer, g *generation) {
	if g.request.Claim == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock.Now()
	recent := u.given[entry.Incarnation][:0]
	for _, h := range u.given[entry.Incarnation] {
		if now.Sub(h.at) < settleTime {
			recent = append(recent, h)
		}
	}
	u.given[entry.Incarnation] = append(recent, handover{generation: g, at: now})
}

// take returns the answers that a lost entry may not have recorded.
func (u *unsettled) take(entry beechlink.Peer) []*generation {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []*generation
	for _, h := range u.given[entry.Incarnation] {
		if u.clock.Since(h.at) < settleTime {
			out = append(out, h.generation)
		}
	}
	delete(u.given, entry.Incarnation)
	return out
}
