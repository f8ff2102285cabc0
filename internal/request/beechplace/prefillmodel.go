package beechplace

// speed is how fast engines read prompts, as seen from this gate: a time that
// every first word takes, however short the prompt, and a rate beyond it. Taken
// as one, the fixed time makes engines look much slower than they read; waits are
// believed to be longer than they are, prompts go elsewhere than where their
// history lies, and are read again there.
type prefillModel struct {
	rate    float64 // tokens in a millisecond
	fixed   float64 // milliseconds
	learned bool    // something was learned of the rate
}

const (
	minRateTokens  = 2500 // tokens; shorter prompts show the fixed time instead
	maxFixedTokens = 1000 // tokens; of longer prompts the reading is most of the time
	rateSamples    = 32   // samples
	minRate        = 8    // tokens in a millisecond
	maxRate        = 200
	// fixedQuantile of short prompts take less than the fixed time as it is
	// followed, in steps of fixedStep: a low share, since the others have waited
	// behind something. With their mean, engines that were full seemed to have
	// become slow to start and quick to read.
	fixedQuantile  = 0.1
	fixedStep      = 4  // milliseconds
	minPrefillTime = 10 // milliseconds that are left for the reading at the least
)

// learn takes in how many tokens had to be read before a first word, and how many
// milliseconds it took.
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
	seen := min(max(tokens/max(took-s.fixed, minPrefillTime), minRate), maxRate)
	s.rate += (seen - s.rate) / rateSamples
	s.learned = true
}
