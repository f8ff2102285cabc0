package beechplace

import (
	"slices"
	"time"

	"github.com/beechring/beechring/internal/decision/beechpause"
	"github.com/beechring/beechring/internal/request/beechcall"
)

type (
	// Pause is what is known of a server during a pause of one of its streams.
	Pause struct {
		Cause       PauseCause
		Server      string
		Slowness    float64 // of its host in percent of the usual; 0: not known
		SlownessAge time.Duration
		Unread      int // estimated tokens of prompts that it reads or has to read
		Running     int
	}

	// PauseCause is the probable cause of a pause.
	PauseCause string

	// eventLog is what a server did lately.
	eventLog struct {
		count    uint64    // events of streams to this gate
		promptAt time.Time // when long prompts were last known to be unread
		slowAt   time.Time // when its host was last slower than usual
	}
)

// Causes of pauses.
const (
	PauseSlowPrompt  PauseCause = "slowPrompt" // a prompt was read on a slow host
	PausePrompt      PauseCause = "prompt"
	PauseSlow        PauseCause = "slow"
	PausePreempted   PauseCause = "preempted" // other streams of the server went on
	PauseUnexplained PauseCause = "unexplained"
)

// moment is how slow the host of a server is. Its keeper's word is in strain.
type moment struct {
	beechpause.Moment
	answered   int // slowness in the last answer, in percent of the usual; 0: not known
	answeredAt time.Time
}

const (
	// answeredMomentTTL is the time for which the slowness in an answer holds, if the keeper of the
	// engine does not report a later one.
	answeredMomentTTL = 400 * time.Millisecond
	// keptMomentTTL is longer than the interval at which keepers repeat an unchanged slowness.
	keptMomentTTL = 1500 * time.Millisecond
	// eventsOfOthers is how many events each other stream of a server may have during a pause that
	// concerns all: one, and another at either end.
	eventsOfOthers = 2
	// harmShare is the share of the harm to streams that is avoided if a prompt goes elsewhere: it
	// holds up the streams there. With the whole harm, gates push long prompts together at the
	// engines with the fewest streams.
	harmShare = 0.1
	// stayFactor: a stream stays for longer than the prompts ahead of it, and meets those that follow.
	stayFactor = 5
)

// observeMoment records the slowness that a server's keeper or answer tells.
func (p *Placer) observeMoment(s *server, slowness int, now time.Time) {
	s.moment.Observe(slowness, now, &p.onsets)
	if s.moment.IsSlow(float64(slowness)) {
		s.events.slowAt = now
	}
}

// observeAnswered records the slowness in an answer.
func (p *Placer) observeAnswered(s *server, slowness int, now time.Time) {
	if slowness > 0 {
		s.moment.answered, s.moment.answeredAt = slowness, now
		p.observeMoment(s, slowness, now)
	}
}

// observePrompts records whether long prompts are unread.
func (s *server) observePrompts(tokens int, now time.Time) {
	if tokens >= minAnnouncedTokens {
		s.events.promptAt = now
	}
}

func (s *server) momentAt() time.Time {
	if s.moment.answeredAt.After(s.strainAt) {
		return s.moment.answeredAt
	}
	return s.strainAt
}

// slownessAt returns how slow the host of a server is: at this moment if that is known, else usually.
func (s *server) slownessAt(now time.Time) (slowness float64, known bool) {
	kept := s.strain.Slowness > 0 && now.Sub(s.strainAt) < keptMomentTTL
	answered := s.moment.answered > 0 && now.Sub(s.moment.answeredAt) < answeredMomentTTL
	switch {
	case answered && (!kept || s.moment.answeredAt.After(s.strainAt)):
		return float64(s.moment.answered), true
	case kept:
		return float64(s.strain.Slowness), true
	}
	return s.moment.Usual(), s.moment.Usual() > 0
}

// pauseCost returns what a prompt costs the streams that run at an engine: they pause while it is
// read. A pause beyond the longest allowed makes the answer late.
//
// Long prompts that are sent to an engine on a slow host, or one after the other to the same
// engine, make all streams there late.
func (p *Placer) pauseCost(call *beechcall.Call, s *server, tokens int, now time.Time) float64 {
	slowness, known := s.slownessAt(now)
	longest := call.Route.MaxPause
	if !known || longest <= 0 {
		return 0
	}
	ahead := p.unreadTokens(s, slowness, now)
	before := p.pauseRisk(s, ahead, slowness, longest)
	after := p.pauseRisk(s, ahead+float64(tokens), slowness, longest)
	return missedObjectiveCost * (harmShare*(after-before)*p.estimatedLoad(s) + stayFactor*before)
}

// PauseModel returns what was learned of pauses, for operators.
func (p *Placer) PauseModel() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	gap, longest, rate := p.pauses.Learned()
	const second = 1000
	onsets, _ := p.onsets.Within(second)
	return map[string]float64{"eventMillis": gap, "longestMillis": longest, "tokensPerMilli": rate, "slowOnsetsPerSecond": onsets}
}

// TellsSlowness reports whether a server of a service has told how slow its host is.
func (p *Placer) TellsSlowness(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.services[service], func(s *server) bool { return s.moment.Usual() > 0 })
}

// pauseRisk returns the share of the streams at a server that pause for longer than allowed while it
// reads tokens. Its host may turn slow meanwhile.
func (p *Placer) pauseRisk(s *server, tokens, slowness float64, longest time.Duration) float64 {
	risk := p.pauses.Risk(tokens, slowness, longest)
	if s.moment.IsSlow(slowness) || risk >= 1 {
		return risk
	}
	onset, factor := p.onsets.Within(tokens / max(p.pauses.Rate(slowness), 1))
	return (1-onset)*risk + onset*p.pauses.Risk(tokens, factor*slowness, longest)
}

// unreadTokens estimates the prompt tokens that a server on a host of the given slowness still has
// to read.
func (p *Placer) unreadTokens(s *server, slowness float64, now time.Time) float64 {
	tokens := float64(s.pendingPrefill)
	if s.hasRecentReport(now) {
		done := milliseconds(now.Sub(s.reportedAt)) * p.pauses.Rate(slowness)
		tokens = max(tokens, float64(s.state.Reading)-done)
		tokens = max(tokens, float64(s.state.Waiting)*p.meanPrefill-done)
	}
	return tokens
}

// ObserveEvents records that events of a stream have arrived, gap after those before them or 0 if
// they are the first. It returns how many the server has sent this gate.
func (a *Attempt) ObserveEvents(gap time.Duration) uint64 {
	if a.server == nil {
		return 0
	}
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	now := a.placer.clock.Now()
	slowness, known := a.server.slownessAt(now)
	if known {
		a.placer.pauses.ObserveGap(gap, slowness)
	}
	a.server.events.count++
	return a.server.events.count
}

// PauseSince tells what is known of a server since an event, at which it had sent the given
// number.
func (a *Attempt) PauseSince(at time.Time, events uint64) Pause {
	if a.server == nil {
		return Pause{Cause: PauseUnexplained}
	}
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	s, now := a.server, a.placer.clock.Now()
	p := Pause{Server: s.ID, Cause: PauseUnexplained, Unread: int(a.placer.unreadTokens(s, 100, now)), Running: int(a.placer.estimatedLoad(s))}
	p.Slowness, _ = s.slownessAt(now)
	p.SlownessAge = now.Sub(s.momentAt())
	slow := s.moment.IsSlow(p.Slowness) || s.events.slowAt.After(at)
	prompt := p.Unread >= minAnnouncedTokens || s.events.promptAt.After(at)
	others := uint64(max(s.inFlight-1, 0))
	switch {
	case others > 0 && s.events.count-events > eventsOfOthers*others:
		p.Cause = PausePreempted
	case slow && prompt:
		p.Cause = PauseSlowPrompt
	case slow:
		p.Cause = PauseSlow
	case prompt:
		p.Cause = PausePrompt
	}
	return p
}
