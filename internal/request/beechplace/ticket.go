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
	placer  *Placer
	server  *server
	prompt  int // tokens; 0 for plain services
	moved   int // tokens from a store of kept KV cache
	source  netip.AddrPort
	expect  time.Duration
	unread  int
	work    float64 // tokens that had to be read, those ahead included
	usual   float64 // milliseconds that an engine of the common speed takes for it
	sent    time.Time
	asked   time.Duration // when it was sent, by the clock of the limits
	learned bool
	first   sync.Once
	done    sync.Once
}

// StartAttempt counts an attempt that is about to be sent.
func (p *Placer) StartAttempt(call *beechcall.Call, c Choice) *Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := &Attempt{placer: p, unread: c.PrefillTokens}
	s, ok := p.byID[c.Server.ID]
	if !ok {
		return t
	}
	t.server = s
	t.sent = p.clock.Now().Add(c.Wait)
	t.source = c.Fetch
	t.moved, t.expect = c.StoreTokens, time.Duration((c.Expected-milliseconds(c.Wait))*float64(time.Millisecond))
	t.work = p.ahead(s, t.sent) + float64(c.PrefillTokens)
	t.usual = t.work/p.speed.rate + p.speed.fixed
	s.flying++
	s.unread += c.PrefillTokens
	if call.Model != "" {
		p.usual += (float64(c.PrefillTokens) - p.usual) / usualOver
		p.size += (float64(call.PromptTokens) - p.size) / usualOver
		t.prompt = call.PromptTokens
	}
	parts := p.remember(call, c, p.clock.Now())
	if (c.PrefillTokens >= announceLeast || c.Missing >= newsLeast || c.Save.IsValid()) && !s.told.IsZero() {
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
	t.asked = t.placer.limits.Now()
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
	t.placer.limits.Heard(t.server.ID, born, limit, t.asked)
}

// ObserveLoad takes in what the server's answer says of its load.
func (t *Attempt) ObserveLoad(l beechcall.Load) {
	if t.server == nil || !l.Known {
		return
	}
	t.placer.mu.Lock()
	defer t.placer.mu.Unlock()
	t.server.said, t.server.saidAt, t.server.atSaid = l, t.placer.clock.Now(), t.server.flying
}

// finishPrefill takes the prompt off what the server has to read.
func (t *Attempt) finishPrefill() {
	t.first.Do(func() {
		if t.server == nil {
			return
		}
		t.placer.mu.Lock()
		t.server.unread = max(t.server.unread-t.unread, 0)
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
	took := milliseconds(now.Sub(t.sent))
	if store := t.placer.storeAt(t.source); t.moved > 0 && store != nil {
		store.fetches.took(now.Sub(t.sent), t.expect, now)
	}
	if t.prompt > 0 && t.moved == 0 {
		t.placer.paced(t.server, took, t.usual, now)
	}
	t.placer.speed.learn(t.work, took)
}

// Done ends the attempt.
func (t *Attempt) Done(o Outcome) {
	t.finishPrefill()
	t.done.Do(func() {
		if t.server == nil {
			return
		}
		t.placer.mu.Lock()
		defer t.placer.mu.Unlock()
		t.server.flying = max(t.server.flying-1, 0)
		if o == Answered && t.prompt > 0 {
			t.placer.stay.learn(t.prompt, t.placer.clock.Since(t.sent))
		}
		t.placer.judge(t.server, o, t.sent)
		if o == Unreachable {
			t.placer.limits.GiveBack(t.server.ID)
		}
	})
}

func (p *Placer) judge(s *server, o Outcome, sent time.Time) {
	now := p.clock.Now()
	switch o {
	case Answered:
		p.full.Took(s.ID, sent)
		s.fails = 0
		s.downTil = time.Time{}
	case Rejected:
		if !s.fresh(now) {
			s.darkTil = now.Add(refusalDark)
		}
	case Failed, Unreachable:
		s.fails++
		if o == Failed && s.fails < failsLeast {
			return
		}
		s.downTil = now.Add(min(p.settings.DownTime<<min(s.fails-1, downShift), p.settings.MaxDownTime))
	case Cancelled:
	}
}

const (
	usualOver  = 64 // requests
	failsLeast = 2  // failures in a row: one broken answer is no sign of a dead server
	downShift  = 6
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
func (p *Placer) ObserveRejection(id string, f beechcall.NotRun, model string) {
	p.ObserveVersion(id, model, f.Weights)
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.byID[id]
	switch {
	case !ok:
	case f.Replaced:
		s.over, s.refuted = true, true
		if there, listed := p.byID[f.There]; listed && there.Address == s.Address {
			there.over = false
			p.byPlace[s.Address] = there
		}
	case f.Other && f.Weights == 0:
		s.darkTil = p.clock.Now().Add(refusalDark)
	case !f.Other && !s.fresh(p.clock.Now()):
		p.full.TurnedAway(id, f.After)
	}
}
