package beechplay

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/beechring/beechring/internal/standin/beechhome"
)

// limitSpan is a time in which a server named one limit.
type limitSpan struct {
	server      *beechhome.Engine
	rate        float64
	from, until time.Time
}

// limits has servers name limits, one after the other, beside the other faults. It draws
// on its own, so that those of a seed stay what they were.
func (s *soak) limits() {
	draw := rand.New(rand.NewPCG(s.seed, 2))
	for end := time.Now().Add(soakTime - 4*time.Second); time.Now().Before(end); {
		server := s.world.Engines[[]string{"e0", "e1", "e2", "s0"}[draw.IntN(4)]]
		span := limitSpan{server: server, rate: []float64{0, 0.5, 1, 2.5}[draw.IntN(4)], from: time.Now()}
		server.SetLimit(strconv.FormatFloat(span.rate, 'f', -1, 64))
		time.Sleep(time.Duration(3000+draw.IntN(4000)) * time.Millisecond)
		span.until = time.Now()
		server.SetLimit([]string{"", "-1", "many"}[draw.IntN(3)])
		s.named = append(s.named, span)
	}
	for _, e := range s.world.Engines {
		e.SetLimit("")
	}
}

// upsets notes that a gate is disturbed: what it sends then is not held against the others.
func (s *soak) upsets() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upset = append(s.upset, time.Now())
}

// checkLimits checks what servers were sent while they named a limit and, for as long as
// must have passed for it to be kept, no gate was disturbed.
func (s *soak) checkLimits() {
	checked := 0
	for _, span := range s.named {
		calm := span.from
		for _, at := range append(s.upset, span.until) {
			until := at
			if until.After(span.until) {
				until = span.until
			}
			if from := calm.Add(limitKnown); from.Before(until) {
				checked++
				if most := span.server.MaxArrivals(limitWindow, calm, from, until); float64(most) > MaxArrivals(span.rate) {
					s.t.Errorf("a server that takes %g a second was sent %d requests in %s", span.rate, most, limitWindow)
				}
			}
			if at.After(calm) {
				calm = at
			}
		}
	}
	s.t.Logf("%d limits, %d calm spans", len(s.named), checked)
}
