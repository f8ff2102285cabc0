package beechmemory

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/jonboulle/clockwork"
)

// Pacer sets the percentage of the garbage collector (GOGC). A process must have only
// one.
type Pacer struct {
	clock clockwork.Clock
}

const (
	interval = 200 * time.Millisecond

	liveMetric    = "/gc/heap/live:bytes"
	stackMetric   = "/gc/scan/stack:bytes"
	globalsMetric = "/gc/scan/globals:bytes"
	allocsMetric  = "/gc/heap/allocs:bytes"

	// maxSlack is the most garbage that may accumulate before a collection. At
	// 10,000 small requests per second this takes some tens of milliseconds. A
	// process with little load gets less, down to minSlack: it does not need more,
	// and would exceed its 32 MB.
	maxSlack = 16 << 20
	minSlack = 4 << 20

	// slackDuration is how long the slack should last at the current allocation rate.
	slackDuration = 250 * time.Millisecond

	// minPercent prevents continuous collections when the live heap is large.
	minPercent = 5

	// maxPercent keeps a nearly empty process within its 32 MB.
	maxPercent = 400
)

// New returns a pacer; Serve runs it.
func New(clock clockwork.Clock) *Pacer { return &Pacer{clock: clock} }

// Serve recomputes the percentage at each interval until ctx ends.
func (p *Pacer) Serve(ctx context.Context) error {
	ticker := p.clock.NewTicker(interval)
	defer ticker.Stop()
	samples := []metrics.Sample{{Name: liveMetric}, {Name: stackMetric}, {Name: globalsMetric}}
	rate := []metrics.Sample{{Name: allocsMetric}}
	current := 0
	allocated := total(rate)
	for {
		last := allocated
		allocated = total(rate)
		if wanted := percentage(total(samples), slackFor(allocated-last)); wanted != current {
			debug.SetGCPercent(wanted)
			current = wanted
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// slackFor returns the slack for the bytes allocated in the last interval. It is a
// power of two times minSlack, so that small changes of the rate do not change the
// percentage each time.
func slackFor(allocated uint64) uint64 {
	wanted := allocated * uint64(slackDuration/time.Millisecond) / uint64(interval/time.Millisecond)
	slack := uint64(minSlack)
	for slack < min(wanted, maxSlack) {
		slack *= 2
	}
	return slack
}

// total returns the sum of metrics. The collector's percentage refers to the sum of
// live heap, stacks and globals. With thousands of open streams the stacks are as large
// as the heap, so that a percentage computed from the heap alone would give twice the
// intended slack, in addition to the memory of the streams.
func total(samples []metrics.Sample) (bytes uint64) {
	metrics.Read(samples)
	for _, s := range samples {
		if s.Value.Kind() == metrics.KindUint64 {
			bytes += s.Value.Uint64()
		}
	}
	return bytes
}

// percentage returns the slack as a percentage of the marked bytes. It is rounded to
// steps of a tenth, so that small changes do not change it: setting it stops the world.
func percentage(marked, slack uint64) int {
	if marked == 0 {
		return maxPercent
	}
	share := int(min(slack*100/marked, maxPercent))
	step := max(1, share/10)
	return max(share/step*step, minPercent)
}
