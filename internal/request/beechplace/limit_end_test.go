package beechplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechbackoff"
	"github.com/beechring/beechring/internal/decision/beechsaturation"
	"github.com/beechring/beechring/internal/decision/beechthrottle"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// limitedPair is a gate with two engines in virtual time; the first may have a limit.
type limitedPair struct {
	*Placer
	clock *clockwork.FakeClock
	start time.Time
	calls int
}

const (
	callInterval = 25 * time.Millisecond
	usualTime    = 2 * time.Millisecond
)

// Now implements beechthrottle.Clock.
func (f *limitedPair) Now() time.Duration { return f.clock.Since(f.start) }

func newLimitedPair() *limitedPair {
	f := &limitedPair{clock: clockwork.NewFakeClock()}
	f.start = f.clock.Now()
	limits := beechthrottle.New("gate", 1, f, f.clock, func(beechthrottle.Event) {}, func() {})
	limits.SetGates(1)
	f.Placer = New(Settings{Zone: "a", Gates: 1}, f.clock, fixedWeights{}, limits, beechsaturation.New(f.clock, func() {}), beechbackoff.New(f.clock), func(beechcall.Server, int, []uint64, bool) {})
	var servers []beechcall.Server
	for i, id := range []string{"e1", "e2"} {
		servers = append(servers, beechcall.Server{ID: id, Service: "llm", Address: address(i), Zone: "a", Slots: 48, ListedAt: 1, Weights: map[string]uint64{"m": 1}})
	}
	f.SetServers(servers)
	f.SetLatestVersion("m", 1)
	return f
}

// run sends calls for a time and returns how many there were and how many went to the first
// engine, which takes the given time for each and names the limit. The calls share the given
// number of histories.
func (f *limitedPair) run(length time.Duration, histories int, took time.Duration, limit beechthrottle.ServerLimit) (all, toFirst int) {
	for end := f.clock.Now().Add(length); f.clock.Now().Before(end); all++ {
		next := f.clock.Now().Add(callInterval)
		f.calls++
		call := newCall(fmt.Sprint("h", f.calls%histories), 1000, 10)
		if choice, ok := f.Choose(call, nil); ok {
			toFirst += f.answer(call, choice, took, limit)
		}
		f.clock.Advance(next.Sub(f.clock.Now()))
		f.TakePaceReports(2)
	}
	return all, toFirst
}

// answer lets the chosen engine answer, and returns 1 if that was the first.
func (f *limitedPair) answer(call *beechcall.Call, choice Choice, took time.Duration, limit beechthrottle.ServerLimit) int {
	attempt := f.StartAttempt(call, choice)
	if !attempt.AcquireLimit() {
		attempt.Done(Cancelled)
		return 0
	}
	first := choice.Server.ID == "e1"
	if !first {
		took, limit = usualTime, beechthrottle.NoLimit{}
	}
	f.clock.Advance(took)
	attempt.FirstByte()
	attempt.ObserveLimit(limit)
	attempt.Done(Answered)
	if first {
		return 1
	}
	return 0
}

// An engine answers slowly while it names a limit, and then is as fast as the other again. It must
// get its share of the load, and not be avoided for the time that it took while it was limited.
func TestEngineWhoseLimitEndedGetsItsShare(t *testing.T) {
	is := is.New(t)
	for range 20 { // gates probe at random times
		f := newLimitedPair()
		f.run(2*time.Second, 8, usualTime, beechthrottle.NoLimit{})
		for _, rate := range []float64{4, 1} {
			f.run(7*time.Second, 8, 12*usualTime, beechthrottle.RateLimit{Rate: rate})
		}
		for f.limits.Limited("e1") {
			f.run(callInterval, 1000, usualTime, beechthrottle.NoLimit{})
		}
		all, toFirst := f.run(3*time.Second, 1000, usualTime, beechthrottle.NoLimit{})
		t.Logf("%d of %d", toFirst, all)
		is.True(toFirst > all/3) // its share is half
	}
}

// Samples of an engine's speed that other gates took while it named a limit arrive after the limit
// has ended here. They must not keep its share from it.
func TestLatePacesOfALimitedEngineAreIgnored(t *testing.T) {
	is := is.New(t)
	for range 20 { // gates probe at random times
		f, other := newLimitedPair(), newLimitedPair()
		f.run(2*time.Second, 8, usualTime, beechthrottle.NoLimit{})
		for _, rate := range []float64{4, 1} {
			f.run(7*time.Second, 8, 12*usualTime, beechthrottle.RateLimit{Rate: rate})
		}
		for range 3 {
			other.recordPace(other.byID["e1"], 12*milliseconds(usualTime), milliseconds(usualTime), other.clock.Now())
		}
		for f.limits.Limited("e1") {
			f.run(callInterval, 1000, usualTime, beechthrottle.NoLimit{})
		}
		f.run(callInterval, 1000, usualTime, beechthrottle.NoLimit{})
		for _, report := range other.TakePaceReports(2) {
			f.MergePaceReport(report)
		}
		all, toFirst := f.run(3*time.Second, 1000, usualTime, beechthrottle.NoLimit{})
		t.Logf("%d of %d", toFirst, all)
		is.True(toFirst > all/3) // its share is half
	}
}

// A request was sent to an engine while it had a limit, and its first byte arrives after the limit
// has ended. The time that it took must not keep the engine's share from it.
func TestLateFirstByteOfALimitedEngineIsIgnored(t *testing.T) {
	is := is.New(t)
	for range 20 { // gates probe at random times
		f := newLimitedPair()
		f.run(2*time.Second, 8, usualTime, beechthrottle.NoLimit{})
		f.run(7*time.Second, 8, 12*usualTime, beechthrottle.RateLimit{Rate: 4})
		late := f.StartAttempt(newCall("late", 1000, 10), Choice{Server: f.byID["e1"].Server, PrefillTokens: 1010})
		for f.limits.Limited("e1") {
			f.run(callInterval, 1000, usualTime, beechthrottle.NoLimit{})
		}
		f.run(callInterval, 1000, usualTime, beechthrottle.NoLimit{})
		late.FirstByte()
		late.Done(Answered)
		all, toFirst := f.run(3*time.Second, 1000, usualTime, beechthrottle.NoLimit{})
		t.Logf("%d of %d", toFirst, all)
		is.True(toFirst > all/3) // its share is half
	}
}
