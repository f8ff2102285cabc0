package beechpause

import "time"

type (
	// Moment is what the slowness of one server's host was. The zero value knows nothing.
	Moment struct {
		usual float64 // percent
		slow  bool
		at    time.Time
	}

	// Onsets learns how often hosts turn slow for a moment. The zero value has seen none.
	Onsets struct {
		time   float64 // milliseconds that hosts were not slow
		count  float64
		factor float64 // mean slowness at an onset, as a multiple of the usual
	}
)

const (
	// SlowFactor is the slowness of a slow moment, as a multiple of the usual.
	SlowFactor = 1.5
	// The usual slowness follows lower figures faster than higher ones, which may be moments.
	usualDown = 1. / 4
	usualUp   = 1. / 64
	// maxMomentGap bounds the time that a figure is taken to have held: keepers repeat it each second.
	maxMomentGap  = 1500 * time.Millisecond
	factorSamples = 32      // weight of the running mean
	onsetMemory   = 300_000 // milliseconds of hosts' time after which older onsets count half
)

// Observe adds the slowness of a host, in percent.
func (m *Moment) Observe(slowness int, now time.Time, all *Onsets) {
	if slowness <= 0 {
		return
	}
	figure := float64(slowness)
	switch {
	case m.usual == 0:
		m.usual = figure
	case figure < m.usual:
		m.usual += (figure - m.usual) * usualDown
	default:
		m.usual += (figure - m.usual) * usualUp
	}
	wasSlow, slow := m.slow, figure >= SlowFactor*m.usual
	if !m.at.IsZero() && !wasSlow {
		all.observe(min(now.Sub(m.at), maxMomentGap), slow, figure/m.usual)
	}
	m.slow, m.at = slow, now
}

// Usual returns the usual slowness in percent; 0: not known.
func (m *Moment) Usual() float64 { return m.usual }

// IsSlow reports whether a slowness is that of a slow moment.
func (m *Moment) IsSlow(slowness float64) bool { return m.usual > 0 && slowness >= SlowFactor*m.usual }

func (o *Onsets) observe(passed time.Duration, onset bool, factor float64) {
	o.time += max(milliseconds(passed), 0)
	if onset {
		o.count++
		o.factor += (factor - o.factor) / min(o.count, factorSamples)
	}
	if o.time > 2*onsetMemory {
		o.time, o.count = o.time/2, o.count/2
	}
}

// Within returns the probability that a host turns slow within a time, and how many times as long
// work takes then.
func (o *Onsets) Within(ms float64) (probability, factor float64) {
	if o.time <= 0 || o.count < 1 {
		return 0, 1
	}
	return min(ms*o.count/o.time, 1), o.factor
}
