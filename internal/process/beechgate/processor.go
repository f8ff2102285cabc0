package beechgate

import (
	"context"
	"net"
	runtimemetrics "runtime/metrics"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechoverload"
	"github.com/beechring/beechring/internal/link/beechaccept"
	"github.com/beechring/beechring/internal/link/beechframing"
	"github.com/beechring/beechring/internal/process/beechbody"
	"github.com/beechring/beechring/internal/process/beechtask"
)

type (
	// schedulingDelays measures for how long goroutines that could run have waited for the
	// processor. It is not safe for concurrent use.
	schedulingDelays struct {
		sample []runtimemetrics.Sample
		counts []uint64 // of the last read
	}
)

const (
	// minDelays is the number of delays without which there is no median: a process that does
	// nothing is not behind.
	minDelays = 16
	// maxUnreadTime is how long a new connection may wait to be read. Callers wait for a second,
	// or a third of the time that they have.
	maxUnreadTime = 500 * time.Millisecond
)

func newSchedulingDelays() *schedulingDelays {
	return &schedulingDelays{sample: []runtimemetrics.Sample{{Name: "/sched/latencies:seconds"}}}
}

// next returns the median and the 99th percentile of the delays since the last call.
func (s *schedulingDelays) next() (median, tail time.Duration) {
	runtimemetrics.Read(s.sample)
	histogram := s.sample[0].Value.Float64Histogram()
	recent := make([]uint64, len(histogram.Counts))
	total := uint64(0)
	for i, count := range histogram.Counts {
		recent[i] = count
		if i < len(s.counts) {
			recent[i] -= s.counts[i]
		}
		total += recent[i]
	}
	s.counts = append(s.counts[:0], histogram.Counts...)
	if total < minDelays {
		return 0, 0
	}
	percentile := func(percent uint64) time.Duration {
		seen := uint64(0)
		for i, count := range recent {
			if seen += count; 100*seen >= percent*total {
				return time.Duration(max(histogram.Buckets[i], 0) * float64(time.Second))
			}
		}
		return 0
	}
	return percentile(50), percentile(99)
}

// listenForCallers returns a listener whose connections wait until the process has done its other
// work, and are closed unread if they wait for too long or while the processor cannot keep up.
func (g *Gate) listenForCallers(l net.Listener) net.Listener {
	queue := beechaccept.Listen(g.callers.Listen(l), beechaccept.Settings{
		MaxWait: maxUnreadTime, MaxWaiting: g.descriptors.Waiting, MaxUnread: beechbody.UnreadMemory(g.settings.Memory), TurnsAway: g.overload.TurnsAway, TurnedAway: func() { g.metrics.turnedAway.Add(1) },
	}, g.clock)
	g.queue.Store(queue)
	return beechframing.Listen(g.connections.Listen(queue))
}

// watchProcessor measures whether the processor keeps up.
func (g *Gate) watchProcessor(ctx context.Context) error {
	delays := newSchedulingDelays()
	guarded := false
	return beechtask.Every(ctx, g.clock, beechoverload.SampleInterval, func() {
		median, tail := delays.next()
		g.metrics.schedulingDelay.Set(median.Microseconds())
		g.metrics.schedulingTail.Set(tail.Microseconds())
		wait := time.Duration(0)
		if queue := g.queue.Load(); queue != nil {
			wait = queue.TakeWait()
		}
		g.metrics.acceptWait.Set(wait.Microseconds())
		g.overload.Observe(wait)
		if now := g.overload.Guarded(); now != guarded {
			guarded = now
			g.log.Warn("processor overload changed", zap.Bool("overloaded", guarded), zap.Duration("wait", wait), zap.Duration("delay", median), zap.Int64("turnedAway", g.metrics.turnedAway.Value()))
		}
	})
}
