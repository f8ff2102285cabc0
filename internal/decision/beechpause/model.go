// Package beechpause estimates the pauses between the events of streams at an engine that reads
// prompts between their tokens, on a host that may be slow at this moment.
//
// # Usage
//
//	var m beechpause.Model
//	m.ObserveGap(gap, slowness)               // between two events of a stream
//	m.ObservePrefill(tokens, took, slowness)  // a prompt was read
//	risk := beechpause.Risk(m.Pause(unread, slowness), longestAllowed)
package beechpause

import "time"

// Model learns what an engine's work takes on a host of the usual speed. The zero value has
// learned nothing.
type Model struct {
	gap     float64 // median milliseconds between two events
	rate    float64 // prompt tokens per millisecond
	samples int     // of the rate
}

const (
	usual = 100. // percent
	// Streams share few events of a kind, so the median moves by a fixed step.
	gapStep     = 0.5 // milliseconds
	rateSamples = 32  // weight of the running mean, in prompts
	minTokens   = 2000
	minTime     = 10 * time.Millisecond // what is left of a prompt's time at least
	minRate     = 4
	maxRate     = 400
	// riskStart is the share of the longest pause from which on a pause may turn out longer: the
	// tokens that others send at the same time are not known.
	riskStart = 0.6
)

// ObserveGap adds the time between two events of a stream, at a host of the given slowness.
func (m *Model) ObserveGap(gap time.Duration, slowness int) {
	if slowness <= 0 || gap <= 0 {
		return
	}
	ms := milliseconds(gap) * usual / float64(slowness)
	switch {
	case m.gap == 0:
		m.gap = ms
	case ms > m.gap:
		m.gap += gapStep
	default:
		m.gap = max(m.gap-gapStep, gapStep)
	}
}

// ObservePrefill adds the time that an engine took to read tokens, at a host of the given slowness.
func (m *Model) ObservePrefill(tokens float64, took time.Duration, slowness int) {
	if slowness <= 0 || tokens < minTokens {
		return
	}
	sample := min(max(tokens/milliseconds(max(took, minTime))*float64(slowness)/usual, minRate), maxRate)
	if m.samples == 0 {
		m.rate = sample
	}
	m.samples++
	m.rate += (sample - m.rate) / float64(min(m.samples, rateSamples))
}

// Known reports whether the model can tell pauses.
func (m *Model) Known() bool { return m.samples > 0 }

// Pause returns the milliseconds between two events of a stream beside unread tokens.
func (m *Model) Pause(unread float64, slowness float64) float64 {
	return (m.gap + unread/m.rate) * slowness / usual
}

// Risk returns how likely a stream whose pause is expected to take the given milliseconds has one
// beyond the longest allowed.
func Risk(pause float64, longest time.Duration) float64 {
	limit := milliseconds(longest)
	if limit <= 0 {
		return 0
	}
	return min(max((pause/limit-riskStart)/(1-riskStart), 0), 1)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
