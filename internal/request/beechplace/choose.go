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
	fillCost   = 120  // of an engine whose slots are all taken, at a full batch each token takes several times as long
	overCost   = 40   // of each request beyond the slots
	plainCost  = 25   // of a plain server's slots all taken: about one request's work
	doubtCost  = 400  // of a server of weight 0 that is the only one
	fullCost   = 1000 // of one that turns work away: the last that is tried
	lateCost   = 700  // of an answer that misses its objective
	lateFrom   = 0.5  // of the objective
	memoryFull = 0.9  // of an engine's memory that cannot yield; beyond it runs are preempted
	memoryCost = 300
	// askAgain is what it is worth to hear whether a server's need is over.
	askAgain = 150
	// returnMost is the longest time after which a caller is told to come back.
	returnMost = 10 * time.Second
	// beginsWithin times what is expected a first byte usually comes: expectations
	// miss half of what waits where engines are full.
	beginsWithin = 3
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
	levels := p.levels(call, now)
	for _, s := range p.services[call.Service] {
		if slices.Contains(tried, s.ID) || !p.usable(s, now) {
			continue
		}
		c, ok := p.weigh(call, s, levels, now)
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
	return p.amongLimited(best, found, limited)
}

// amongLimited chooses between the best server without a limit, if there is one, and those
// with one that are cheaper and have room.
func (p *Placer) amongLimited(best Choice, found bool, limited []Choice) (Choice, bool) {
	for i := range limited {
		if p.limits.ProbeDue(limited[i].Server.ID) {
			limited[i].Cost -= askAgain
		}
	}
	slices.SortFunc(limited, func(x, y Choice) int { return cmp.Compare(x.Cost, y.Cost) })
	passed, back := "", returnMost
	for _, c := range limited {
		if found && best.Cost < c.Cost {
			break
		}
		switch d := p.limits.Check(c.Server.ID).(type) {
		case beechquota.Admitted:
			c.Passed = passed
			return c, true
		case beechquota.Refused:
			p.limits.CountWithheld(c.Server.ID)
			passed, back = cmp.Or(passed, c.Server.ID), min(back, d.After)
		}
	}
	if !found {
		return Choice{Passed: passed, Back: back}, false
	}
	best.Passed = passed
	return best, true
}

// ComeBack is when a caller of a service may come back whose servers are all at their
// limits, given when one of them has room. Callers are told times one after the other, as
// fast as the servers take them; told the same time, most would come to be refused again.
func (p *Placer) ComeBack(service string, room time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	rate := 0.0
	for _, s := range p.services[service] {
		if p.usable(s, now) && p.limits.Limited(s.ID) {
			rate += p.limits.Rate(s.ID) / float64(p.settings.Fronts)
		}
	}
	at, latest := now.Add(room), now.Add(returnMost)
	if next := p.returns[service]; next.After(at) {
		at = next
	}
	if !at.Before(latest) || rate <= 0 {
		return returnMost
	}
	p.returns[service] = at.Add(min(time.Duration(float64(time.Second)/rate), returnMost))
	return at.Sub(now)
}

func (p *Placer) usable(s *server, now time.Time) bool {
	if s.Leaving || s.over || now.Before(s.downTil) || now.Before(s.darkTil) || now.Before(s.doubtTil) {
		return false
	}
	return !s.fresh(now) || s.state.Phase == beechrollout.Serving
}

// fresh tells whether the keeper has spoken lately.
func (s *server) fresh(now time.Time) bool {
	return !s.told.IsZero() && now.Sub(s.told) < toldLasts
}

func (p *Placer) weigh(call *beechcall.Call, s *server, levels []level, now time.Time) (Choice, bool) {
	c := Choice{Server: s.Server}
	if call.Model == "" {
		c.Cost = p.plain(s)
	} else {
		have := s.weights[call.Model]
		if have == 0 {
			return c, false
		}
		c.Weights = have
		age, old := p.overtaken(s, call.Model, have, now)
		if old && age > p.settings.OldBegin {
			return c, false
		}
		if old && age > p.settings.OldFree {
			c.Cost += p.settings.OldPenalty
		}
		c.Salt = salt(call, have)
		c.Cost += p.prefix(call, s, levels, now, &c)
		short := p.short(s, call.PromptTokens, now)
		slow := p.factor(s, now)
		rate := p.speed.rate / slow
		before := p.ahead(s, now.Add(c.Wait))/rate + p.blocked(short, s)
		c.Ahead = milliseconds(c.Wait) + before
		own := float64(c.Unread) / rate
		fixed := p.speed.fixed * slow
		c.Expected = c.Ahead + own + fixed
		if old && !p.beginsInTime(&c, age) {
			return c, false
		}
		c.Cost += before + own + (fixed - p.speed.fixed) + p.crowding(short) + slow*p.fill(s, now) + late(c.Expected, milliseconds(call.Route.Objective))
	}
	if s.Zone != p.settings.Zone {
		c.Cost += p.settings.Crossing + p.settings.CrossingByte*float64(len(call.Body))
	}
	c.Cost += doubtCost * (1 - p.health.Weight(s.Address))
	if !s.fresh(now) && p.full.IsFull(s.ID) {
		c.Cost += fullCost
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
func (p *Placer) beginsInTime(c *Choice, age time.Duration) bool {
	c.Begin = p.settings.OldBegin - age - c.Wait
	if age <= p.settings.OldMost {
		return true
	}
	return time.Duration(beginsWithin*c.Expected*float64(time.Millisecond)) < c.Begin
}

// plain is the cost of a plain service's server, which has no shared parts.
func (p *Placer) plain(s *server) float64 {
	slots := float64(max(s.slots, 1))
	return plainCost * p.load(s) / slots
}

// load estimates what runs and waits at a server: the keeper's word, with what
// this gate has sent or seen answered since. Without a keeper it is the server's own
// word with an answer, and as that grows old the gates are taken to send alike.
func (p *Placer) load(s *server) float64 {
	if !s.told.IsZero() && p.clock.Since(s.told) < toldLasts {
		return max(float64(s.state.Running+s.state.Waiting+s.flying-s.atTold), float64(s.flying))
	}
	alike := float64(s.flying * p.settings.Fronts)
	age := p.clock.Since(s.saidAt)
	if !s.said.Known || age >= saidLasts {
		return alike
	}
	said := float64(max(s.said.Running+s.said.Waiting-s.atSaid, 0) + s.flying)
	return said + (alike-said)*float64(age)/float64(saidLasts)
}

func (p *Placer) fill(s *server, now time.Time) float64 {
	slots := float64(max(s.slots, defaultSlots))
	load := p.load(s)
	share := min(load/slots, 1)
	cost := fillCost * share * share
	if load > slots {
		cost += overCost * (load - slots)
	}
	if s.fresh(now) && s.state.CacheTotal > 0 && float64(s.state.CacheUsed) > memoryFull*float64(s.state.CacheTotal) {
		cost += memoryCost
	}
	return cost
}

// late is the cost of an answer that will probably miss its objective: most of
// what it is worth to its caller is lost then, and no cached part makes up for
// that. It sets in before the objective, since the wait is only estimated.
func late(expected, objective float64) float64 {
	if objective <= 0 {
		return 0
	}
	return lateCost * min(max((expected/objective-lateFrom)/(1-lateFrom), 0), 1)
}

// ahead is the prompt tokens that a server still has to read: what this gate
// has sent, or what the keeper has heard from all gates, if that is more, or
// what as many waiting requests as the engine reports usually have to read.
func (p *Placer) ahead(s *server, now time.Time) float64 {
	ahead := float64(s.unread)
	if s.fresh(now) {
		read := milliseconds(now.Sub(s.told)) * p.rateOf(s, now)
		ahead = max(ahead, float64(s.state.Reading)-read)
		ahead = max(ahead, float64(s.state.Waiting)*p.usual-read)
	}
	return ahead
}

// rateOf is the prompt tokens that a server reads in a millisecond.
func (p *Placer) rateOf(s *server, now time.Time) float64 {
	return p.speed.rate / p.factor(s, now)
}

// Still tells whether the server of a choice may be used yet, after the
// choice's wait.
func (p *Placer) Still(c Choice) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.byID[c.Server.ID]
	return ok && p.usable(s, p.clock.Now())
}
