package beechrollout

import (
	"cmp"
	"maps"
	"time"
)

// LoadWindow learns from load times how many engines may load weights at once, much as
// TCP sizes its congestion window from round-trip times: it doubles per round while
// loads take no longer than they do alone, shrinks when they slow down, and from then
// on grows by one per round. It is not safe for concurrent use.
//
// The capacity of a weight store is not part of any configuration that the router
// reads. With several times as many loads as the store can serve at full speed, each
// load takes several times as long, and the engines are out of service for seconds.
type LoadWindow struct {
	size         float64          // engines; 0: not known yet
	baseLoadTime time.Duration    // of a load with few others under way; 0: not known
	reducedAt    time.Time        // when the window last shrank; zero: never
	loads        map[string]*load // under way, by engine
}

// Fleet is the state of the engines that a LoadWindow needs.
type Fleet struct {
	Engines     int
	Down        int             // serving nothing for a reason other than loading weights
	Utilization float64         // share of the slots of serving engines that is in use
	Expired     int             // with expired weights: they serve nothing until they are updated
	TimeLeft    []time.Duration // until the superseded weights of each engine expire, shortest first
}

// load is one engine's load that is under way.
type load struct {
	startedAt     time.Time
	versionBefore uint64
	concurrent    int // the most loads under way together so far, this one included
}

const (
	// minInitialSize is the initial size in a small fleet. In a large one it is the
	// fleet's size over initialSizeDivisor. It doubles with each round until loads slow
	// down. Starting above the store's capacity, no load would show how long one takes
	// alone. Growing by one per round instead, 120 engines whose loads never slowed
	// down loaded 7 at once after 6 s and 32 after 15 s.
	minInitialSize = 2
	// initialSizeDivisor gives the smallest part of a fleet that is worth starting with: a
	// store that cannot serve even so few loads at once could not update the fleet within
	// any bound that operators set.
	initialSizeDivisor = 30
	// While no weights are about to expire, at most maxSpareShare of the engines are
	// updating or down, and minSpareShare may always be: the others serve the requests.
	// Between the two limits, enough engines stay in service for headroomFactor times
	// the current number of requests.
	maxSpareShare     = 1. / 3
	minSpareShare     = 0.1
	headroomFactor    = 2
	roundingTolerance = 1e-6 // for a share of a whole number of engines that comes out just below it
	// updateOverhead is the part of an update that is not the load: draining the engine
	// before the order, and the messages before and after it.
	updateOverhead = 650 * time.Millisecond
	// A load that takes more than slowdownFactor times baseLoadTime shows that too many
	// are under way; up to unslowedFactor it counts as taking as long as alone.
	slowdownFactor = 1.6
	unslowedFactor = 1.25
	// observationDelay is how late the start and the end of a load may be observed.
	observationDelay = 120 * time.Millisecond
	decreaseFactor   = 0.7
	// baseLoadTimeShift is the weight, 1/8, of a load with few others under way that
	// took longer than baseLoadTime: a change of the engine or the store is followed
	// within ten such loads.
	baseLoadTimeShift = 3
	// loadTimeout is when a load whose end was not observed stops counting: its engine is
	// gone. The slowest known store takes 17 s with many loads under way.
	loadTimeout = time.Minute
)

// NewLoadWindow returns a window that has observed no load.
func NewLoadWindow() *LoadWindow { return &LoadWindow{loads: make(map[string]*load)} }

// Limit returns how many engines may update at once.
//
// Engines that are down count against the limit. With a third of a fleet crashed and
// another third loading, the rest could not serve all requests, and half of these
// were rejected or late. High utilization lowers the limit too. But up to
// maxSpareShare of the fleet, the limit is what it takes to update all engines before
// superseded weights expire, since those that are not updated by then go out of
// service together.
func (w *LoadWindow) Limit(f Fleet) int {
	if w.size == 0 && f.Engines > 0 {
		w.size = float64(max(minInitialSize, f.Engines/initialSizeDivisor))
	}
	share := min(max(1-headroomFactor*f.Utilization, minSpareShare), maxSpareShare)
	spare := int(share*float64(f.Engines)+roundingTolerance) - f.Down
	limit := max(spare, min(w.requiredConcurrency(f), int(maxSpareShare*float64(f.Engines))), minInitialSize) + f.Expired
	return max(min(int(w.size), limit), 1)
}

// MissesDeadline reports whether some engines cannot be updated before their weights
// expire, at the current load times. Requests are then concentrated on the updated
// engines, and an operator who announces versions faster than that should know.
func (w *LoadWindow) MissesDeadline(f Fleet) bool {
	return f.Expired > 0 || w.requiredConcurrency(f) > min(int(w.size), int(maxSpareShare*float64(f.Engines)))
}

// requiredConcurrency returns how many engines must update at once for all to finish
// in time: for each engine, it counts those with as little time left or less.
func (w *LoadWindow) requiredConcurrency(f Fleet) int {
	updateTime := float64(w.baseLoadTime + updateOverhead)
	required := 0.
	for i, left := range f.TimeLeft {
		required = max(required, float64(i+1)*updateTime/float64(max(left, time.Millisecond)))
	}
	return int(required)
}

// Size returns how many engines may load at once as learned from load times, before
// Limit applies the bounds of the fleet; 0: not known.
func (w *LoadWindow) Size() float64 { return w.size }

// BaseLoadTime returns how long a load takes with few others under way; 0: not known.
func (w *LoadWindow) BaseLoadTime() time.Duration { return w.baseLoadTime }

// Observe records an engine's phase, the version of the weights that are being rolled
// out, and how long its last load took as its keeper measured it (0: not reported).
// It returns how long the load took that ended with this report, or 0 if none did. A
// phase of loading that ends without newer weights was no load: the order was lost,
// or the engine went down.
func (w *LoadWindow) Observe(engine string, phase Phase, version uint64, reported time.Duration, now time.Time) (took time.Duration) {
	l, loading := w.loads[engine]
	switch {
	case phase == Loading && !loading:
		maps.DeleteFunc(w.loads, func(_ string, l *load) bool { return now.Sub(l.startedAt) > loadTimeout })
		w.loads[engine] = &load{startedAt: now, versionBefore: version}
		for _, other := range w.loads {
			other.concurrent = max(other.concurrent, len(w.loads))
		}
	case phase != Loading && loading:
		delete(w.loads, engine)
		if phase == Serving && version > l.versionBefore {
			took = cmp.Or(reported, now.Sub(l.startedAt))
			w.adjust(took, l.concurrent, now)
		}
	}
	return took
}

// adjust updates the base load time and the window after a load.
func (w *LoadWindow) adjust(took time.Duration, concurrent int, now time.Time) {
	switch {
	case w.baseLoadTime == 0:
		w.baseLoadTime = took
	case took < w.baseLoadTime:
		w.baseLoadTime -= (w.baseLoadTime - took) / 2
	case concurrent <= minInitialSize:
		w.baseLoadTime += min(took-w.baseLoadTime, w.baseLoadTime) >> baseLoadTimeShift
	}
	switch {
	case took > time.Duration(float64(w.baseLoadTime)*slowdownFactor)+observationDelay:
		if now.Sub(w.reducedAt) > w.baseLoadTime {
			w.size, w.reducedAt = max(w.size*decreaseFactor, 1), now
		}
	case took > time.Duration(float64(w.baseLoadTime)*unslowedFactor)+observationDelay:
	case w.reducedAt.IsZero() && concurrent >= int(w.size)/2:
		w.size++ // once per load, so the window doubles per round, already while the round is ending
	case concurrent >= int(w.size):
		w.size += 1 / max(w.size, 1)
	}
}
