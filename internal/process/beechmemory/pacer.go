package beechmemory

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/jonboulle/clockwork"
)

// Pacer sets the collector's percentage. There is one for a process.
type Pacer struct {
	clock clockwork.Clock
}

const (
	interval = 200 * time.Millisecond

	liveMetric    = "/gc/heap/live:bytes"
	stackMetric   = "/gc/scan/stack:bytes"
	globalsMetric = "/gc/scan/globals:bytes"
	allocsMetric  = "/gc/heap/allocs:bytes"

	// maxSlack is the garbage that may gather before a collection. At 10,000
	// small requests a second it fills in some tens of milliseconds. A process
	// with little to do gets less: it would hold the rest for nothing, and
	// be over its 32 MB.
	maxSlack = 16 << 20
	minSlack = 4 << 20

	// slackDuration is for how long at the present rate the slack should last.
	slackDuration = 250 * time.Millisecond

	// minPercent keeps collections from following one another without a pause
	// when the live heap is large.
	minPercent = 5 // percent

	// maxPercent bounds a nearly empty process within its 32 MB.
	maxPercent = 400 // percent
)

// New makes the pacer; Serve runs it.
func New(clock clockwork.Clock) *Pacer { return &Pacer{clock: clock} }

// Serve sets the percentage every interval until ctx ends.
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

// slackFor gives the slack for what was allocated in the last interval. It is
// doubled in steps, so that a rate that wavers does not set the percentage anew
// each time.
func slackFor(allocated uint64) uint64 {
	wanted := allocated * uint64(slackDuration/time.Millisecond) / uint64(interval/time.Millisecond)
	slack := uint64(minSlack)
	for slack < min(wanted, maxSlack) {
		slack *= 2
	}
	return slack
}

// total adds up metrics. The live heap, the stacks and the globals are what the
// collector's percentage is a share of. With thousands of open streams the
// stacks are as large as the heap; taken as a share of the heap alone the slack
// would be twice as large as wanted, on top of what the streams hold.
func total(samples []metrics.Sample) (bytes uint64) {
	metrics.Read(samples)
	for _, s := range samples {
		if s.Value.Kind() == metrics.KindUint64 {
			bytes += s.Value.Uint64()
		}
	}
	return bytes
}

// percentage gives the slack as a share of what is marked, in steps of a tenth
// so that small changes do not set it anew: setting it stops the world.
func percentage(marked, slack uint64) int {
	if marked == 0 {
		return maxPercent
	}
	share := int(min(slack*100/marked, maxPercent))
	step := max(1, share/10)
	return max(share/step*step, minPercent)
}
