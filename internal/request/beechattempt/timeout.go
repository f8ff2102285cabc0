package beechattempt

import (
	"math"
	"sync"
	"time"
)

type (
	// patience says how long a route's requests wait for their first byte
	// before they go elsewhere, by what its answers took lately: the mean and
	// four mean deviations, as TCP does for its own repeats. With a fixed time
	// a fleet that is busy as a whole would be given its work twice, just when
	// it cannot carry it once. It is safe for concurrent use.
	patience struct {
		mu     sync.Mutex
		routes map[string]*pace
	}

	pace struct {
		mean, deviation time.Duration
		stretch         float64   // what answers took, against what was expected
		seen            time.Time // when an answer came last
	}
)

const (
	meanShift      = 3 // each answer counts an eighth
	deviationShift = 2
	deviations     = 4
	// patienceTimes is how often its objective a request waits at least.
	patienceTimes = 2
	patienceLeast = 250 * time.Millisecond
	// stretchFrom is the least that is taken as expected: below it the way there
	// and back counts more than the reading.
	stretchFrom = 50 * time.Millisecond
	stretchMost = 8
	// hopelessTimes is how often its objective a first byte may be expected to
	// take: callers leave after four times, and the longest kind of request would
	// starve if little more than one were allowed.
	hopelessTimes = 2
	// stretchFades is the time in which half of a stretch is forgotten while no
	// answer comes: about what it takes engines to work off what has queued up.
	// Without it a stretch that has most calls refused stays, since it is
	// unlearned from answers only.
	stretchFades = 2 * time.Second
)

func newPatience() *patience { return &patience{routes: make(map[string]*pace)} }

// learn takes in what an answer's first byte took, and what was expected; 0 is
// nothing.
func (p *patience) learn(route string, took, expected time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.routes[route]
	if !ok {
		p.routes[route] = &pace{mean: took, deviation: took / 2, stretch: 1, seen: now}
		return
	}
	s.stretch, s.seen = s.stretchAt(now), now
	if expected > 0 {
		seen := min(float64(took)/float64(max(expected, stretchFrom)), stretchMost)
		s.stretch += (seen - s.stretch) / (1 << meanShift << 1)
	}
	off := took - s.mean
	s.mean += off >> meanShift
	s.deviation += (off.Abs() - s.deviation) >> deviationShift
}

// of gives a route's patience.
func (p *patience) of(route string, objective time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	least := max(patienceTimes*objective, patienceLeast)
	if s, ok := p.routes[route]; ok {
		return max(least, s.mean+deviations*s.deviation)
	}
	return least
}

// hopeless tells whether a call would probably get its first byte only when its
// caller has left. What is expected says too little where engines are full, so
// it is stretched by what the route's last answers took against it. Run all the
// same, such calls would make others late and be answered to nobody.
//
// The longest prompts take long to read by themselves. They are not refused for
// that, or they would never be served: only for the wait before it.
func (p *patience) hopeless(route string, expected, ahead, objective time.Duration, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.routes[route]
	if !ok || objective <= 0 {
		return false
	}
	stretch := max(s.stretchAt(now), 1)
	return float64(expected)*stretch > hopelessTimes*float64(objective) && float64(ahead)*stretch > float64(objective)
}

// stretchAt is the stretch as far as it is believed still.
func (s *pace) stretchAt(now time.Time) float64 {
	age := max(now.Sub(s.seen), 0)
	return 1 + (s.stretch-1)*math.Pow(0.5, float64(age)/float64(stretchFades))
}
