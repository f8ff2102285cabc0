package beechplace

// prefillModel estimates the time to first token as a fixed time plus the prompt's tokens at a
// rate. With a rate alone, the fixed time makes engines appear much slower than they are:
// predicted waits are too long, and prompts are sent away from the engine that caches their
// history and are prefilled again.
type prefillModel struct {
	rate    float64 // tokens per millisecond
	fixed   float64 // milliseconds
	learned bool    // a sample of the rate was taken
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
	fixedStep      = 4  // milliseconds
	minPrefillTime = 10 // milliseconds left for the prefill at least
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
}
