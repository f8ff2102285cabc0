package beechplace

import "time"

// residenceTime is the mean time that requests occupy engine memory, weighted by their tokens.
// The zero value has no samples.
type residenceTime struct {
	tokenTime float64 // running mean of tokens x milliseconds
	tokens    float64 // running mean
}

const (
	// defaultResidence is used until a request has ended: the known kinds of requests run for
	// 0.5 to 3 s.
	defaultResidence = 1000.0 // milliseconds
	residenceSamples = 128    // weight of the running means, in requests
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

// memoryWait estimates the wait, in milliseconds, until an engine's memory has room for a
// prompt and for those already waiting. Memory is released as requests end: all that is in use
// now, within the mean residence time.
//
// When part of a fleet is not serving, the memory of the other engines fills up, and a long
// prompt waits a second or more for room although few tokens are queued for prefill. By the
// prefill queue alone it would be sent there, be late and block others.
func (p *Placer) memoryWait(shortfall float64, s *server) float64 {
	if shortfall <= 0 {
		return 0
	}
	return shortfall * p.residence.mean() / float64(s.state.CacheUsed)
}

// memoryShortfall returns the tokens that an engine's memory lacks for a prompt, in addition
// to running and arriving requests; 0 if there is room or the memory is not known.
func (p *Placer) memoryShortfall(s *server, tokens int, now time.Time) float64 {
	if !s.hasRecentReport(now) || s.state.CacheTotal <= 0 || s.state.CacheUsed <= 0 {
		return 0
	}
	arriving := s.state.Waiting + max(s.inFlight-s.inFlightAtReport, 0)
	need := float64(tokens) + float64(arriving)*p.meanPrompt
	return max(need-float64(s.state.CacheTotal-s.state.CacheUsed), 0)
}

// preemptionCost is the cost of a prompt for which an engine's memory has no room: a running
// request is preempted and prefilled again from its start.
func (p *Placer) preemptionCost(shortfall float64) float64 {
	return p.settings.ReprefillCost * min(shortfall, p.meanPrompt)
}
