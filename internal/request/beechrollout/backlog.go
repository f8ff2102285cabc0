package beechrollout

import "time"

// PrefillBacklog estimates what an engine still has to read of the long prompts that
// gates have announced. The zero value has nothing to read. It is not safe for
// concurrent use.
type PrefillBacklog struct {
	left float64
	at   time.Time
	rate float64 // prompt tokens in a millisecond, as gates tell; 0 is not known
}

const (
	// readRate is taken until a gate has told a rate: below what the known
	// engines read alone (41 to 75 tokens in a millisecond).
	readRate = 38
	// ratesOver is over how many gates' words the rate is followed.
	ratesOver = 8
)

// ObserveRate takes in how many tokens in a millisecond a gate sees engines read; 0 is
// nothing.
func (r *PrefillBacklog) ObserveRate(rate float64, now time.Time) {
	if rate <= 0 {
		return
	}
	r.left, r.at = float64(r.Remaining(now)), now
	r.rate = r.pace() + (rate-r.pace())/ratesOver
}

func (r *PrefillBacklog) pace() float64 {
	if r.rate > 0 {
		return r.rate
	}
	return readRate
}

// Add takes in a prompt that is on its way.
func (r *PrefillBacklog) Add(tokens int, now time.Time) {
	r.left = float64(r.Remaining(now) + max(tokens, 0))
	r.at = now
}

// Remaining is what is left to read.
func (r *PrefillBacklog) Remaining(now time.Time) int {
	passed := float64(max(now.Sub(r.at), 0)) / float64(time.Millisecond)
	return int(max(r.left-passed*r.pace(), 0))
}

// Clear tells that at a time the engine had nothing waiting.
func (r *PrefillBacklog) Clear(at time.Time) {
	if at.After(r.at) {
		r.left, r.at = 0, at
	}
}
