package beechplace

import (
	"net/netip"
	"sync"
	"time"

	"github.com/beechring/beechring/internal/decision/beechquota"
	"github.com/beechring/beechring/internal/decision/beechthrottle"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// Attempt follows one attempt. It is safe for concurrent use.
type Attempt struct {
	placer        *Placer
	server        *server
	prompt        int // tokens; 0 for plain services
	storeTokens   int // tokens from a store of kept KV cache
	source        netip.AddrPort
	expected      time.Duration
	prefillTokens int
	queuedTokens  float64 // tokens that had to be read, those ahead included
	expectedTime  float64 // milliseconds that an engine of the common speed takes for it
	sentAt        time.Time
	limitTime     time.Duration // when it was sent, by the clock of the limits
	learned       bool
	prefillOnce   sync.Once
	doneOnce      sync.Once
}

// StartAttempt counts an attempt that is about to be sent.
func (p *Placer) StartAttempt(call *beechcall.Call, c Choice) *Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := &Attempt{placer: p, prefillTokens: c.PrefillTokens}
	s, ok := p.byID[c.Server.ID]
	if !ok {
		return t
	}
	t.server = s
	t.sentAt = p.clock.Now().Add(c.Wait)
	t.source = c.Fetch
	t.storeTokens, t.expected = c.StoreTokens, time.Duration((c.Expected-milliseconds(c.Wait))*float64(time.Millisecond))
	t.queuedTokens = p.queuedTokens(s, t.sentAt) + float64(c.PrefillTokens)
	t.expectedTime = t.queuedTokens/p.prefill.rate + p.prefill.fixed
	s.inFlight++
	s.pendingPrefill += c.PrefillTokens
	if call.Model != "" {
		p.meanPrefill += (float64(c.PrefillTokens) - p.meanPrefill) / meanSamples
		p.meanPrompt += (float64(call.PromptTokens) - p.meanPrompt) / meanSamples
		t.prompt = call.PromptTokens
	}
	parts := p.recordAttempt(call, c, p.clock.Now())
	if (c.PrefillTokens >= minAnnouncedTokens || c.Missing >= minAnnouncedMissing || c.Save.IsValid()) && !s.reportedAt.IsZero() {
		p.announce(s.Server, c.PrefillTokens, parts, c.Save.IsValid())
	}
	return t
}

// AcquireLimit tells that the attempt goes to the server now. It is false where the server has
// come to its limit since it was chosen.
func (t *Attempt) AcquireLimit() bool {
	if t.server == nil {
		return true
	}
	t.limitTime = t.placer.limits.Now()
	_, ok := t.placer.limits.Take(t.server.ID).(beechquota.Admitted)
	return ok
}

// ObserveLimit takes in what the server's answer says of its limit.
func (t *Attempt) ObserveLimit(limit beechthrottle.Said) {
	if t.server == nil {
		return
	}
	t.placer.mu.Lock()
	born := t.server.Born
	t.placer.mu.Unlock()
	t.placer.limits.Heard(t.server.ID, born, limit, t.limitTime)
}

// ObserveLoad takes in what the server's answer says of its load.
func (t *Attempt) ObserveLoad(l beechcall.Load) {
	if t.server == nil || !l.Known {
		return
	}
	t.placer.mu.Lock()
	defer t.placer.mu.Unlock()
	t.server.answerLoad, t.server.answerLoadAt, t.server.inFlightAtAnswer = l, t.placer.clock.Now(), t.server.inFlight
}

// finishPrefill takes the prompt off what the server has to read.
func (t *Attempt) finishPrefill() {
	t.prefillOnce.Do(func() {
		if t.server == nil {
			return
		}
		t.placer.mu.Lock()
		t.server.pendingPrefill = max(t.server.pendingPrefill-t.prefillTokens, 0)
		t.placer.mu.Unlock()
	})
}

// FirstByte tells that the first byte came: the server has read the prompt, and how
// fast it reads can be seen.
func (t *Attempt) FirstByte() {
	t.finishPrefill()
	t.placer.mu.Lock()
	defer t.placer.mu.Unlock()
	if t.learned {
		return
	}
	t.learned = true
	now := t.placer.clock.Now()
	took := milliseconds(now.Sub(t.sentAt))
	if store := t.placer.kvStoreAt(t.source); t.storeTokens > 0 && store != nil {
		store.fetches.observe(now.Sub(t.sentAt), t.expected, now)
	}
	if t.prompt > 0 && t.storeTokens == 0 {
		t.placer.recordPace(t.server, took, t.expectedTime, now)
	}
	t.placer.prefill.learn(t.queuedTokens, took)
}

// Done ends the attempt.
func (t *Attempt) Done(o Outcome) {
	t.finishPrefill()
	t.doneOnce.Do(func() {
		if t.server == nil {
			return
		}
		t.placer.mu.Lock()
		defer t.placer.mu.Unlock()
		t.server.inFlight = max(t.server.inFlight-1, 0)
		if o == Answered && t.prompt > 0 {
			t.placer.residence.learn(t.prompt, t.placer.clock.Since(t.sentAt))
		}
		t.placer.updateAvailability(t.server, o, t.sentAt)
		if o == Unreachable {
			t.placer.limits.GiveBack(t.server.ID)
		}
	})
}

func (p *Placer) updateAvailability(s *server, o Outcome, sent time.Time) {
	now := p.clock.Now()
	switch o {
	case Answered:
		p.overloaded.Took(s.ID, sent)
		s.failures = 0
		s.downUntil = time.Time{}
	case Rejected:
		if !s.hasRecentReport(now) {
			s.unavailableUntil = now.Add(rejectionPause)
		}
	case Failed, Unreachable:
		s.failures++
		if o == Failed && s.failures < minFailures {
			return
		}
		s.downUntil = now.Add(min(p.settings.DownTime<<min(s.failures-1, maxDownDoublings), p.settings.MaxDownTime))
	case Cancelled:
	}
}

const (
	meanSamples      = 64 // requests
	minFailures      = 2  // failures in a row: one broken answer is no sign of a dead server
	maxDownDoublings = 6
)

// ObserveVersion tells which version of a model a server has shown to have.
func (p *Placer) ObserveVersion(id, model string, version uint64) {
	if version == 0 || model == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.byID[id]; ok && version > s.weights[model] {
		s.weights[model] = version
	}
}

// ObserveRejection takes in why a server turned a request away. One at whose address
// another answered is over for good, however long the list still has it; if the
// list has that other too, it is the one to use there, whichever was listed
// later: an entry that somebody else wrote would hide the real server otherwise.
func (p *Placer) ObserveRejection(id string, notRun beechcall.NotExecuted, model string) {
	p.ObserveVersion(id, model, notRun.Weights)
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.byID[id]
	switch {
	case !ok:
	case notRun.Replaced:
		s.superseded, s.replaced = true, true
		if successor, listed := p.byID[notRun.ActualID]; listed && successor.Address == s.Address {
			successor.superseded = false
			p.byAddress[s.Address] = successor
		}
	case notRun.WeightsDiffer && notRun.Weights == 0:
		s.unavailableUntil = p.clock.Now().Add(rejectionPause)
	case !notRun.WeightsDiffer && !s.hasRecentReport(p.clock.Now()):
		p.overloaded.TurnedAway(id, notRun.RetryAfter)
	}
}
