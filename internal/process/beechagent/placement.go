package beechagent

import (
	"bytes"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/link/beechwire"
)

type (
	// placements records, by idempotency key, which agent runs a repeatable
	// request, so that a repetition of the request joins the first run. The records
	// are only in the memory of this process: if the agent is lost, a repetition
	// may run again, which is allowed for repeatable requests.
	placements struct {
		clock  clockwork.Clock
		mu     sync.Mutex
		byName *expirable.LRU[string, placement]
	}

	placement struct {
		requestID string
		bodyHash  []byte
		agent     string // that runs the request; empty until the entry host reports it
		claimedAt time.Time
	}
)

const (
	placementRetention = 10 * time.Minute
	maxPlacements      = 1 << 16

	// placementTimeout is longer than an entry host takes from its claim to its
	// report of where the request runs. After it, a repetition replaces a first
	// request whose entry host was lost in between.
	placementTimeout = 2 * time.Second
)

func newPlacements(clock clockwork.Clock) *placements {
	return &placements{clock: clock, byName: expirable.NewLRU[string, placement](maxPlacements, nil, placementRetention)}
}

// claim registers the request as the first under its key, or returns where the
// first one runs.
func (p *placements) claim(ask beechwire.ClaimAsk) beechwire.ClaimAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	first, existing := p.byName.Get(ask.RecordKey)
	if existing && !bytes.Equal(first.bodyHash, ask.BodyHash) {
		return beechwire.ClaimAnswer{State: beechwire.StateMismatch}
	}
	if !existing || first.agent == "" && p.clock.Since(first.claimedAt) >= placementTimeout {
		p.byName.Add(ask.RecordKey, placement{requestID: ask.RequestID, bodyHash: ask.BodyHash, claimedAt: p.clock.Now()})
		return beechwire.ClaimAnswer{State: beechwire.StateGranted, RequestID: ask.RequestID}
	}
	return beechwire.ClaimAnswer{State: beechwire.StateRunning, RequestID: first.requestID, Agent: first.agent}
}

// finish records which agent runs the request, or with NotRun removes the key. It
// has an effect only for the first request under the key.
func (p *placements) finish(ask beechwire.FinishAsk) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first, existing := p.byName.Get(ask.RecordKey)
	if !existing || first.requestID != ask.Token {
		return
	}
	if ask.NotRun {
		p.byName.Remove(ask.RecordKey)
		return
	}
	first.agent = ask.Agent
	p.byName.Add(ask.RecordKey, first)
}

// contains reports whether a repeatable request is registered under the key.
func (p *placements) contains(ask beechwire.FinishAsk) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byName.Contains(ask.RecordKey)
}
