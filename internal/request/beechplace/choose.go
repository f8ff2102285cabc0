package beechplace

import (
	"cmp"
	"slices"
	"time"

	"github.com/beechring/beechring/internal/decision/beechquota"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

const (
	fullBatchCost        = 120  // of an engine whose slots are all taken, at a full batch each token takes several times as long
	queuedRequestCost    = 40   // of each request beyond the slots
	plainUtilizationCost = 25   // of a plain server's slots all taken: about one request's work
	unhealthyCost        = 400  // of a server of weight 0 that is the only one
	overloadedCost       = 1000 // of one that turns work away: the last that is tried
	missedObjectiveCost  = 700  // of an answer that misses its objective
	latenessStart        = 0.5  // of the objective
	cacheFullShare       = 0.9  // of an engine's memory that cannot yield; beyond it runs are preempted
	cacheFullCost        = 300
	// limitProbeBonus is what it is worth to hear whether a server's need is over.
	limitProbeBonus = 150
	// maxRetryAfter is the longest time after which a caller is told to come back.
	maxRetryAfter = 10 * time.Second
	// firstByteMargin times what is expected a first byte usually comes: expectations
	// miss half of what waits where engines are full.
	firstByteMargin = 3
)

// Choose gives the cheapest server for a call that is not among those tried.
// It is false where no server may be used; the choice has Back then if that is for
// servers' limits alone.
func (p *Placer) Choose(call *beechcall.Call, tried []string) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var best Choice
	var limited []Choice
	found := false
	parts := p.sharedParts(call, now)
	for _, s := range p.services[call.Service] {
		if slices.Contains(tried, s.ID) || !p.usable(s, now) {
			continue
		}
		c, ok := p.estimate(call, s, parts, now)
		switch {
		case !ok:
		case p.limits.Limited(s.ID):
			limited = append(limited, c)
		case !found || c.Cost < best.Cost:
			best, found = c, true
		}
	}
	if len(limited) == 0 {
		return best, found
	}
	return p.chooseWithLimited(best, found, limited)
}

// amongLimited chooses between the best server without a limit, if there is one, and those
// with one that are cheaper and have room.
func (p *Placer) chooseWithLimited(best Choice, found bool, limited []Choice) (Choice, bool) {
	for i := range limited {
		if p.limits.ProbeDue(limited[i].Server.ID) {
			limited[i].Cost -= limitProbeBonus
		}
	}
	slices.SortFunc(limited, func(x, y Choice) int { return cmp.Compare(x.Cost, y.Cost) })
	skipped, retryAfter := "", maxRetryAfter
	for _, c := range limited {
		if found && best.Cost < c.Cost {
			break
		}
		switch d := p.limits.Check(c.Server.ID).(type) {
		case beechquota.Admitted:
			c.LimitedServer = skipped
			return c, true
		case beechquota.Refused:
			p.limits.CountWithheld(c.Server.ID)
			skipped, retryAfter = cmp.Or(skipped, c.Server.ID), min(retryAfter, d.After)
		}
	}
	if !found {
		return Choice{LimitedServer: skipped, RetryAfter: retryAfter}, false
	}
	best.LimitedServer = skipped
	return best, true
}

// RetryAfter is when a caller of a service may come back whose servers are all at their
// limits, given when one of them has room. Callers are told times one after the other, as
// fast as the servers take them; told the same time, most would come to be refused again.
func (p *Placer) RetryAfter(service string, firstRoom time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	rate := 0.0
	for _, s := range p.services[service] {
		if p.usable(s, now) && p.limits.Limited(s.ID) {
			rate += p.limits.Rate(s.ID) / float64(p.settings.Gates)
		}
	}
	at, latest := now.Add(firstRoom), now.Add(maxRetryAfter)
	if next := p.nextRetry[service]; next.After(at) {
		at = next
	}
	if !at.Before(latest) || rate <= 0 {
		return maxRetryAfter
	}
	p.nextRetry[service] = at.Add(min(time.Duration(float64(time.Second)/rate), maxRetryAfter))
	return at.Sub(now)
}

func (p *Placer) usable(s *server, now time.Time) bool {
	if s.Leaving || s.superseded || now.Before(s.downUntil) || now.Before(s.unavailableUntil) || now.Before(s.identityDoubtUntil) {
		return false
	}
	return !s.hasRecentReport(now) || s.state.Phase == beechrollout.Serving
}

// fresh tells whether the keeper has spoken lately.
func (s *server) hasRecentReport(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < reportTTL
}

func (p *Placer) estimate(call *beechcall.Call, s *server, parts []sharedPart, now time.Time) (Choice, bool) {
	c := Choice{Server: s.Server}
	if call.Model == "" {
		c.Cost = p.plainServerCost(s)
	} else {
		version := s.weights[call.Model]
		if version == 0 {
			return c, false
		}
		c.Weights = version
		age, outdated := p.outdatedFor(s, call.Model, version, now)
		if outdated && age > p.settings.OutdatedHardLimit {
			return c, false
		}
		if outdated && age > p.settings.OutdatedGrace {
			c.Cost += p.settings.OutdatedPenalty
		}
		c.Salt = cacheSalt(call, version)
		c.Cost += p.estimatePrefix(call, s, parts, now, &c)
		shortfall := p.memoryShortfall(s, call.PromptTokens, now)
		pace := p.paceFactor(s, now)
		rate := p.prefill.rate / pace
		queueTime := p.queuedTokens(s, now.Add(c.Wait))/rate + p.memoryWait(shortfall, s)
		c.QueueTime = milliseconds(c.Wait) + queueTime
		prefillTime := float64(c.PrefillTokens) / rate
		fixed := p.prefill.fixed * pace
		c.Expected = c.QueueTime + prefillTime + fixed
		if outdated && !p.startsInTime(&c, age) {
			return c, false
		}
		c.Cost += queueTime + prefillTime + (fixed - p.prefill.fixed) + p.preemptionCost(shortfall) + pace*p.utilizationCost(s, now) + latenessCost(c.Expected, milliseconds(call.Route.Objective))
	}
	if s.Zone != p.settings.Zone {
		c.Cost += p.settings.CrossZoneCost + p.settings.CrossZoneByteCost*float64(len(call.Body))
	}
	c.Cost += unhealthyCost * (1 - p.health.Weight(s.Address))
	if !s.hasRecentReport(now) && p.overloaded.IsFull(s.ID) {
		c.Cost += overloadedCost
	}
	return c, true
}

// beginsInTime tells whether a call may go to old weights: well before the bound
// always, and then only if by what is expected it begins before it with time to
// spare. What does not begin by then is taken back.
//
// With one edge for all, most engines can leave the choice at one moment, where orders
// are late, and callers are refused or late at the rest. So those with little ahead
// go on until shortly before the bound, while the others are refreshed.
func (p *Placer) startsInTime(c *Choice, age time.Duration) bool {
	c.FirstByteTimeout = p.settings.OutdatedHardLimit - age - c.Wait
	if age <= p.settings.OutdatedSoftLimit {
		return true
	}
	return time.Duration(firstByteMargin*c.Expected*float64(time.Millisecond)) < c.FirstByteTimeout
}

// plain is the cost of a plain service's server, which has no shared parts.
func (p *Placer) plainServerCost(s *server) float64 {
	slots := float64(max(s.slots, 1))
	return plainUtilizationCost * p.estimatedLoad(s) / slots
}

// load estimates what runs and waits at a server: the keeper's word, with what
// this gate has sent or seen answered since. Without a keeper it is the server's own
// word with an answer, and as that grows old the gates are taken to send alike.
func (p *Placer) estimatedLoad(s *server) float64 {
	if !s.reportedAt.IsZero() && p.clock.Since(s.reportedAt) < reportTTL {
		return max(float64(s.state.Running+s.state.Waiting+s.inFlight-s.inFlightAtReport), float64(s.inFlight))
	}
	assumed := float64(s.inFlight * p.settings.Gates)
	age := p.clock.Since(s.answerLoadAt)
	if !s.answerLoad.Known || age >= answerLoadTTL {
		return assumed
	}
	reported := float64(max(s.answerLoad.Running+s.answerLoad.Waiting-s.inFlightAtAnswer, 0) + s.inFlight)
	return reported + (assumed-reported)*float64(age)/float64(answerLoadTTL)
}

func (p *Placer) utilizationCost(s *server, now time.Time) float64 {
	slots := float64(max(s.slots, defaultSlots))
	load := p.estimatedLoad(s)
	share := min(load/slots, 1)
	cost := fullBatchCost * share * share
	if load > slots {
		cost += queuedRequestCost * (load - slots)
	}
	if s.hasRecentReport(now) && s.state.CacheTotal > 0 && float64(s.state.CacheUsed) > cacheFullShare*float64(s.state.CacheTotal) {
		cost += cacheFullCost
	}
	return cost
}

// late is the cost of an answer that will probably miss its objective: most of
// what it is worth to its caller is lost then, and no cached part makes up for
// that. It sets in before the objective, since the wait is only estimated.
func latenessCost(expected, objective float64) float64 {
	if objective <= 0 {
		return 0
	}
	return missedObjectiveCost * min(max((expected/objective-latenessStart)/(1-latenessStart), 0), 1)
}

// ahead is the prompt tokens that a server still has to read: what this gate
// has sent, or what the keeper has heard from all gates, if that is more, or
// what as many waiting requests as the engine reports usually have to read.
func (p *Placer) queuedTokens(s *server, now time.Time) float64 {
	tokens := float64(s.pendingPrefill)
	if s.hasRecentReport(now) {
		done := milliseconds(now.Sub(s.reportedAt)) * p.serverPrefillRate(s, now)
		tokens = max(tokens, float64(s.state.Reading)-done)
		tokens = max(tokens, float64(s.state.Waiting)*p.meanPrefill-done)
	}
	return tokens
}

// rateOf is the prompt tokens that a server reads in a millisecond.
func (p *Placer) serverPrefillRate(s *server, now time.Time) float64 {
	return p.prefill.rate / p.paceFactor(s, now)
}

// StillUsable tells whether the server of a choice may be used yet, after the
// choice's wait.
func (p *Placer) StillUsable(c Choice) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.byID[c.Server.ID]
	return ok && p.usable(s, p.clock.Now())
}
