package beechplace

import "time"

// stay is how long runs keep their memory, weighed by their tokens. The zero
// value has seen no run.
type residenceTime struct {
	tokenTime float64 // tokens x milliseconds, a running mean
	tokens    float64 // a running mean
}

const (
	// defaultResidence is taken before a run has ended: the known kinds of requests
	// run for 0.5 to 3 s.
	defaultResidence = 1000.0 // milliseconds
	residenceSamples = 128    // runs
)

func (s *residenceTime) learn(tokens int, took time.Duration) {
	s.tokenTime += (float64(tokens)*milliseconds(took) - s.tokenTime) / residenceSamples
	s.tokens += (float64(tokens) - s.tokens) / residenceSamples
}

func (s *residenceTime) mean() float64 {
	if s.tokens <= 0 {
		return defaultResidence
	}
	return s.tokenTime / s.tokens
}

// blocked is the wait, in milliseconds, until an engine's memory has room for a
// prompt and for those that wait there already. Memory comes free as runs end:
// all that is in use now within the time that a run stays.
//
// With part of a fleet dark the others' memory fills with runs, and a long
// prompt waits a second and more for room while little is ahead of it to be
// read. Counted by reading alone it would go where it is late and keep others out.
func (p *Placer) memoryWait(shortfall float64, s *server) float64 {
	if shortfall <= 0 {
		return 0
	}
	return shortfall * p.residence.mean() / float64(s.state.CacheUsed)
}

// short is the tokens that an engine's memory lacks for a prompt beside what runs
// and what is on its way there; 0 where it has room or is not known.
func (p *Placer) memoryShortfall(s *server, tokens int, now time.Time) float64 {
	if !s.hasRecentReport(now) || s.state.CacheTotal <= 0 || s.state.CacheUsed <= 0 {
		return 0
	}
	arriving := s.state.Waiting + max(s.inFlight-s.inFlightAtReport, 0)
	need := float64(tokens) + float64(arriving)*p.meanPrompt
	return max(need-float64(s.state.CacheTotal-s.state.CacheUsed), 0)
}

// crowding is the cost of a prompt that an engine's memory has no room for: a run
// yields there, and is read again from its start.
func (p *Placer) preemptionCost(shortfall float64) float64 {
	return p.settings.ReprefillCost * min(shortfall, p.meanPrompt)
}
