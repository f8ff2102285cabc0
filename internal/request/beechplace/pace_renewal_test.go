package beechplace

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
)

// believeSlow lets all gates believe that an engine takes maxPaceRatio times as long as it does.
func (f *paceFleet) believeSlow(id string) {
	for _, p := range f.gates {
		p.MergePaceReport(PaceReport{Engine: xxhash.Sum64String(id), Samples: maxPaceSamples, Log: maxPaceLog})
	}
}

// An engine that has recovered while no gate sent it requests must be asked again within seconds,
// and not only when the belief that it is slow has faded.
func TestRecoveredEngineIsAskedAgain(t *testing.T) {
	is := is.New(t)
	requests := 0
	for range 3 { // few calls are offered
		f := newPaceFleet(8, 12, func(int) float64 { return 1 })
		f.run(2 * time.Second)
		f.believeSlow("e00")
		clear(f.requests)
		f.run(8 * time.Second)
		requests += f.requests["e00"]
	}
	is.True(requests > 0)
}

// An engine that stays slow must get few of the requests that would show its recovery.
func TestSlowEngineIsOfferedFewRequests(t *testing.T) {
	is := is.New(t)
	f := newPaceFleet(8, 12, func(i int) float64 {
		if i == 0 {
			return maxPaceRatio
		}
		return 1
	})
	f.run(10 * time.Second)
	clear(f.requests)
	f.run(60 * time.Second)
	t.Log(f.requests["e00"], f.requests["e01"])
	is.True(f.requests["e00"] < f.requests["e01"]/20)
}
