package beechplay

import (
	"math/rand/v2"
	"time"

	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

const (
	maxEndlessTime = 1500 * time.Millisecond
	maxEndlessRest = time.Second
	maxEndlessOf   = 4 // requests of which one gets bytes without end
)

// injectEndless has one server after the other send bytes without end, beside the other faults.
func (s *soak) injectEndless() {
	draw := rand.New(rand.NewPCG(s.seed, 10)) // of its own, so that a seed's other draws stay as they were
	forms, names := beechsimulator.EndlessForms(), []string{"e0", "e1", "e2", "s0", "s1", "s2"}
	for end := time.Now().Add(soakDuration - 5*time.Second); time.Now().Before(end); {
		e := s.cluster.Engines[names[draw.IntN(len(names))]]
		rate := []int{64 << 10, 4 << 20, 0}[draw.IntN(3)]
		e.SetEndless(forms[draw.IntN(len(forms))], 1+draw.IntN(maxEndlessOf), rate)
		time.Sleep(time.Duration(draw.Int64N(int64(maxEndlessTime))))
		e.SetEndless("", 0, 0)
		time.Sleep(time.Duration(draw.Int64N(int64(maxEndlessRest))))
	}
}

// checkMemory checks that no gate has exceeded a host's memory.
func (s *soak) checkMemory() {
	for _, name := range s.gates {
		if peak := peakMemory(s.t, s.cluster.Process(name).(*childProcess)); peak >= hostMemory {
			s.t.Errorf("%s: %d MB at the most", name, peak>>20)
		}
	}
}
