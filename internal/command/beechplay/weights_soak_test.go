package beechplay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

// weightsInterval is the time between announcements of versions of several models.
const weightsInterval = 4500 * time.Millisecond

// announceSeries announces versions of two models together, and kills the keepers of some engines
// between the two orders. It has its own random source, as injectLimits.
func (s *soak) announceSeries() {
	draw := rand.New(rand.NewPCG(s.seed, 7))
	models := []string{OtherModel, ThirdModel}
	version := 1
	for end := time.Now().Add(soakDuration - 5*time.Second); time.Now().Before(end); time.Sleep(weightsInterval) {
		version++
		if draw.IntN(2) == 0 {
			slices.Reverse(models)
		}
		for _, model := range models {
			s.cluster.SetWeightsOf(model, version)
			time.Sleep(time.Duration(draw.IntN(2)*draw.IntN(400)) * time.Millisecond)
		}
		time.Sleep(time.Duration(draw.IntN(1200)) * time.Millisecond)
		for n := range 1 + draw.IntN(2) {
			s.killKeeper(fmt.Sprintf("keeper-e%d", (n+draw.IntN(3))%3))
		}
	}
}

// killKeeper kills a keeper and starts it again.
func (s *soak) killKeeper(name string) {
	s.restarts.Lock()
	defer s.restarts.Unlock()
	p := s.cluster.Process(name).(*childProcess)
	p.signal(syscall.SIGKILL, true)
	s.restart(name, p)
}

// checkOrders checks that no engine got an order under a lower fencing number than one before, or
// from another keeper than its own.
func (s *soak) checkOrders() {
	for name, e := range s.cluster.Engines {
		highest := beechsimulator.Order{}
		orders := e.Orders()
		for _, o := range orders {
			if o.Fence < highest.Fence {
				s.t.Errorf("%s: got an order for %s under %d, %s after one for %s under %d", name, o.Model, o.Fence, o.At.Sub(highest.At), highest.Model, highest.Fence)
			}
			if o.Fence >= highest.Fence {
				highest = o
			}
			if o.Holder != "keeper-"+name {
				s.t.Errorf("%s: got an order from %s", name, o.Holder)
			}
		}
		s.t.Logf("%s: %d orders", name, len(orders))
	}
}
