package beechplay

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

// limitSpan is a period in which a server announced one limit.
type limitSpan struct {
	server      *beechsimulator.Engine
	rate        float64
	from, until time.Time
}

// injectLimits has one server after the other announce a limit, concurrently with
// the other faults. It has its own random source, so that the other faults of a
// seed do not depend on it.
func (s *soak) injectLimits() {
	draw := rand.New(rand.NewPCG(s.seed, 2))
	for end := time.Now().Add(soakDuration - 4*time.Second); time.Now().Before(end); {
		server := s.cluster.Engines[[]string{"e0", "e1", "e2", "s0"}[draw.IntN(4)]]
		span := limitSpan{server: server, rate: []float64{0, 0.5, 1, 2.5}[draw.IntN(4)], from: time.Now()}
		server.SetLimit(strconv.FormatFloat(span.rate, 'f', -1, 64))
		time.Sleep(time.Duration(3000+draw.IntN(4000)) * time.Millisecond)
		span.until = time.Now()
		server.SetLimit([]string{"", "-1", "many"}[draw.IntN(3)])
		s.limitSpans = append(s.limitSpans, span)
	}
	for _, e := range s.cluster.Engines {
		e.SetLimit("")
	}
}

// recordDisturbance records the time at which a gate is killed, stopped, suspended
// or resumed. Limits need not be kept right after it.
func (s *soak) recordDisturbance(gate string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbances = append(s.disturbances, time.Now())
	s.disturbedAt[gate] = append(s.disturbedAt[gate], time.Now())
}

// checkLimits checks how many requests servers received during a limit. Periods
// within limitSettleTime of the start of a limit or of a disturbance are excluded.
func (s *soak) checkLimits() {
	checked := 0
	for _, span := range s.limitSpans {
		for _, crash := range span.server.Crashes() {
			if crash.After(span.from) && crash.Before(span.until) {
				span.until = crash // its next lifetime announces no limit
			}
		}
		calm := span.from
		for _, at := range append(s.disturbances, span.until) {
			until := at
			if until.After(span.until) {
				until = span.until
			}
			if from := calm.Add(limitSettleTime); from.Before(until) {
				checked++
				if most := span.server.MaxArrivals(limitWindow, calm, from, until); float64(most) > MaxArrivals(span.rate) {
					s.t.Errorf("a server with a limit of %g per second got %d requests in %s", span.rate, most, limitWindow)
				}
			}
			if at.After(calm) {
				calm = at
			}
		}
	}
	s.t.Logf("%d limits, %d undisturbed periods", len(s.limitSpans), checked)
}
