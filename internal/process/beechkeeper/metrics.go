package beechkeeper

import (
	"expvar"
	"net/http"
	"time"

	"github.com/beechring/beechring/internal/process/beechmetric"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

// metrics is what a keeper counts; docs/OPERATIONS.md explains each name.
type metrics struct {
	vars    *expvar.Map
	orders  *expvar.Map // by outcome
	phases  *expvar.Map // changes, by the phase that began
	silent  *expvar.Int // reports that did not come
	anew    *expvar.Int // lifetimes that began under the engine's ID
	loads   *beechmetric.Latency
	loading time.Time // when the load under way began
}

func newMetrics(k *Keeper) *metrics {
	m := &metrics{
		vars: new(expvar.Map), orders: new(expvar.Map), phases: new(expvar.Map),
		silent: new(expvar.Int), anew: new(expvar.Int), loads: beechmetric.NewLatency(),
	}
	m.vars.Set("orders", m.orders)
	m.vars.Set("phases", m.phases)
	m.vars.Set("reportsMissing", m.silent)
	m.vars.Set("startedAnew", m.anew)
	m.vars.Set("loadMicros", expvar.Func(m.loads.Percentiles))
	m.vars.Set("datagramsMalformed", expvar.Func(func() any { return k.socket.Malformed() }))
	m.vars.Set("datagramBytes", k.socket.Sent())
	m.vars.Set("engine", expvar.Func(func() any {
		k.mu.Lock()
		defer k.mu.Unlock()
		return map[string]any{
			"phase": k.phase.String(), "running": k.last.Running, "waiting": k.last.Waiting, "cacheUsed": k.last.CacheUsed,
			"partsHeld": k.held.Len(), "gates": len(k.followers), "oldMillis": k.turn.SupersededFor(k.needs.Clock.Now()).Milliseconds(),
		}
	}))
	return m
}

// entered counts a change of phase. What goes from loading to serving was a
// load, or an order that came to nothing.
func (m *metrics) entered(p beechrollout.Phase, now time.Time) {
	m.phases.Add(p.String(), 1)
	if p == beechrollout.Loading {
		m.loading = now
		return
	}
	if p == beechrollout.Serving && !m.loading.IsZero() {
		m.loads.Record(now.Sub(m.loading))
	}
	m.loading = time.Time{}
}

// Metrics serves the keeper's counters and histograms.
func (k *Keeper) Metrics() http.Handler { return beechmetric.Handler(k.metrics.vars) }
