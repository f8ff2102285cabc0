package beechplace

import "math"

// prefillModel estimates the time to first token as a fixed time plus the prompt's tokens at a
// rate. With a rate alone, the fixed time makes engines appear much slower than they are:
// predicted waits are too long, and prompts are sent away from the engine that caches their
// history and are prefilled again.
type prefillModel struct {
	rate    float64 // tokens per millisecond
	fixed   float64 // milliseconds
	learned bool    // a sample of the rate was taken

	unreported SpeedReport // samples not yet sent to other gates
}

// SpeedReport sums up samples of the speed of all engines, for other gates: a single gate of a
// large fleet sends few prompts.
type SpeedReport struct {
	Samples int
	Rate    float64 // mean, in tokens per millisecond
	Fixed   float64 // in milliseconds
}

const (
	minRateTokens  = 2500 // shorter prompts mainly show the fixed time
	maxFixedTokens = 1000 // for longer prompts most of the time is prefill
	rateSamples    = 32   // weight of the running mean
	minRate        = 8    // tokens per millisecond
	maxRate        = 200
	// fixedQuantile is the quantile of short prompts' times that the fixed time tracks, in
	// steps of fixedStep. It is low because the other prompts have waited in a queue. With the
	// mean, full engines appeared slow to start and fast to prefill.
	fixedQuantile  = 0.1
	fixedStep      = 4     // milliseconds
	minPrefillTime = 10    // milliseconds left for the prefill at least
	maxFixedTime   = 10000 // milliseconds
)

// learn adds a sample: the tokens prefilled before a first token, and the milliseconds that it
// took.
func (s *prefillModel) learn(tokens, took float64) {
	if took <= 0 {
		return
	}
	if tokens <= maxFixedTokens {
		if took-tokens/s.rate < s.fixed {
			s.fixed = max(s.fixed-(1-fixedQuantile)*fixedStep, 0)
		} else {
			s.fixed += fixedQuantile * fixedStep
		}
	}
	if tokens < minRateTokens {
		return
	}
	sample := min(max(tokens/max(took-s.fixed, minPrefillTime), minRate), maxRate)
	s.rate += (sample - s.rate) / rateSamples
	s.learned = true
	s.unreported.Samples++
	s.unreported.Rate += (sample - s.unreported.Rate) / float64(s.unreported.Samples)
}

// merge adds the samples of other gates.
func (s *prefillModel) merge(r SpeedReport) {
	weight := 1 - math.Pow(1-1./rateSamples, float64(r.Samples))
	s.rate += (r.Rate - s.rate) * weight
	s.fixed += (r.Fixed - s.fixed) * weight
	s.learned = true
}

// TakeSpeedReport returns and resets the samples collected since the last call.
func (p *Placer) TakeSpeedReport() SpeedReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	report := p.prefill.unreported
	report.Fixed = p.prefill.fixed
	p.prefill.unreported = SpeedReport{}
	return report
}

// MergeSpeedReport adds the samples of other gates. A report with invalid values is ignored.
func (p *Placer) MergeSpeedReport(r SpeedReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Samples > 0 && r.Samples <= maxReportSamples && r.Rate >= minRate && r.Rate <= maxRate && r.Fixed >= 0 && r.Fixed <= maxFixedTime {
		p.prefill.merge(r)
	}
}
