package beechkeeper

import (
	"expvar"
	"net/http"
	"time"

	"github.com/beechring/beechring/internal/process/beechmetric"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

// metrics are the keeper's metrics; docs/OPERATIONS.md explains each name.
type metrics struct {
	vars           *expvar.Map
	orders         *expvar.Map // by outcome
	phases         *expvar.Map // phase changes, by the new phase
	missedReports  *expvar.Int // polls without a report
	staleAnswers   *expvar.Int // ignored, as they were older than the one before
	restarts       *expvar.Int // of the engine under the same ID
	strains        *expvar.Int // messages on the engine's host
	slownessPolls  *expvar.Int
	missedSlowness *expvar.Int // polls of the slowness without an answer
	loadTimes      *beechmetric.Latency
	loadStartedAt  time.Time // zero: no load under way
}

func newMetrics(k *Keeper) *metrics {
	m := &metrics{
		vars: new(expvar.Map), orders: new(expvar.Map), phases: new(expvar.Map),
		missedReports: new(expvar.Int), staleAnswers: new(expvar.Int), restarts: new(expvar.Int), strains: new(expvar.Int), slownessPolls: new(expvar.Int), missedSlowness: new(expvar.Int), loadTimes: beechmetric.NewLatency(),
	}
	m.vars.Set("orders", m.orders)
	m.vars.Set("phases", m.phases)
	m.vars.Set("reportsMissing", m.missedReports)
	m.vars.Set("answersStale", m.staleAnswers)
	m.vars.Set("startedAnew", m.restarts)
	m.vars.Set("strainsSent", m.strains)
	m.vars.Set("slownessPolls", m.slownessPolls)
	m.vars.Set("slownessMissing", m.missedSlowness)
	m.vars.Set("loadMicros", expvar.Func(m.loadTimes.Percentiles))
	m.vars.Set("datagramsMalformed", expvar.Func(func() any { return k.socket.MalformedCount() }))
	m.vars.Set("datagramBytes", k.socket.SentBytes())
	m.vars.Set("engine", expvar.Func(func() any {
		k.mu.Lock()
		defer k.mu.Unlock()
		return map[string]any{
			"phase": k.phase.String(), "running": k.lastReport.Running, "waiting": k.lastReport.Waiting, "cacheUsed": k.lastReport.CacheUsed,
			"partsHeld": k.cachedParts.Len(), "gates": len(k.gates), "oldMillis": k.updater.SupersededFor(k.deps.Clock.Now()).Milliseconds(),
			"fence": k.updater.Fence(), "held": k.updater.Held().String(), "slowness": k.lastReport.Slowness, "ranks": k.lastReport.Ranks,
		}
	}))
	return m
}

// recordPhase records a change of phase. A change from loading to serving ends a load, or
// an order without effect.
func (m *metrics) recordPhase(p beechrollout.Phase, now time.Time) {
	m.phases.Add(p.String(), 1)
	if p == beechrollout.Loading {
		m.loadStartedAt = now
		return
	}
	if p == beechrollout.Serving && !m.loadStartedAt.IsZero() {
		m.loadTimes.Record(now.Sub(m.loadStartedAt))
	}
	m.loadStartedAt = time.Time{}
}

// Metrics serves the keeper's counters and histograms.
func (k *Keeper) Metrics() http.Handler { return beechmetric.Handler(k.metrics.vars) }
