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
	// placements tells a repeat of a repeatable request with an idempotency
	// key where the first one runs, so that it joins it. They are in this
	// process's memory only: if the agent is lost a repeat may run again, which
	// such a request allows.
	placements struct {
		clock  clockwork.Clock
		mu     sync.Mutex
		byName *expirable.LRU[string, placement]
	}

	placement struct {
		requestID string
		bodyHash  []byte
		agent     string // empty until the first request is placed
		since     time.Time
	}
)

const (
	placementMemory = 10 * time.Minute
	maxPlacements   = 1 << 16

	// placingTime is longer than an entry host takes from its claim to its word
	// where the request runs. After it a repeat takes the place of a first whose
	// entry host was lost in between.
	placingTime = 2 * time.Second
)

func newPlacements(clock clockwork.Clock) *placements {
	return &placements{clock: clock, byName: expirable.NewLRU[string, placement](maxPlacements, nil, placementMemory)}
}

// claim returns where the first request under the key runs, or makes this one
// the first.
func (p *placements) claim(ask beechwire.ClaimAsk) beechwire.ClaimAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	first, there := p.byName.Get(ask.RecordKey)
	if there && !bytes.Equal(first.bodyHash, ask.BodyHash) {
		return beechwire.ClaimAnswer{State: beechwire.StateMismatch}
	}
	if !there || first.agent == "" && p.clock.Since(first.since) >= placingTime {
		p.byName.Add(ask.RecordKey, placement{requestID: ask.RequestID, bodyHash: ask.BodyHash, since: p.clock.Now()})
		return beechwire.ClaimAnswer{State: beechwire.StateGranted, RequestID: ask.RequestID}
	}
	return beechwire.ClaimAnswer{State: beechwire.StateRunning, RequestID: first.requestID, Agent: first.agent}
}

// finish notes where the request was placed; with NotRun the key is free.
// Only the first request under the key may say so.
func (p *placements) finish(ask beechwire.FinishAsk) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first, there := p.byName.Get(ask.RecordKey)
	if !there || first.requestID != ask.Token {
		return
	}
	if ask.NotRun {
		p.byName.Remove(ask.RecordKey)
		return
	}
	first.agent = ask.Agent
	p.byName.Add(ask.RecordKey, first)
}

// holds tells whether the key is a repeatable request's.
func (p *placements) holds(ask beechwire.FinishAsk) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byName.Contains(ask.RecordKey)
}
