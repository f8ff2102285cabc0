package beechrollout

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// loadInRounds runs a number of rounds in which as many engines load at once as the window
// allows, each for the time that loadTime returns. It returns the limit after them.
func loadInRounds(w *LoadWindow, engines, rounds int, loadTime func(concurrent int) time.Duration) int {
	now := time.Unix(1000, 0)
	for version := range uint64(rounds) {
		n := w.Limit(Fleet{Engines: engines})
		for i := range n {
			w.Observe(string(rune('a'+i)), Loading, version, 0, now)
		}
		now = now.Add(loadTime(n))
		for i := range n {
			w.Observe(string(rune('a'+i)), Serving, version+1, 0, now)
		}
		now = now.Add(time.Second)
	}
	return w.Limit(Fleet{Engines: engines})
}

// sharedStore returns the load times of a weight store that serves a number of loads at
// full speed, and slows down quadratically with more.
func sharedStore(capacity int, alone time.Duration) func(int) time.Duration {
	return func(concurrent int) time.Duration {
		over := max(float64(concurrent)/float64(capacity), 1)
		return time.Duration(over * over * float64(alone))
	}
}

// A store that serves many loads at once must be used: otherwise engines stay on old
// weights for no reason.
func TestLoadWindowGrowsWhileLoadsDoNotSlowDown(t *testing.T) {
	is := is.New(t)
	is.True(loadInRounds(NewLoadWindow(), 40, 30, sharedStore(100, 2*time.Second)) >= 12)
}

// A hundred engines wait for new weights, and the store serves them all at once. Starting
// from two and growing by one per round would leave most of them, and their callers, on
// old weights until the next version is announced.
func TestLoadWindowDoublesAtFirst(t *testing.T) {
	is := is.New(t)
	is.True(loadInRounds(NewLoadWindow(), 100, 3, sharedStore(100, 2*time.Second)) >= 8)
	is.True(loadInRounds(NewLoadWindow(), 100, 5, sharedStore(100, 2*time.Second)) >= 32)
}

// Loads that take 2 s alone take 18 s when nine share a store that serves three at full
// speed, and all nine engines are out of service for that time.
func TestLoadWindowShrinksWhenLoadsSlowDown(t *testing.T) {
	is := is.New(t)
	for _, alone := range []time.Duration{400 * time.Millisecond, 2 * time.Second, 8 * time.Second} {
		limit := loadInRounds(NewLoadWindow(), 40, 30, sharedStore(3, alone))
		is.True(limit >= 2 && limit <= 5)
	}
}

// Other traffic slows the store down for a while. The window must grow again afterwards.
func TestLoadWindowRecovers(t *testing.T) {
	is := is.New(t)
	w := NewLoadWindow()
	loadInRounds(w, 40, 20, sharedStore(100, time.Second))
	slow := loadInRounds(w, 40, 4, func(int) time.Duration { return 5 * time.Second })
	is.True(slow <= 6)
	is.True(loadInRounds(w, 40, 40, sharedStore(100, time.Second)) >= 10)
}

// An engine that goes down while loading gives no load time.
func TestLoadEndedByCrashIsIgnored(t *testing.T) {
	is := is.New(t)
	w, now := NewLoadWindow(), time.Unix(1000, 0)
	w.Observe("a", Loading, 1, 0, now)
	is.Equal(w.Observe("a", Down, 1, 0, now.Add(time.Second)), time.Duration(0))
	is.Equal(w.Observe("a", Serving, 1, 0, now.Add(2*time.Second)), time.Duration(0))
	is.Equal(w.BaseLoadTime(), time.Duration(0))
}

// An order is lost: the engine seems to load for a moment, then serves with the weights
// that it had. Counted as a load of 75 ms, this made all later loads look slowed down, and
// only one engine at a time was updated for the rest of the day.
func TestLostOrderIsNotCountedAsLoad(t *testing.T) {
	is := is.New(t)
	w, now := NewLoadWindow(), time.Unix(1000, 0)
	w.Observe("a", Loading, 1, 0, now)
	is.Equal(w.Observe("a", Serving, 1, 0, now.Add(75*time.Millisecond)), time.Duration(0))
	is.Equal(w.BaseLoadTime(), time.Duration(0))
}

// A third of the engines has crashed during a rollout. If another third went out of service
// to load, the last third would have to serve all requests.
func TestDownEnginesReduceLimit(t *testing.T) {
	is := is.New(t)
	w := NewLoadWindow()
	loadInRounds(w, 120, 8, sharedStore(200, 500*time.Millisecond))
	left := func(n int, d time.Duration) []time.Duration { return slices.Repeat([]time.Duration{d}, n) }
	is.Equal(w.Limit(Fleet{Engines: 120}), 40)
	is.Equal(w.Limit(Fleet{Engines: 120, Down: 30}), 10)
	is.Equal(w.Limit(Fleet{Engines: 120, Down: 60}), 2)                                         // the rollout continues
	is.Equal(w.Limit(Fleet{Engines: 120, Down: 60, TimeLeft: left(100, 5*time.Second)}), 23)    // otherwise all expire together
	is.Equal(w.Limit(Fleet{Engines: 120, Down: 60, TimeLeft: left(100, time.Millisecond)}), 40) // too late for some of them
	is.Equal(w.Limit(Fleet{Engines: 120, Down: 60, Expired: 12}), 14)                           // engines with expired weights serve nothing anyway
	few := append(left(8, 1200*time.Millisecond), left(40, 6*time.Second)...)
	is.Equal(w.Limit(Fleet{Engines: 120, Down: 36, TimeLeft: few}), 9) // few are two versions behind; those one behind have time
}

// Engines are busy. A third of them must not go out of service at once for weights that
// may still be used for a while.
func TestBusyFleetUpdatesMoreSlowly(t *testing.T) {
	is := is.New(t)
	w := NewLoadWindow()
	loadInRounds(w, 120, 8, sharedStore(200, 500*time.Millisecond))
	is.Equal(w.Limit(Fleet{Engines: 120, Utilization: 0.2}), 40)
	is.Equal(w.Limit(Fleet{Engines: 120, Utilization: 0.4}), 24)
	is.Equal(w.Limit(Fleet{Engines: 120, Utilization: 1.5}), 12)
	is.Equal(w.Limit(Fleet{Engines: 120, Utilization: 1.5, TimeLeft: slices.Repeat([]time.Duration{7200 * time.Millisecond}, 120)}), 19)
}

// Versions are announced faster than the fleet can load them. Without a warning ahead, the
// operator sees requests rejected once weights expire, and looks for the cause elsewhere.
func TestMissedDeadlineIsDetectedAhead(t *testing.T) {
	is := is.New(t)
	w := NewLoadWindow()
	loadInRounds(w, 120, 30, sharedStore(8, 1600*time.Millisecond))
	behind := func(d time.Duration) Fleet {
		return Fleet{Engines: 120, TimeLeft: slices.Repeat([]time.Duration{d}, 120)}
	}
	is.True(w.MissesDeadline(behind(7200 * time.Millisecond))) // 120 loads of 1.6 s, eight at once, take 24 s
	is.True(!w.MissesDeadline(behind(time.Minute)))
	is.True(w.MissesDeadline(Fleet{Engines: 120, Expired: 1}))
}
