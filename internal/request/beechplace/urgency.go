package beechplace

import (
	"math"
	"time"

	"github.com/beechring/beechring/internal/decision/beechstrain"
	"github.com/beechring/beechring/internal/request/beechcall"
)

type (
	// workAhead is what an engine does before it begins a call, and what beginning it costs
	// others. Engines take the most urgent first and preempt the others for them, so where the
	// keeper reports by urgency only what is at least as urgent as the call counts.
	workAhead struct {
		tokens          float64 // to prefill
		slotWait        float64 // milliseconds until a slot is free
		memoryWait      float64 // milliseconds until the memory has room
		overlaps        bool    // prompts are prefilled while the call waits for a slot or memory
		passing         float64 // factor for more urgent requests that arrive meanwhile; 0: none
		preemptionCost  float64 // for the call and for those that it displaces
		utilizationCost float64
		others          *workAhead // what the engine does for calls of any urgency; nil: the same
	}

	// pendingRank is what this gate has sent to an engine of one urgency.
	pendingRank struct {
		requests    int // without a first byte
		tokens      int // that these have to prefill
		added       int // requests since the keeper's last report
		addedTokens int
	}

	// rankedLoad is an engine's load from the point of view of a call.
	rankedLoad struct {
		running       float64 // at least as urgent, or of unknown urgency
		moreUrgent    float64 // running
		waiting       float64 // that are admitted before the call
		tokens        float64 // that are prefilled before the call
		displaced     float64 // tokens in memory of less urgent runs, which yield
		displacedRuns float64
	}
)

// passingFactor is how many times longer than their backlog calls of one urgency wait, because
// more urgent ones arrive meanwhile. The zero value has no samples.
type passingFactor struct{ logarithm float64 }

const (
	passingSamples = 16  // weight of the running mean
	maxPassing     = 8   // of one sample, either way
	minBacklogTime = 50. // milliseconds; below it the ratio says little
	runSamples     = 32  // weight of the running mean of run times, in requests
	// defaultRunTime is used until a stream has ended.
	defaultRunTime = 1000. // milliseconds
	// minOpenSlots is the share of slots that more urgent runs leave to a call at least: they
	// come and go.
	minOpenSlots = 0.125
	// busyShare of an engine's slots are taken when a request may have to wait soon.
	busyShare = 0.5
)

// UrgencyState is what a gate has learned of waiting by urgency.
type UrgencyState struct {
	Engines   int             // whose keepers report by urgency
	RunMillis float64         // mean time from first byte to end
	Passing   map[int]float64 // by urgency: how many times longer than their backlog calls wait
}

// Urgencies returns what is known of waiting by urgency, for operators.
func (p *Placer) Urgencies() UrgencyState {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	state := UrgencyState{RunMillis: p.runTime, Passing: make(map[int]float64)}
	for _, s := range p.byID {
		if _, known := s.knownStrain(now); known {
			state.Engines++
		}
	}
	for urgency, f := range p.passing {
		if f != (passingFactor{}) {
			state.Passing[urgency] = f.factor()
		}
	}
	return state
}

// AnnounceUrgencies sets what is called for requests to servers whose keepers report by urgency.
func (p *Placer) AnnounceUrgencies(f AnnounceUrgency) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ranked = f
}

func (f passingFactor) factor() float64 { return math.Exp(f.logarithm) }

// learn adds a call that waited for a time, of which the backlog was expected to take a part.
func (f *passingFactor) learn(waited, backlog float64) {
	if backlog < minBacklogTime {
		return
	}
	sample := min(max(waited/backlog, 1./maxPassing), maxPassing)
	f.logarithm += (math.Log(sample) - f.logarithm) / passingSamples
}

func (r *pendingRank) add(tokens int) {
	r.requests++
	r.tokens += tokens
	r.added++
	r.addedTokens += tokens
}

func (r *pendingRank) remove(tokens int) {
	r.requests, r.tokens = max(r.requests-1, 0), max(r.tokens-tokens, 0)
}

// clearNew records that a report includes all requests sent so far.
func (s *server) clearNew() {
	for i := range s.pending {
		s.pending[i].added, s.pending[i].addedTokens = 0, 0
	}
}

// workAhead estimates what an engine does before it begins a call that is sent after the given
// time.
func (p *Placer) workAhead(call *beechcall.Call, s *server, wait time.Duration, now time.Time) workAhead {
	strain, known := s.knownStrain(now)
	if !known || call.Model == "" {
		shortfall := p.memoryShortfall(s, call.PromptTokens, now)
		return workAhead{
			tokens: p.queuedTokens(s, now.Add(wait)), memoryWait: p.memoryWait(shortfall, s),
			preemptionCost: p.preemptionCost(shortfall), utilizationCost: p.utilizationCost(s, now),
		}
	}
	load := s.loadBefore(call.Urgency(), strain)
	w := workAhead{
		tokens: p.tokensBefore(call.Urgency(), s, load, now.Add(wait)), slotWait: p.slotWait(s, load), overlaps: true,
		passing: p.passing[call.Urgency()].factor(), utilizationCost: p.utilizationCost(s, now),
	}
	w.memoryWait, w.preemptionCost = p.memoryBefore(call, s, load)
	w.others = &workAhead{tokens: p.queuedTokens(s, now.Add(wait)), memoryWait: p.memoryWait(p.memoryShortfall(s, call.PromptTokens, now), s)}
	return w
}

// queueTime returns the milliseconds until an engine that prefills at a rate begins the call.
func (w workAhead) queueTime(rate float64) float64 {
	if w.overlaps {
		return w.passing * w.backlogTime(rate)
	}
	return w.tokens/rate + w.memoryWait
}

// delayCost is the cost of the queue in milliseconds. A call that goes before others delays all of
// them, so whatever its urgency, the whole queue counts.
func (w workAhead) delayCost(rate, own float64) float64 {
	if w.others == nil {
		return own
	}
	return max(w.others.queueTime(rate), own)
}

// backlogTime is the time in milliseconds for what is there now.
func (w workAhead) backlogTime(rate float64) float64 {
	return max(w.tokens/rate, w.slotWait, w.memoryWait)
}

// heldUp reports whether a call waits longer for a slot or memory than for prompts. Its time to
// the first byte then tells nothing of the speed at which the engine prefills.
func (w workAhead) heldUp(rate float64) bool {
	return w.overlaps && max(w.slotWait, w.memoryWait) > w.tokens/rate
}

// announceUrgency announces a request to a server whose keeper reports by urgency, if it may
// wait there or makes others wait.
func (p *Placer) announceUrgency(s *server, urgency, tokens int) {
	_, known := s.knownStrain(p.clock.Now())
	busy := s.state.Waiting > 0 || busyShare*float64(s.slots) <= float64(s.state.Running)
	if known && p.ranked != nil && (busy || tokens >= minAnnouncedTokens) {
		p.ranked(s.Server, urgency, tokens)
	}
}

// loadBefore returns an engine's load from the point of view of a call of an urgency. A prompt
// that is being prefilled goes on whatever arrives; of those that wait the most urgent is next.
func (s *server) loadBefore(urgency int, strain beechstrain.Strain) rankedLoad {
	load := rankedLoad{running: float64(s.state.Running), tokens: float64(strain.Reading)}
	inMemory := 0
	for _, r := range strain.Ranks {
		inMemory += r.CacheUsed
		if r.Urgency > urgency {
			load.displaced += float64(r.CacheUsed)
			load.displacedRuns += float64(r.Running)
			continue
		}
		load.waiting += float64(r.Waiting)
		load.tokens += float64(r.Reading)
		if r.Urgency < urgency {
			load.moreUrgent += float64(r.Running)
		}
	}
	load.running = max(load.running-load.displacedRuns, 0)
	if inMemory > s.state.CacheUsed { // runs share parts of their prompts
		load.displaced *= float64(s.state.CacheUsed) / float64(inMemory)
	}
	for _, r := range s.pending[:urgency+1] {
		load.waiting += float64(r.added)
	}
	return load
}

// tokensBefore estimates the prompt tokens that an engine prefills before a call: the maximum of
// what this gate has sent, and of what all gates have announced. The keeper tells at once if the
// queue has changed by a long prompt, so without word from it no more was prefilled than has come.
func (p *Placer) tokensBefore(urgency int, s *server, load rankedLoad, at time.Time) float64 {
	own, added := 0., 0.
	for _, r := range s.pending[:urgency+1] {
		own += float64(r.tokens)
		added += float64(r.addedTokens)
	}
	done := milliseconds(at.Sub(s.strainAt)) * p.serverPrefillRate(s, at)
	return max(own, load.tokens+added-min(done, minAnnouncedTokens))
}

// slotWait estimates the milliseconds until a call gets a slot. Slots become free as runs end;
// those of more urgent runs go to more urgent requests.
func (p *Placer) slotWait(s *server, load rankedLoad) float64 {
	slots := float64(max(s.slots, 1))
	before := load.running + load.waiting + 1 - slots
	if before <= 0 {
		return 0
	}
	return before * p.meanRunTime() / max(slots-load.moreUrgent, minOpenSlots*slots)
}

func (p *Placer) meanRunTime() float64 {
	if p.runTime <= 0 {
		return defaultRunTime
	}
	return p.runTime
}

// learnRunTime adds the time that a stream ran.
func (p *Placer) learnRunTime(firstByteAt time.Time) {
	if firstByteAt.IsZero() {
		return
	}
	took := milliseconds(p.clock.Since(firstByteAt))
	if p.runTime <= 0 {
		p.runTime = took
	}
	p.runTime += (took - p.runTime) / runSamples
}

// memoryBefore estimates the milliseconds until an engine's memory has room for a call, and the
// cost of preemption: of the runs that yield to the call, and of the call itself, which may have
// to yield to more urgent ones as the newest of its urgency.
func (p *Placer) memoryBefore(call *beechcall.Call, s *server, load rankedLoad) (wait, cost float64) {
	total, used := float64(s.state.CacheTotal), float64(s.state.CacheUsed)
	if total <= 0 || used <= 0 {
		return 0, 0
	}
	prompt, slots := float64(call.PromptTokens), float64(max(s.slots, 1))
	need := prompt + load.waiting*p.meanPrompt
	requests := float64(s.state.Running) + load.waiting + 1
	kept := max(used-load.displaced, 0)
	if shortfall := need - (total - kept); shortfall > 0 && kept > 0 {
		wait = shortfall * p.residence.mean() / kept
	}
	if load.displacedRuns == 0 {
		fill := (used + need) / total
		if load.moreUrgent > 0 {
			fill = max(fill, requests/slots)
		}
		risk := min(max(fill-cacheFullShare, 0)/(1-cacheFullShare), 1)
		return wait, risk * (p.settings.ReprefillCost*prompt + cacheFullCost)
	}
	runSize := load.displaced / load.displacedRuns
	runs := min(max(need-(total-used), 0), prompt) / max(runSize, 1)
	if requests > slots {
		runs = max(runs, 1)
	}
	runs = min(runs, load.displacedRuns)
	return wait, p.settings.ReprefillCost*runs*runSize + missedObjectiveCost*min(runs, 1)
}
