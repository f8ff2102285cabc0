package beechplace

import (
	"net/netip"
	"sync"
	"time"

	"github.com/beechring/beechring/internal/decision/beechquota"
	"github.com/beechring/beechring/internal/decision/beechthrottle"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// Ticket follows one attempt. It is safe for concurrent use.
type Ticket struct {
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

// Sent counts an attempt that is about to be sent.
func (p *Placer) Sent(call *beechcall.Call, c Choice) *Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := &Ticket{placer: p, unread: c.Unread}
	s, ok := p.byID[c.Server.ID]
	if !ok {
		return t
	}
	t.server = s
	t.sent = p.clock.Now().Add(c.Wait)
	t.source = c.Fetch
	t.moved, t.expect = c.Moved, time.Duration((c.Expected-milliseconds(c.Wait))*float64(time.Millisecond))
	t.work = p.ahead(s, t.sent) + float64(c.Unread)
	t.usual = t.work/p.speed.rate + p.speed.fixed
	s.flying++
	s.unread += c.Unread
	if call.Model != "" {
		p.usual += (float64(c.Unread) - p.usual) / usualOver
		p.size += (float64(call.PromptTokens) - p.size) / usualOver
		t.prompt = call.PromptTokens
	}
	parts := p.remember(call, c, p.clock.Now())
	if (c.Unread >= announceLeast || c.Missing >= newsLeast || c.Save.IsValid()) && !s.told.IsZero() {
		p.announce(s.Server, c.Unread, parts, c.Save.IsValid())
	}
	return t
}

// Send tells that the attempt goes to the server now. It is false where the server has
// come to its limit since it was chosen.
func (t *Ticket) Send() bool {
	if t.server == nil {
		return true
	}
	t.asked = t.placer.limits.Now()
	_, ok := t.placer.limits.Acquire(t.server.ID).(beechquota.Admitted)
	return ok
}

// Said takes in what the server's answer says of its limit.
func (t *Ticket) Said(limit beechthrottle.ServerLimit) {
	if t.server == nil {
		return
	}
	t.placer.mu.Lock()
	born := t.server.Born
	t.placer.mu.Unlock()
	t.placer.limits.Observe(t.server.ID, born, limit, t.asked)
}

// Load takes in what the server's answer says of its load.
func (t *Ticket) Load(l beechcall.Load) {
	if t.server == nil || !l.Known {
		return
	}
	t.placer.mu.Lock()
	defer t.placer.mu.Unlock()
	t.server.said, t.server.saidAt, t.server.atSaid = l, t.placer.clock.Now(), t.server.flying
}

// First takes the prompt off what the server has to read.
func (t *Ticket) First() {
	t.first.Do(func() {
		if t.server == nil {
			return
		}
		t.placer.mu.Lock()
		t.server.unread = max(t.server.unread-t.unread, 0)
		t.placer.mu.Unlock()
	})
}

// Read tells that the first byte came: the server has read the prompt, and how
// fast it reads can be seen.
func (t *Ticket) Read() {
	t.First()
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
func (t *Ticket) Done(o Outcome) {
	t.First()
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
		if o == Unreached {
			t.placer.limits.Refund(t.server.ID)
		}
	})
}

func (p *Placer) judge(s *server, o Outcome, sent time.Time) {
	now := p.clock.Now()
	switch o {
	case Answered:
		p.full.Answered(s.ID, sent)
		s.fails = 0
		s.downTil = time.Time{}
	case TurnedAway:
		if !s.fresh(now) {
			s.darkTil = now.Add(refusalDark)
		}
	case Failed, Unreached:
		s.fails++
		if o == Failed && s.fails < failsLeast {
			return
		}
		s.downTil = now.Add(min(p.settings.Down<<min(s.fails-1, downShift), p.settings.DownMost))
	case Left:
	}
}

const (
	usualOver  = 64 // requests
	failsLeast = 2  // failures in a row: one broken answer is no sign of a dead server
	downShift  = 6
)

// Has tells which version of a model a server has shown to have.
func (p *Placer) Has(id, model string, version uint64) {
	if version == 0 || model == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.byID[id]; ok && version > s.weights[model] {
		s.weights[model] = version
	}
}

// Refused takes in why a server turned a request away. One at whose address
// another answered is over for good, however long the list still has it; if the
// list has that other too, it is the one to use there, whichever was listed
// later: an entry that somebody else wrote would hide the real server otherwise.
func (p *Placer) Refused(id string, f beechcall.NotRun, model string) {
	p.Has(id, model, f.Weights)
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
		p.full.Rejected(id, f.After)
	}
}
