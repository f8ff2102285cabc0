package beechagent

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/link/beechlink"
)

type (
	// pendingOutcomes tracks the answers that are being sent to entry hosts, or were
	// sent shortly before, for requests that may not be repeated. If the entry host
	// is killed at that time, it may not have recorded the outcome, and the agent
	// records it instead.
	pendingOutcomes struct {
		clock   clockwork.Clock
		mu      sync.Mutex
		byEntry map[uint64][]*delivery // by the entry's incarnation
	}

	// delivery is the stream of one answer to an entry host.
	delivery struct {
		generation *generation
		ended      time.Time // when the stream ended; zero while it is open
	}
)

// outcomeRecordTime is longer than an entry host takes to record an outcome.
const outcomeRecordTime = 3 * time.Second

func newPendingOutcomes(clock clockwork.Clock) *pendingOutcomes {
	return &pendingOutcomes{clock: clock, byEntry: map[uint64][]*delivery{}}
}

// startDelivery registers a stream to an entry host. It must be called before
// anything is sent, since the loss of an entry host is reported before its streams
// end. It also removes deliveries that ended more than outcomeRecordTime ago.
func (p *pendingOutcomes) startDelivery(entry beechlink.Peer, g *generation) *delivery {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for incarnation, all := range p.byEntry {
		recent := all[:0]
		for _, d := range all {
			if d.recent(now) {
				recent = append(recent, d)
			}
		}
		p.byEntry[incarnation] = recent
		if len(recent) == 0 {
			delete(p.byEntry, incarnation)
		}
	}
	d := &delivery{generation: g}
	p.byEntry[entry.Incarnation] = append(p.byEntry[entry.Incarnation], d)
	return d
}

// endDelivery records that the stream has ended, whether the answer was complete or
// not.
func (p *pendingOutcomes) endDelivery(d *delivery) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d.ended = p.clock.Now()
}

// takeUnrecorded removes the deliveries to a lost entry host, and returns the
// generations whose outcomes it may not have recorded.
func (p *pendingOutcomes) takeUnrecorded(entry beechlink.Peer) []*generation {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var out []*generation
	for _, d := range p.byEntry[entry.Incarnation] {
		if d.recent(now) {
			out = append(out, d.generation)
		}
	}
	delete(p.byEntry, entry.Incarnation)
	return out
}

func (d *delivery) recent(now time.Time) bool {
	return d.ended.IsZero() || now.Sub(d.ended) < outcomeRecordTime
}
