// Package beechpause estimates the pauses between the events of streams at an engine that reads
// prompts between their tokens, on a host that may be slow at this moment.
//
// # Usage
//
//	var m beechpause.Model
//	m.ObserveGap(gap, slowness)               // between two events of a stream
//	m.ObservePrefill(tokens, took, slowness)  // a prompt was read
//	late := m.Risk(unread, slowness, longestAllowed)
package beechpause

import "time"

// Model learns what an engine's work takes on a host of the usual speed. The zero value has
// learned nothing.
type Model struct {
	gap     float64 // median milliseconds between two events
	longest float64 // longest usual milliseconds between two events: prompts are read at each step between them
	rate    float64 // prompt tokens per millisecond
	samples int     // of the rate
}

const (
	usual = 100. // percent
	// gapStep is how far an event moves the median.
	gapStep = 0.5 // milliseconds
	// longestQuantile is the quantile of times between events that longest tracks: beyond it are
	// streams that were preempted, and moments that were not known.
	longestQuantile = 0.998
	longestStep     = 0.1 // share of longest by which an event moves it, at most
	rateSamples     = 32  // weight of the running mean, in prompts
	minTokens       = 2000
	minTime         = 10 * time.Millisecond // what is left of a prompt's time at least
	minRate         = 4
	maxRate         = 400
	// margin is the share of the longest allowed pause that is left for errors of the estimate.
	margin = 0.95
)

// ObserveGap adds the time between two events of a stream, at a host of the given slowness.
func (m *Model) ObserveGap(gap time.Duration, slowness float64) {
	if slowness <= 0 || gap <= 0 {
		return
	}
	ms := milliseconds(gap) * usual / slowness
	if m.gap == 0 {
		m.gap, m.longest = ms, ms
	}
	if ms > m.gap {
		m.gap += gapStep
	} else {
		m.gap = max(m.gap-gapStep, gapStep)
	}
	if ms > m.longest {
		m.longest = min(ms, m.longest*(1+longestStep*longestQuantile))
	} else {
		m.longest *= 1 - longestStep*(1-longestQuantile)
	}
}

// ObservePrefill adds the time that an engine took to read tokens, at a host of the given slowness.
func (m *Model) ObservePrefill(tokens float64, took time.Duration, slowness float64) {
	if slowness <= 0 || tokens < minTokens {
		return
	}
	sample := min(max(tokens/milliseconds(max(took, minTime))*slowness/usual, minRate), maxRate)
	m.samples++
	m.rate += (sample - m.rate) / float64(min(m.samples, rateSamples))
}

// Risk returns the share of the streams at an engine that pause for longer than allowed while it
// reads tokens, on a host of the given slowness.
//
// A stream pauses while the engine reads between two of its events, and no longer: for the engine
// makes a token of each stream between two pieces of a prompt. So what counts is how much of the
// reading falls between two events, which begin at a different time in each stream.
func (m *Model) Risk(tokens, slowness float64, longest time.Duration) float64 {
	if m.samples == 0 || m.gap == 0 || longest <= 0 {
		return 0
	}
	most := (m.longest - m.gap) * m.rate // tokens read between two events
	critical := (milliseconds(longest)*margin*usual/slowness - m.gap) * m.rate
	if tokens < critical || most < critical || most <= 0 {
		return 0
	}
	return min(max((most+tokens-2*max(critical, 0))/most, 0), 1)
}

// Rate returns the prompt tokens that an engine reads in a millisecond on a host of the given slowness.
func (m *Model) Rate(slowness float64) float64 { return m.rate * usual / slowness }

// Learned returns the milliseconds between two events at usual speed, without and beside prompts,
// and the prompt tokens per millisecond.
func (m *Model) Learned() (gap, longest, rate float64) { return m.gap, m.longest, m.rate }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
