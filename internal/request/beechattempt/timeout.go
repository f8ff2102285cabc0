package beechattempt

import (
	"math"
	"sync"
	"time"
)

type (
	// routeTimeouts computes how long the requests of a route wait for their first
	// byte before they are retried elsewhere: the mean time of recent answers plus four
	// mean deviations, like TCP's retransmission time-out. With a fixed time-out, a
	// fleet that is busy as a whole would get all its work twice, just when it cannot
	// do it once. It is safe for concurrent use.
	routeTimeouts struct {
		mu     sync.Mutex
		routes map[string]*answerTimes
	}

	// answerTimes are the statistics of a route's first-byte times.
	answerTimes struct {
		mean, deviation time.Duration
		slowdown        float64   // actual over expected time
		updatedAt       time.Time // when the last answer was observed
	}
)

const (
	meanWeightShift      = 3 // each answer counts 1/8
	deviationWeightShift = 2
	deviationFactor      = 4
	// The time-out is at least minTimeoutFactor times the route's objective, and at least
	// minTimeout.
	minTimeoutFactor = 2
	minTimeout       = 250 * time.Millisecond
	// minExpected is the smallest expected time that slowdown is computed with: below it
	// the round trip takes longer than the prefill.
	minExpected = 50 * time.Millisecond
	maxSlowdown = 8
	// maxExpectedFactor is how many times the objective a first byte may be expected to
	// take. Callers leave after four times; but with little more than one, the most
	// expensive kind of request would never be served.
	maxExpectedFactor = 2
	// slowdownHalfLife is the time after which half of a slowdown is forgotten while no
	// answers come, about what engines need to work off their queues. Without it a
	// slowdown that has most calls rejected would persist, as it is only updated by
	// answers.
	slowdownHalfLife = 2 * time.Second
)

func newRouteTimeouts() *routeTimeouts { return &routeTimeouts{routes: make(map[string]*answerTimes)} }

// observe records the time to an answer's first byte, and the time that was expected;
// 0: none was.
func (t *routeTimeouts) observe(route string, took, expected time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.routes[route]
	if !ok {
		t.routes[route] = &answerTimes{mean: took, deviation: took / 2, slowdown: 1, updatedAt: now}
		return
	}
	a.slowdown, a.updatedAt = a.slowdownAt(now), now
	if expected > 0 {
		observed := min(float64(took)/float64(max(expected, minExpected)), maxSlowdown)
		a.slowdown += (observed - a.slowdown) / (1 << meanWeightShift << 1)
	}
	difference := took - a.mean
	a.mean += difference >> meanWeightShift
	a.deviation += (difference.Abs() - a.deviation) >> deviationWeightShift
}

// firstByte returns a route's time-out for the first byte.
func (t *routeTimeouts) firstByte(route string, objective time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	shortest := max(minTimeoutFactor*objective, minTimeout)
	if a, ok := t.routes[route]; ok {
		return max(shortest, a.mean+deviationFactor*a.deviation)
	}
	return shortest
}

// expectedTooLate reports whether a call would probably get its first byte only after its
// caller has left. The expected time is too low when engines are full, so it is scaled by
// the slowdown of the route's recent answers. Executing such calls would delay others for
// answers that nobody receives.
//
// The longest prompts take long to prefill by themselves. They are not rejected for that,
// or they would never be served, but only for the queueing time ahead of it.
func (t *routeTimeouts) expectedTooLate(route string, expected, ahead, objective time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.routes[route]
	if !ok || objective <= 0 {
		return false
	}
	slowdown := max(a.slowdownAt(now), 1)
	return float64(expected)*slowdown > maxExpectedFactor*float64(objective) && float64(ahead)*slowdown > float64(objective)
}

// slowdownAt returns the slowdown, decayed since the last answer.
func (a *answerTimes) slowdownAt(now time.Time) float64 {
	age := max(now.Sub(a.updatedAt), 0)
	return 1 + (a.slowdown-1)*math.Pow(0.5, float64(age)/float64(slowdownHalfLife))
}
