package beechplace

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beechring/beechring/internal/decision/beechadmission"
	"github.com/beechring/beechring/internal/decision/beechquota"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

const (
	fullBatchCost        = 120  // engine with all slots taken; at a full batch each token takes several times as long
	queuedRequestCost    = 40   // per request beyond the slots
	plainUtilizationCost = 25   // plain server with all slots taken: about the work of one request
	unhealthyCost        = 400  // server with health weight 0
	healthProbeCalls     = 8    // calls for each that is offered to a server that returns after an ejection
	overloadedCost       = 1000 // server that rejects requests, so that it is tried last
	missedObjectiveCost  = 700  // response that misses its objective
	latenessStart        = 0.5  // share of the objective from which on missedObjectiveCost applies in part
	cacheFullShare       = 0.9  // share of engine memory in use that cannot be evicted; above it running requests are preempted
	cacheFullCost        = 300
	// limitProbeBonus favors a server whose limit has to be confirmed by sending it a request.
	limitProbeBonus = 150
	// maxRetryAfter bounds the retry time that callers are given.
	maxRetryAfter = 10 * time.Second
	// retrySpread is the time over which callers return to a server that accepts requests
	// again. If all returned at once, it would reject most of them.
	retrySpread = 300 * time.Millisecond
	// firstByteMargin is the factor on the expected time within which first bytes usually
	// arrive: at full engines the estimate misses half of the queue.
	firstByteMargin = 3
)

// Choose returns the cheapest server for a call that is not among those tried. It returns
// false if no server may be used; the choice then has RetryAfter set if only the servers'
// limits are the reason, or that they have asked for no requests.
func (p *Placer) Choose(call *beechcall.Call, tried []string) (Choice, bool) {
	return p.ChooseWhere(call, tried, nil)
}

// ChooseWhere is like Choose, and leaves out servers whose room admit refuses; nil admits all.
func (p *Placer) ChooseWhere(call *beechcall.Call, tried []string, admit func(beechadmission.Room) bool) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var best Choice
	var limited []Choice
	var bestServer *server
	found := false
	parts, mayReceive := p.sharedParts(call, now), p.receivers(call.Service, now)
	for _, s := range p.services[call.Service] {
		if slices.Contains(tried, s.ID) || !s.continues(call) || !mayReceive(s) || (admit != nil && !admit(p.roomOf(s, now))) {
			continue
		}
		limitedNow := p.updateLimited(s)
		c, ok := p.estimate(call, s, parts, now)
		switch {
		case !ok:
		case limitedNow:
			limited = append(limited, c)
		case !found || c.Cost < best.Cost || (c.Cost == best.Cost && tieRank(call, s) < tieRank(call, bestServer)):
			best, bestServer, found = c, s, true
		}
	}
	if len(limited) > 0 {
		return p.chooseWithLimited(best, found, limited)
	}
	if !found {
		best.RetryAfter = p.backoffEnd(call, now)
		best.BackingOff = best.RetryAfter > 0
	}
	return best, found
}

// backoffEnd returns the time until the first server for a call accepts requests again, if
// all that can be reached have asked for none. Otherwise it returns 0: it is not known when one
// of the others accepts the call.
func (p *Placer) backoffEnd(call *beechcall.Call, now time.Time) time.Duration {
	first := time.Duration(0)
	for _, s := range p.services[call.Service] {
		if !s.continues(call) || s.isLeaving() || s.superseded || now.Before(s.downUntil) {
			continue
		}
		remaining := p.backoff.Remaining(s.ID)
		if remaining == 0 {
			return 0
		}
		if first == 0 || remaining < first {
			first = remaining
		}
	}
	return first
}

// updateLimited reports whether a server has a limit. When its limit has ended, the samples of its
// speed are dropped: it was overloaded when they were taken, and as long as they make it appear
// slow it gets no requests that would show its recovery.
func (p *Placer) updateLimited(s *server) bool {
	limited := p.limits.Limited(s.ID)
	if s.limited && !limited {
		s.pace, s.limitEndedAt = pace{}, p.clock.Now()
	}
	s.limited = limited
	return limited
}

// tieRank orders servers of the same cost differently for each call. With a fixed order, all
// gates would send to the same one of many idle servers.
func tieRank(call *beechcall.Call, s *server) uint64 { return xxhash.Sum64String(call.ID + s.ID) }

// chooseWithLimited selects the cheapest of the best server without a limit, if any, and the
// servers whose limit admits another request.
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

// RetryAfter returns when a caller should retry a service whose servers are all at their
// limits or have asked for no requests; firstRoom is the time until one of them accepts a
// request. At servers with limits, callers get successive times at the rate that the servers
// accept. If all were given the same time, most would be rejected again.
func (p *Placer) RetryAfter(service string, firstRoom time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	rate, limited, mayReceive := 0.0, false, p.receivers(service, now)
	for _, s := range p.services[service] {
		if mayReceive(s) && p.limits.Limited(s.ID) {
			limited = true
			rate += p.limits.Rate(s.ID) / float64(p.settings.Gates)
		}
	}
	if !limited {
		return min(firstRoom+time.Duration(rand.Float64()*float64(retrySpread)), maxRetryAfter)
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

// inService reports whether a server may be used as far as its entry and its answers tell.
func (p *Placer) inService(s *server, now time.Time) bool {
	return !s.isLeaving() && !s.superseded && !now.Before(s.downUntil) && !now.Before(s.unavailableUntil) && !now.Before(s.identityDoubtUntil)
}

func (p *Placer) usable(s *server, now time.Time) bool {
	if !p.inService(s, now) {
		return false
	}
	return !s.hasRecentReport(now) || s.state.Phase == beechrollout.Serving
}

// isSilent reports whether a server is in service and its keeper has no answer of it at the moment.
func (p *Placer) isSilent(s *server, now time.Time) bool {
	return s.hasRecentReport(now) && s.state.Phase == beechrollout.Silent && p.inService(s, now)
}

// onlySilent reports whether no server of a service is usable and some are only silent. These then
// get the requests: all others are known not to take them.
func (p *Placer) onlySilent(service string, now time.Time) bool {
	silent := false
	for _, s := range p.services[service] {
		if p.usable(s, now) {
			return false
		}
		silent = silent || p.isSilent(s, now)
	}
	return silent
}

// receivers returns a function that reports whether a request may be sent to a server of a service
// now. One that has asked this gate for none gets none, whatever its keeper reports: an overloaded
// server may look idle. The caller holds the lock, also while it calls the function.
func (p *Placer) receivers(service string, now time.Time) func(*server) bool {
	known, onlySilent := false, false
	return func(s *server) bool {
		if !p.usable(s, now) {
			if !p.isSilent(s, now) {
				return false
			}
			if !known {
				known, onlySilent = true, p.onlySilent(service, now)
			}
			if !onlySilent {
				return false
			}
		}
		return p.backoff.Remaining(s.ID) == 0
	}
}

// mayReceive reports whether a request may be sent to a server now.
func (p *Placer) mayReceive(s *server, now time.Time) bool { return p.receivers(s.Service, now)(s) }

// mayServe reports whether a call may be sent to a server now.
func (p *Placer) mayServe(call *beechcall.Call, s *server, now time.Time) bool {
	return s.continues(call) && p.mayReceive(s, now)
}

// continues reports whether a server's software may continue the stream of a call. All may begin
// one.
func (s *server) continues(call *beechcall.Call) bool {
	return call.Origin == nil || (call.Origin.Software != "" && call.Origin.Software == s.softwareVersion())
}

// hasRecentReport reports whether the keeper has reported within reportTTL.
func (s *server) hasRecentReport(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < reportTTL
}

func (p *Placer) estimate(call *beechcall.Call, s *server, parts []sharedPart, now time.Time) (Choice, bool) {
	c := Choice{Server: s.Server}
	c.Server.Software = s.softwareVersion()
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
		c.Salt = p.salts.of(call, version)
		c.Cost += p.estimatePrefix(call, s, parts, now, &c)
		w := p.workAhead(call, s, c.Wait, now)
		pace := p.paceFactor(s, now)
		queueTime, prefillTime, fixed := p.startTime(&c, w, pace)
		c.QueueTime = queueTime + milliseconds(c.Wait)
		c.Expected = c.QueueTime + prefillTime + fixed
		if outdated && !p.startsInTime(&c, age) {
			return c, false
		}
		lateness := latenessCost(c.Expected, milliseconds(call.Route.Objective))
		if charged := p.chargedPace(call, s, pace, now); charged != pace {
			pace = charged
			queueTime, prefillTime, fixed = p.startTime(&c, w, pace)
		}
		c.Cost += w.delayCost(p.prefill.rate/pace, queueTime) + prefillTime + (fixed - p.prefill.fixed) + w.preemptionCost + p.pauseCost(call, s, c.PrefillTokens, now) + pace*w.utilizationCost + lateness
	}
	if s.Zone != p.settings.Zone {
		c.Cost += p.settings.CrossZoneCost + p.settings.CrossZoneByteCost*float64(len(call.Body))
	}
	c.Cost += unhealthyCost * max(1-p.chargedWeight(call, s), s.errors.costly(now))
	if !s.hasRecentReport(now) && p.overloaded.IsFull(s.ID) {
		c.Cost += overloadedCost
	}
	return c, true
}

// chargedWeight returns the health weight by which a server is compared with others for a call.
// One that may receive requests at all is charged as a healthy one for a few calls: otherwise an
// ejected server would not be probed while the others can carry all the load.
func (p *Placer) chargedWeight(call *beechcall.Call, s *server) float64 {
	w := p.health.Weight(s.Address)
	if 0 < w && w < 1 && tieRank(call, s)%healthProbeCalls == 0 {
		return 1
	}
	return w
}

// startTime returns the milliseconds that a call waits for others at a server, takes to prefill
// and has to wait besides, if the server has the given pace.
func (p *Placer) startTime(c *Choice, w workAhead, pace float64) (queueTime, prefillTime, fixed float64) {
	rate := p.prefill.rate / pace
	return w.queueTime(rate), float64(c.PrefillTokens) / rate, p.prefill.fixed * pace
}

// startsInTime reports whether a call may go to outdated weights: always until the soft limit,
// and after it only if it is expected to start well before the hard limit. A request that has
// not started by then is withdrawn.
//
// With one limit for all, most engines could be excluded at the same moment when load orders
// are late, and the remaining ones would reject or delay callers. Engines with short queues
// therefore keep serving until shortly before the hard limit while the others load weights.
func (p *Placer) startsInTime(c *Choice, age time.Duration) bool {
	c.FirstByteTimeout = p.settings.OutdatedHardLimit - age - c.Wait
	if age <= p.settings.OutdatedSoftLimit {
		return true
	}
	return time.Duration(firstByteMargin*c.Expected*float64(time.Millisecond)) < c.FirstByteTimeout
}

// plainServerCost is the load cost of a plain service's server, which caches no prompts.
func (p *Placer) plainServerCost(s *server) float64 {
	slots := float64(max(s.slots, 1))
	return plainUtilizationCost * p.estimatedLoad(s) / slots
}

func (p *Placer) utilizationCost(s *server, now time.Time) float64 {
	slots := float64(max(s.slots, defaultSlots))
	load := p.estimatedLoad(s)
	cost := batchCost(load, s)
	if load > slots {
		cost += queuedRequestCost * (load - slots)
	}
	if s.hasRecentReport(now) && s.state.CacheTotal > 0 && float64(s.state.CacheUsed) > cacheFullShare*float64(s.state.CacheTotal) {
		cost += cacheFullCost
	}
	return cost
}

// batchCost is the cost of a batch of requests, in which each token takes the longer the more
// there are.
func batchCost(load float64, s *server) float64 {
	share := min(load/float64(max(s.slots, defaultSlots)), 1)
	return fullBatchCost * share * share
}

// latenessCost is the cost of a response that will probably miss its objective, which then
// loses most of its worth to the caller; a cache hit does not compensate for that. The cost
// begins to rise before the objective, because the time is only an estimate.
func latenessCost(expected, objective float64) float64 {
	if objective <= 0 {
		return 0
	}
	return missedObjectiveCost * min(max((expected/objective-latenessStart)/(1-latenessStart), 0), 1)
}

// queuedTokens estimates the prompt tokens that a server still has to prefill: the maximum of
// what this gate has sent, what the keeper has counted over all gates, and the mean prefill of
// as many requests as the engine reports waiting.
func (p *Placer) queuedTokens(s *server, now time.Time) float64 {
	tokens := float64(s.pendingPrefill)
	if s.hasRecentReport(now) {
		done := milliseconds(now.Sub(s.reportedAt)) * p.serverPrefillRate(s, now)
		tokens = max(tokens, float64(s.state.Reading)-done)
		tokens = max(tokens, float64(s.state.Waiting)*p.meanPrefill-done)
	}
	return tokens
}

// serverPrefillRate returns the prompt tokens that a server prefills per millisecond.
func (p *Placer) serverPrefillRate(s *server, now time.Time) float64 {
	return p.prefill.rate / p.paceFactor(s, now)
}

// StillUsable reports whether a call may still be sent to the chosen server.
func (p *Placer) StillUsable(call *beechcall.Call, c Choice) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.byID[c.Server.ID]
	return ok && p.mayServe(call, s, p.clock.Now())
}

// ListAge returns the time since the list of servers was proved to be complete, or 0 if that is not known.
func (p *Placer) ListAge() time.Duration {
	if p.settings.ListAge == nil {
		return 0
	}
	return p.settings.ListAge()
}

// Software returns the version of the software that has answered, or an empty string if it may
// have changed since the server was chosen.
func (p *Placer) Software(c Choice) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.byID[c.Server.ID]; ok && s.softwareVersion() != c.Server.Software {
		return ""
	}
	return c.Server.Software
}
