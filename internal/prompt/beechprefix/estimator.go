package beechprefix

import (
	"math"
	"sync/atomic"
)

// The ratio starts at four characters per token, which suits English and Spanish
// prose, and is kept within the range of tokenizers for any text.
const (
	defaultCharsPerToken = 4.0
	minCharsPerToken     = 0.5
	maxCharsPerToken     = 16.0
	smoothing            = 0.05 // weight of each new report in the moving average
)

// Estimator estimates token counts from character counts. It adjusts its ratio to
// the usage that engines report. It is safe for concurrent use; nil and the zero
// value use the default ratio.
type Estimator struct {
	ratioBits atomic.Uint64 // the ratio as float64 bits; 0 means the default
}

// Tokens returns the estimated number of tokens in the given number of
// characters, rounded up.
func (e *Estimator) Tokens(characters int) int {
	if characters <= 0 {
		return 0
	}
	return int(math.Ceil(float64(characters) / e.ratio()))
}

// Correct adjusts the ratio to a prompt for which an estimate and the engine's
// count are known. Counts that are not positive are ignored.
func (e *Estimator) Correct(estimated, counted int) {
	if estimated <= 0 || counted <= 0 {
		return
	}
	for {
		old := e.ratioBits.Load()
		ratio := e.ratio()
		target := ratio * float64(estimated) / float64(counted)
		ratio += smoothing * (target - ratio)
		ratio = min(max(ratio, minCharsPerToken), maxCharsPerToken)
		if e.ratioBits.CompareAndSwap(old, math.Float64bits(ratio)) {
			return
		}
	}
}

func (e *Estimator) ratio() float64 {
	if e == nil {
		return defaultCharsPerToken
	}
	if bits := e.ratioBits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return defaultCharsPerToken
}
