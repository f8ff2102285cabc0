package beechplay

import (
	"math/rand/v2"
	"time"
)

const (
	maxTwiceTime = 2 * time.Second
	maxTwiceRest = 500 * time.Millisecond
	maxTwiceOf   = 3 // answers of which one follows a copy of an earlier one
)

// injectCopies has one server after the other send copies of earlier answers, beside the other faults. A copy of a
// refusal says that a request has not run that may be running meanwhile.
func (s *soak) injectCopies() {
	draw := rand.New(rand.NewPCG(s.seed, 11)) // of its own, so that a seed's other draws stay as they were
	names := []string{"e0", "e1", "e2", "s0", "s1", "s2"}
	for end := time.Now().Add(soakDuration - 5*time.Second); time.Now().Before(end); {
		first, second := s.cluster.Engines[names[draw.IntN(len(names))]], s.cluster.Engines[names[draw.IntN(len(names))]]
		first.SetTwice(1 + draw.IntN(maxTwiceOf))
		second.SetTwice(1 + draw.IntN(maxTwiceOf))
		time.Sleep(time.Duration(draw.Int64N(int64(maxTwiceTime))))
		first.SetTwice(0)
		second.SetTwice(0)
		time.Sleep(time.Duration(draw.Int64N(int64(maxTwiceRest))))
	}
}

// copiesSent returns how many copies all servers have sent.
func (s *soak) copiesSent() int {
	total := 0
	for _, e := range s.cluster.Engines {
		total += e.CopiesSent()
	}
	return total
}
