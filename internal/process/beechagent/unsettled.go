package beechagent

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/link/beechlink"
)

type (
	// unsettled remembers which answers of requests that may not be repeated are
	// being given to which entry host, or were a short while ago. An entry host
	// that is killed right then has perhaps recorded no outcome; the agent does it
	// instead.
	unsettled struct {
		clock clockwork.Clock
		mu    sync.Mutex
		given map[uint64][]*handover // by the entry's incarnation
	}

	// handover is one answer on its way to an entry host.
	handover struct {
		generation *generation
		ended      time.Time // of its stream; zero while it is open
	}
)

// settleTime is longer than an entry host takes to record an outcome.
const settleTime = 3 * time.Second

func newUnsettled(clock clockwork.Clock) *unsettled {
	return &unsettled{clock: clock, given: map[uint64][]*handover{}}
}

// begin notes that a stream to the entry begins, before anything is sent on it:
// an entry host that is lost meanwhile is told of before its streams' ends. What
// was given long ago is forgotten.
func (u *unsettled) begin(entry beechlink.Peer, g *generation) *handover {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock.Now()
	for incarnation, all := range u.given {
		recent := all[:0]
		for _, h := range all {
			if h.recent(now) {
				recent = append(recent, h)
			}
		}
		u.given[incarnation] = recent
		if len(recent) == 0 {
			delete(u.given, incarnation)
		}
	}
	h := &handover{generation: g}
	u.given[entry.Incarnation] = append(u.given[entry.Incarnation], h)
	return h
}

// end notes that the stream has ended, whole or not.
func (u *unsettled) end(h *handover) {
	u.mu.Lock()
	defer u.mu.Unlock()
	h.ended = u.clock.Now()
}

// take returns the answers that a lost entry may not have recorded.
func (u *unsettled) take(entry beechlink.Peer) []*generation {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock.Now()
	var out []*generation
	for _, h := range u.given[entry.Incarnation] {
		if h.recent(now) {
			out = append(out, h.generation)
		}
	}
	delete(u.given, entry.Incarnation)
	return out
}

func (h *handover) recent(now time.Time) bool {
	return h.ended.IsZero() || now.Sub(h.ended) < settleTime
}
