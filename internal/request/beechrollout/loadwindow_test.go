package beechrollout

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// waves loads a number of times as many engines at once as the pace allows,
// where each load takes as long as takes says, and gives what it allows then.
func waves(p *LoadWindow, engines, times int, takes func(atOnce int) time.Duration) int {
	now := time.Unix(1000, 0)
	for version := range uint64(times) {
		n := p.Limit(Fleet{Engines: engines})
		for i := range n {
			p.Observe(string(rune('a'+i)), Loading, version, 0, now)
		}
		now = now.Add(takes(n))
		for i := range n {
			p.Observe(string(rune('a'+i)), Serving, version+1, 0, now)
		}
		now = now.Add(time.Second)
	}
	return p.Limit(Fleet{Engines: engines})
}

// shared is a store of weights that serves some loads at once in a time, and more
// of them the slower.
func shared(serves int, alone time.Duration) func(int) time.Duration {
	return func(atOnce int) time.Duration {
		over := max(float64(atOnce)/float64(serves), 1)
		return time.Duration(over * over * float64(alone))
	}
}

// A store that serves many loads at once is used; engines would otherwise wait
// on old weights for nothing.
func TestPaceGrowsWhileLoadsTakeNoLonger(t *testing.T) {
	is := is.New(t)
	is.True(waves(NewLoadWindow(), 40, 30, shared(100, 2*time.Second)) >= 12)
}

// A hundred engines wait for new weights, and the store serves them all at once. A
// start from two that grows by one a round leaves most of them, and their callers,
// on old weights when the next version is named.
func TestPaceDoublesAtFirst(t *testing.T) {
	is := is.New(t)
	is.True(waves(NewLoadWindow(), 100, 3, shared(100, 2*time.Second)) >= 8)
	is.True(waves(NewLoadWindow(), 100, 5, shared(100, 2*time.Second)) >= 32)
}

// Loads of 2 s take 18 s where nine are at it and three are served well; all
// engines that load so are away for that time.
func TestPaceShrinksWhereLoadsStretch(t *testing.T) {
	is := is.New(t)
	for _, alone := range []time.Duration{400 * time.Millisecond, 2 * time.Second, 8 * time.Second} {
		most := waves(NewLoadWindow(), 40, 30, shared(3, alone))
		is.True(most >= 2 && most <= 5)
	}
}

// The store is slowed by others for a while. The pace must come back.
func TestPaceRecovers(t *testing.T) {
	is := is.New(t)
	p := NewLoadWindow()
	waves(p, 40, 20, shared(100, time.Second))
	slow := waves(p, 40, 4, func(int) time.Duration { return 5 * time.Second })
	is.True(slow <= 6)
	is.True(waves(p, 40, 40, shared(100, time.Second)) >= 10)
}

// An engine that goes down while it loads tells nothing of loads' times.
func TestLoadThatEndsWithACrashIsNotLearned(t *testing.T) {
	is := is.New(t)
	p, now := NewLoadWindow(), time.Unix(1000, 0)
	p.Observe("a", Loading, 1, 0, now)
	is.Equal(p.Observe("a", Down, 1, 0, now.Add(time.Second)), time.Duration(0))
	is.Equal(p.Observe("a", Serving, 1, 0, now.Add(2*time.Second)), time.Duration(0))
	is.Equal(p.BaseLoadTime(), time.Duration(0))
}

// An order is lost: the engine seems to load for a moment, and serves on with
// what it has. Taken for a load of 75 ms it made all others look stretched, and
// one engine at a time was refreshed for the rest of the day.
func TestLostOrderIsNotLearned(t *testing.T) {
	is := is.New(t)
	p, now := NewLoadWindow(), time.Unix(1000, 0)
	p.Observe("a", Loading, 1, 0, now)
	is.Equal(p.Observe("a", Serving, 1, 0, now.Add(75*time.Millisecond)), time.Duration(0))
	is.Equal(p.BaseLoadTime(), time.Duration(0))
}

// A third of the engines has crashed while new weights are on their way. If as many
// more left for them, the last third would have all callers.
func TestEnginesThatAreDownCountAgainstThePace(t *testing.T) {
	is := is.New(t)
	p := NewLoadWindow()
	waves(p, 120, 8, shared(200, 500*time.Millisecond))
	left := func(n int, d time.Duration) []time.Duration { return slices.Repeat([]time.Duration{d}, n) }
	is.Equal(p.Limit(Fleet{Engines: 120}), 40)
	is.Equal(p.Limit(Fleet{Engines: 120, Down: 30}), 10)
	is.Equal(p.Limit(Fleet{Engines: 120, Down: 60}), 2)                                         // somebody goes on
	is.Equal(p.Limit(Fleet{Engines: 120, Down: 60, TimeLeft: left(100, 5*time.Second)}), 23)    // all will be out of service otherwise
	is.Equal(p.Limit(Fleet{Engines: 120, Down: 60, TimeLeft: left(100, time.Millisecond)}), 40) // too late for some
	is.Equal(p.Limit(Fleet{Engines: 120, Down: 60, Expired: 12}), 14)                           // nothing is lost by those
	few := append(left(8, 1200*time.Millisecond), left(40, 6*time.Second)...)
	is.Equal(p.Limit(Fleet{Engines: 120, Down: 36, TimeLeft: few}), 9) // two versions behind are few, one behind has time
}

// Engines have much to do. Those that are at work must not lose a third of their
// number for weights that may be used for a while yet.
func TestBusyFleetIsRefreshedMoreSlowly(t *testing.T) {
	is := is.New(t)
	p := NewLoadWindow()
	waves(p, 120, 8, shared(200, 500*time.Millisecond))
	is.Equal(p.Limit(Fleet{Engines: 120, Utilization: 0.2}), 40)
	is.Equal(p.Limit(Fleet{Engines: 120, Utilization: 0.4}), 24)
	is.Equal(p.Limit(Fleet{Engines: 120, Utilization: 1.5}), 12)
	is.Equal(p.Limit(Fleet{Engines: 120, Utilization: 1.5, TimeLeft: slices.Repeat([]time.Duration{7200 * time.Millisecond}, 120)}), 19)
}

// Versions are named faster than a fleet can load them. An operator who is not told
// sees callers refused when the bound comes, and looks for the cause elsewhere.
func TestWhatCannotBeDoneInTimeIsSeenAhead(t *testing.T) {
	is := is.New(t)
	p := NewLoadWindow()
	waves(p, 120, 30, shared(8, 1600*time.Millisecond))
	behind := func(d time.Duration) Fleet {
		return Fleet{Engines: 120, TimeLeft: slices.Repeat([]time.Duration{d}, 120)}
	}
	is.True(p.MissesDeadline(behind(7200 * time.Millisecond))) // 120 loads of 1.6 s, eight at once, take 24 s
	is.True(!p.MissesDeadline(behind(time.Minute)))
	is.True(p.MissesDeadline(Fleet{Engines: 120, Expired: 1}))
}
