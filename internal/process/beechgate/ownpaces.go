package beechgate

import (
	"sync"

	"github.com/beechring/beechring/internal/decision/beechsummary"
)

// ownPaces remembers the samples that this gate has sent to a collector, which come back in the
// sum over all gates and must not count twice. It is safe for concurrent use.
type ownPaces struct {
	mu   sync.Mutex
	last map[uint64]beechsummary.Pace // by engine
}

func (o *ownPaces) sent(paces []beechsummary.Pace) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.last = make(map[uint64]beechsummary.Pace, len(paces))
	for _, p := range paces {
		o.last[p.Engine] = p
	}
}

// without returns a sum without this gate's own samples, or false if there are no others in it.
func (o *ownPaces) without(sum beechsummary.Pace) (beechsummary.Pace, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	own, ok := o.last[sum.Engine]
	if !ok {
		return sum, true
	}
	delete(o.last, sum.Engine)
	others := sum.Samples - own.Samples
	if others <= 0 {
		return sum, false
	}
	log := (sum.Log*float64(sum.Samples) - own.Log*float64(own.Samples)) / float64(others)
	return beechsummary.Pace{Engine: sum.Engine, Samples: others, Log: log}, true
}
