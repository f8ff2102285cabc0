package beechprefix

import (
	"math"
	"sync/atomic"
)

// The ratio starts at four characters a token, which suits English and Spanish
// prose, and stays within what tokenizers give for any text.
const (
	defaultRatio = 4.0
	minRatio     = 0.5
	maxRatio     = 16.0
	correction   = 0.05 // share of one report's error that is taken in
)

// Estimator estimates tokens from characters. Its ratio is corrected from the
// usage that engines report. It is safe for concurrent use; nil and the zero
// value have the default ratio.
type Estimator struct {
	bits atomic.Uint64 // the ratio as float bits, 0 for the default
}

// Tokens is the estimate for that many characters, rounded up.
func (e *Estimator) Tokens(characters int) int {
	if characters <= 0 {
		return 0
	}
	return int(math.Ceil(float64(characters) / e.ratio()))
}

// Correct takes in that a prompt estimated at so many tokens had so many by the
// engine's count. Counts that are not positive are passed over.
func (e *Estimator) Correct(estimated, counted int) {
	if estimated <= 0 || counted <= 0 {
		return
	}
	for {
		old := e.bits.Load()
		ratio := e.ratio()
		target := ratio * float64(estimated) / float64(counted)
		ratio += correction * (target - ratio)
		ratio = min(max(ratio, minRatio), maxRatio)
		if e.bits.CompareAndSwap(old, math.Float64bits(ratio)) {
			return
		}
	}
}

func (e *Estimator) ratio() float64 {
	if e == nil {
		return defaultRatio
	}
	if bits := e.bits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return defaultRatio
}
