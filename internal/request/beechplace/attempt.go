package beechplace

import (
	"net/netip"
	"sync"
	"time"

	"github.com/beechring/beechring/internal/decision/beechquota"
	"github.com/beechring/beechring/internal/decision/beechthrottle"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// Attempt tracks one attempt to run a call on a server. It is safe for concurrent use.
type Attempt struct {
	placer        *Placer
	server        *server
	serverID      string // SetServers replaces the fields of server
	prompt        int    // tokens; 0 for plain services
	storeTokens   int    // tokens fetched from a KV cache store
	source        netip.AddrPort
	expected      time.Duration // from sending to the first byte
	prefillTokens int
	urgency       int
	queuedTokens  float64 // tokens to prefill, those queued before it included
	heldUp        bool    // it waits for more than prompts
	ranked        bool    // backlogTime is that of its urgency
	backlogTime   float64 // milliseconds that were expected before its own prompt
	firstByteAt   time.Time
	expectedTime  float64 // milliseconds that an engine of the common speed takes for queuedTokens
	sentAt        time.Time
	limitTime     time.Duration // time of sending by the clock of the limits
	learned       bool
	prefillOnce   sync.Once
	doneOnce      sync.Once
}

// StartAttempt records an attempt that is about to be sent.
func (p *Placer) StartAttempt(call *beechcall.Call, c Choice) *Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := &Attempt{placer: p, prefillTokens: c.PrefillTokens}
	s, ok := p.byID[c.Server.ID]
	if !ok {
		return a
	}
	a.server, a.serverID = s, s.ID
	a.sentAt = p.clock.Now().Add(c.Wait)
	a.source = c.Fetch
	a.storeTokens, a.expected = c.StoreTokens, time.Duration((c.Expected-milliseconds(c.Wait))*float64(time.Millisecond))
	w := p.workAhead(call, s, c.Wait, p.clock.Now())
	a.queuedTokens, a.heldUp = w.tokens+float64(c.PrefillTokens), w.heldUp(p.prefill.rate)
	a.ranked, a.backlogTime = w.overlaps, w.backlogTime(p.serverPrefillRate(s, p.clock.Now()))
	a.expectedTime = a.queuedTokens/p.prefill.rate + p.prefill.fixed
	s.inFlight++
	s.pendingPrefill += c.PrefillTokens
	a.urgency = call.Urgency()
	s.pending[a.urgency].add(c.PrefillTokens)
	s.observePrompts(c.PrefillTokens, a.sentAt)
	if call.Model != "" {
		p.meanPrefill += (float64(c.PrefillTokens) - p.meanPrefill) / meanSamples
		p.meanPrompt += (float64(call.PromptTokens) - p.meanPrompt) / meanSamples
		a.prompt = call.PromptTokens
	}
	parts := p.recordAttempt(call, c, p.clock.Now())
	if (c.PrefillTokens >= minAnnouncedTokens || c.Missing >= minAnnouncedMissing || c.Save.IsValid()) && !s.reportedAt.IsZero() {
		p.announce(s.Server, c.PrefillTokens, parts, c.Save.IsValid())
	}
	p.announceUrgency(s, a.urgency, c.PrefillTokens)
	return a
}

// AcquireLimit counts the request against the server's limit, just before it is sent. It
// returns false if the server has reached its limit since it was chosen.
func (a *Attempt) AcquireLimit() bool {
	if a.server == nil {
		return true
	}
	a.limitTime = a.placer.limits.Now()
	_, ok := a.placer.limits.Acquire(a.serverID).(beechquota.Admitted)
	return ok
}

// ObserveLimit records the limit in a server's response.
func (a *Attempt) ObserveLimit(limit beechthrottle.ServerLimit) {
	if a.server == nil {
		return
	}
	a.placer.mu.Lock()
	born := a.server.Born
	a.placer.mu.Unlock()
	a.placer.limits.Observe(a.serverID, born, limit, a.limitTime)
}

// ObserveBackoff records the time for which the server asks for no requests. It returns what was
// left of a time that it had named before, and whether its keeper has reported recently.
func (a *Attempt) ObserveBackoff(after time.Duration) (remaining time.Duration, reported bool) {
	if a.server == nil {
		return 0, false
	}
	a.placer.mu.Lock()
	reported = a.server.hasRecentReport(a.placer.clock.Now())
	a.placer.mu.Unlock()
	remaining = a.placer.backoff.Remaining(a.serverID)
	a.placer.backoff.Record(a.serverID, after)
	return remaining, reported
}

// ObserveLoad records the load in a server's response.
func (a *Attempt) ObserveLoad(l beechcall.Load) {
	if a.server == nil || !l.Known {
		return
	}
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	now := a.placer.clock.Now()
	a.server.answerLoad, a.server.answerLoadAt, a.server.inFlightAtAnswer = l, now, a.server.inFlight
	a.server.answerUnreported = !a.server.hasRecentReport(now)
	a.placer.observeAnswered(a.server, l.Slowness, now)
	a.placer.observeServiceLoad(a.server.Service, l)
	if l.Slowness > 0 {
		a.placer.tellSlowness[a.server.Service] = true
	}
}

// finishPrefill subtracts the attempt's prompt from the server's pending prefill.
func (a *Attempt) finishPrefill() {
	a.prefillOnce.Do(func() {
		if a.server == nil {
			return
		}
		a.placer.mu.Lock()
		a.server.pendingPrefill = max(a.server.pendingPrefill-a.prefillTokens, 0)
		a.server.pending[a.urgency].remove(a.prefillTokens)
		a.placer.mu.Unlock()
	})
}

// FirstByte records that the first byte arrived: the prompt is prefilled, and the time taken
// is a sample of the server's speed.
func (a *Attempt) FirstByte() {
	if a.server == nil {
		return // it was not listed when the attempt began, and again when it was sent
	}
	a.finishPrefill()
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	if a.learned {
		return
	}
	a.learned = true
	now := a.placer.clock.Now()
	a.firstByteAt = now
	took := milliseconds(now.Sub(a.sentAt))
	if store := a.placer.kvStoreAt(a.source); a.storeTokens > 0 && store != nil {
		store.fetches.observe(now.Sub(a.sentAt), a.expected, now)
	}
	if a.ranked {
		own := float64(a.prefillTokens)/a.placer.serverPrefillRate(a.server, now) + a.placer.prefill.fixed
		a.placer.passing[a.urgency].learn(max(took-own, 0), a.backlogTime)
	}
	if a.heldUp {
		return // neither the engine's pace nor its speed of prefilling
	}
	if a.prompt > 0 && a.storeTokens == 0 && a.sentAt.After(a.server.limitEndedAt) {
		a.placer.recordPace(a.server, took, a.expectedTime, now)
	}
	if slowness, known := a.server.slownessAt(now); known {
		a.placer.pauses.ObservePrefill(a.queuedTokens, time.Duration((took-a.placer.prefill.fixed)*float64(time.Millisecond)), slowness)
	}
	a.placer.prefill.learn(a.queuedTokens, took)
}

// gaveUpWaiting learns from an attempt that ended without a first byte, if it had waited for
// longer than was expected: otherwise only the calls that did not wait too long would be learned
// from. The caller holds the lock.
func (a *Attempt) gaveUpWaiting() {
	if waited := milliseconds(a.placer.clock.Since(a.sentAt)); a.ranked && a.firstByteAt.IsZero() && waited > a.backlogTime*a.placer.passing[a.urgency].factor() {
		a.placer.passing[a.urgency].learn(waited, a.backlogTime)
	}
}

// Done ends the attempt.
func (a *Attempt) Done(o Outcome) {
	a.finishPrefill()
	a.doneOnce.Do(func() {
		if a.server == nil {
			return
		}
		a.placer.mu.Lock()
		defer a.placer.mu.Unlock()
		a.server.inFlight = max(a.server.inFlight-1, 0)
		if o == Cancelled { // an engine that crashed says nothing of how long calls wait
			a.gaveUpWaiting()
		}
		if o == Answered && a.prompt > 0 {
			a.placer.residence.learn(a.prompt, a.placer.clock.Since(a.sentAt))
			a.placer.learnRunTime(a.firstByteAt)
		}
		a.placer.updateAvailability(a.server, o, a.sentAt)
		if o == Unreachable || o == Withdrawn {
			a.placer.limits.Refund(a.server.ID)
		}
	})
}

func (p *Placer) updateAvailability(s *server, o Outcome, sent time.Time) {
	now := p.clock.Now()
	switch o {
	case Answered, Errored:
		s.errors.record(o == Errored, now)
		p.overloaded.Answered(s.ID, sent)
		s.failures = 0
		s.downUntil = time.Time{}
	case Rejected:
		if !s.hasRecentReport(now) {
			s.unavailableUntil = now.Add(rejectionPause)
		}
	case Failed, Unreachable:
		s.errors.record(true, now)
		s.failures++
		if o == Failed && s.failures < minFailures {
			return
		}
		s.downUntil = now.Add(min(p.settings.DownTime<<min(s.failures-1, maxDownDoublings), p.settings.MaxDownTime))
	case Cancelled, Withdrawn:
	}
}

const (
	meanSamples      = 64 // weight of the running means, in requests
	minFailures      = 2  // consecutive failures; a single incomplete response does not indicate a dead server
	maxDownDoublings = 6
)

// ObserveVersion records the version of a model that a server has shown to have.
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

// ObserveRejection records why a server rejected a request. A server at whose address another
// one answered is excluded for as long as it stays listed. If the other one is listed too, it
// takes over the address, whichever was listed first; otherwise an entry written by a third
// party could hide the real server.
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
		p.overloaded.Rejected(id, notRun.Backoff)
	}
}
