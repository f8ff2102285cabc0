package beechplace

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechhealth"
	"github.com/beechring/beechring/internal/decision/beechthrottle"
)

// newEjectedPair is a pair of engines of which the first has just been ejected for its latency.
func newEjectedPair(is *is.I) (*limitedPair, *beechhealth.Tracker) {
	f := newLimitedPair()
	f.run(2*time.Second, 1000, usualTime, beechthrottle.NoLimit{}) // both hold the common part of prompts
	h := beechhealth.New(beechhealth.Settings{EjectionTime: 3 * time.Second, SlowStart: 2 * time.Second}, f.clock)
	f.health = h
	h.SetServers("llm", []netip.AddrPort{address(0), address(1)})
	for i := range 600 {
		latency := usualTime
		if i > 100 && i%2 == 0 {
			latency *= 50
		}
		observeAnswers(h, i%2, 1, latency)
		f.clock.Advance(10 * time.Millisecond)
		if h.Weight(address(0)) == 0 {
			return f, h
		}
	}
	is.Fail() // not ejected
	return f, h
}

// observeAnswers records answers, or failures if the latency is 0.
func observeAnswers(h *beechhealth.Tracker, server, answers int, latency time.Duration) {
	for range answers {
		h.Observe(beechhealth.Sample{Server: address(server), Model: "llm", FirstToken: latency, Tokens: 1000, Failed: latency == 0})
	}
}

// runWithHealth sends calls for a time in which the first engine takes as long as given, and
// returns how many of them went to it.
func (f *limitedPair) runWithHealth(h *beechhealth.Tracker, length, took time.Duration) (all, toFirst int) {
	for end := f.clock.Now().Add(length); f.clock.Now().Before(end); {
		n, first := f.run(callInterval, 1_000_000, took, beechthrottle.NoLimit{})
		observeAnswers(h, 0, first, took)
		observeAnswers(h, 1, n-first, usualTime)
		h.Tick()
		all, toFirst = all+n, toFirst+first
	}
	return all, toFirst
}

// An ejected engine that has recovered must return also if the other could carry all the load.
func TestEjectedEngineReturnsInLightLoad(t *testing.T) {
	is := is.New(t)
	f, h := newEjectedPair(is)
	f.runWithHealth(h, time.Minute, usualTime)
	all, toFirst := f.runWithHealth(h, 3*time.Second, usualTime)
	t.Log(toFirst, all)
	is.True(toFirst > all/3) // its share is half
}

// An ejected engine that stays slow, or fails, must get few of the requests that would show its
// recovery.
func TestEjectedBadEngineGetsFewRequests(t *testing.T) {
	is := is.New(t)
	for _, took := range []time.Duration{50 * usualTime, 0} {
		f, h := newEjectedPair(is)
		all, toFirst := f.runWithHealth(h, time.Minute, took)
		t.Log(took, toFirst, all)
		is.True(toFirst < all/2/20) // its share is half
	}
}
