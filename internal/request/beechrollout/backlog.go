package beechrollout

import "time"

// PrefillBacklog estimates how many tokens of announced long prompts an engine has
// still to prefill. The zero value is an empty backlog. It is not safe for concurrent
// use.
type PrefillBacklog struct {
	tokens      float64 // at updatedAt
	updatedAt   time.Time
	tokensPerMs float64 // prefill rate reported by gates; 0: not known
	slowness    int     // of the engine's host, in percent of the usual; 0: not known
}

const (
	// defaultTokensPerMs is used until a gate has reported a rate. It is below what the
	// known engines reach with a single prompt (41 to 75 tokens per millisecond).
	defaultTokensPerMs = 38
	// rateSmoothing is the number of reports over which the rate is averaged.
	rateSmoothing = 8
	usualSlowness = 100 // percent
)

// ObserveRate records the prefill rate, in tokens per millisecond, that a gate has
// measured; 0 is ignored.
func (b *PrefillBacklog) ObserveRate(rate float64, now time.Time) {
	if rate <= 0 {
		return
	}
	b.tokens, b.updatedAt = float64(b.Remaining(now)), now
	b.tokensPerMs = b.currentRate() + (rate-b.currentRate())/rateSmoothing
}

// Rate returns the tokens that the engine is taken to prefill per millisecond.
func (b *PrefillBacklog) Rate() float64 { return b.currentRate() }

// SetSlowness records how slow the engine's host is from now on, in percent of the usual; 0: not
// known.
func (b *PrefillBacklog) SetSlowness(slowness int, now time.Time) {
	if slowness != b.slowness {
		b.tokens, b.updatedAt, b.slowness = float64(b.Remaining(now)), now, slowness
	}
}

// momentaryRate returns the rate on the engine's host at this moment.
func (b *PrefillBacklog) momentaryRate() float64 {
	if b.slowness <= 0 {
		return b.currentRate()
	}
	return b.currentRate() * usualSlowness / float64(b.slowness)
}

func (b *PrefillBacklog) currentRate() float64 {
	if b.tokensPerMs > 0 {
		return b.tokensPerMs
	}
	return defaultTokensPerMs
}

// Add records a prompt that is being sent to the engine.
func (b *PrefillBacklog) Add(tokens int, now time.Time) {
	b.tokens = float64(b.Remaining(now) + max(tokens, 0))
	b.updatedAt = now
}

// Remaining returns the number of tokens still to prefill.
func (b *PrefillBacklog) Remaining(now time.Time) int {
	elapsed := float64(max(now.Sub(b.updatedAt), 0)) / float64(time.Millisecond)
	return int(max(b.tokens-elapsed*b.momentaryRate(), 0))
}

// Clear records that the engine had no waiting requests at the given time.
// Prompts added later than that stay in the backlog.
func (b *PrefillBacklog) Clear(at time.Time) {
	if at.After(b.updatedAt) {
		b.tokens, b.updatedAt = 0, at
	}
}
