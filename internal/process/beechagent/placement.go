package beechagent

import (
	"bytes"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"

	"github.com/beechring/beechring/internal/link/beechwire"
)

type (
	// placements tells a repeat of a repeatable request with an idempotency
	// key where the first one runs, so that it joins it. They are in this
	// process's memory only: if the agent is lost a repeat may run again, which
	// such a request allows.
	placements struct {
		mu     sync.Mutex
		byName *expirable.LRU[string, placement]
	}

	placement struct {
		requestID string
		bodyHash  []byte
		agent     string // empty until the first request is placed
	}
)

const (
	placementMemory = 10 * time.Minute
	maxPlacements   = 1 << 16
)

func newPlacements() *placements {
	return &placements{byName: expirable.NewLRU[string, placement](maxPlacements, nil, placementMemory)}
}

// claim returns where the first request under the key runs, or makes this one
// the first.
func (p *placements) claim(ask beechwire.ClaimAsk) beechwire.ClaimAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	first, there := p.byName.Get(ask.RecordKey)
	if !there {
		p.byName.Add(ask.RecordKey, placement{requestID: ask.RequestID, bodyHash: ask.BodyHash})
		return beechwire.ClaimAnswer{State: beechwire.StateGranted, RequestID: ask.RequestID}
	}
	if !bytes.Equal(first.bodyHash, ask.BodyHash) {
		return beechwire.ClaimAnswer{State: beechwire.StateMismatch}
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
