package beechhealth

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const usualLatency = 2 * time.Millisecond

// answer records an answer of a server to a prompt of usual length.
func (f *fleet) answer(i int, latency time.Duration) {
	f.tracker.Observe(Sample{Server: f.servers[i], Model: "m", FirstToken: latency, Tokens: 100})
}

// A server that gets no requests after one slow answer must not be ejected for that answer alone.
func TestSingleSlowAnswerEjectsNobody(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for range 4 * minSamples {
		f.answer(0, usualLatency)
		f.answer(1, usualLatency)
		f.clock.Advance(50 * time.Millisecond)
	}
	f.answer(0, 100*usualLatency)
	for range 100 {
		f.answer(1, usualLatency)
		f.clock.Advance(100 * time.Millisecond)
		f.tracker.Tick()
		is.Equal(f.tracker.Weight(f.servers[0]), 1.0)
	}
}

// A server that becomes slow must be ejected with its second slow answer, also when it gets
// requests rarely.
func TestRarelyAskedSlowServerIsEjected(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for range 4 * minSamples {
		f.answer(0, usualLatency)
		f.answer(1, usualLatency)
		f.clock.Advance(50 * time.Millisecond)
	}
	for range 2 {
		f.answer(0, 100*usualLatency)
		f.clock.Advance(Defaults.ConfirmationTime)
		f.answer(1, usualLatency)
		f.tracker.Tick()
	}
	is.Equal(f.tracker.Weight(f.servers[0]), 0.0)
}
