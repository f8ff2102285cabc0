package beechgate

import (
	"expvar"
	"net/http"

	"github.com/beechring/beechring/internal/link/beechbeat"
	"github.com/beechring/beechring/internal/process/beechmetric"
	"github.com/beechring/beechring/internal/request/beechattempt"
)

type (
	// metrics is what a gate counts; docs/OPERATIONS.md explains each name.
	metrics struct {
		vars      *expvar.Map
		endings   *expvar.Map
		retried   *expvar.Int
		denied    *expvar.Map
		strangers *expvar.Int // words of hosts that no keeper names
		vouches   *expvar.Map // other gates' words on their copies, by what they proved
		bodies    *expvar.Map // bytes of requests' bodies, by way

		linesDropped *expvar.Int // on limits, beyond limitLines
		short        *expvar.Int // versions that not all engines could have in time
		passedOver   *expvar.Int // changes of servers' entries that cannot be used
		first        *beechmetric.Latency
		whole        *beechmetric.Latency
	}
)

func newMetrics(g *Gate) *metrics {
	m := &metrics{
		vars: new(expvar.Map), endings: new(expvar.Map), retried: new(expvar.Int), denied: new(expvar.Map),
		vouches: new(expvar.Map), bodies: new(expvar.Map), strangers: new(expvar.Int),
		linesDropped: new(expvar.Int), short: new(expvar.Int), passedOver: new(expvar.Int), first: beechmetric.NewLatency(), whole: beechmetric.NewLatency(),
	}
	m.vars.Set("endings", m.endings)
	m.vars.Set("retried", m.retried)
	m.vars.Set("denied", m.denied)
	m.vars.Set("vouches", m.vouches)
	m.vars.Set("paces", expvar.Func(func() any { return slowest(g.placer.Paces()) }))
	m.vars.Set("strangers", m.strangers)
	m.vars.Set("quotas", expvar.Func(func() any { return g.quotas.State() }))
	m.vars.Set("limitLinesDropped", m.linesDropped)
	m.vars.Set("limits", expvar.Func(func() any { return g.limits.State() }))
	m.vars.Set("full", expvar.Func(func() any { return g.full.State() }))
	m.vars.Set("bodyBytes", m.bodies)
	m.vars.Set("datagramBytes", g.socket.Sent())
	if g.needs.StoreUse != nil {
		m.vars.Set("store", g.needs.StoreUse)
	}
	m.vars.Set("versionsShort", m.short)
	m.vars.Set("entriesPassedOver", m.passedOver)
	m.vars.Set("firstByteMicros", expvar.Func(m.first.Percentiles))
	m.vars.Set("wholeAnswerMicros", expvar.Func(m.whole.Percentiles))
	m.vars.Set("configurationAgeMillis", expvar.Func(func() any { return g.belief.Age().Milliseconds() }))
	m.vars.Set("configurationVersion", expvar.Func(func() any {
		if c := g.configuration.Load(); c != nil {
			return c.Version
		}
		return 0
	}))
	m.vars.Set("connectionsMade", expvar.Func(func() any { return g.needs.Pool.Made() }))
	m.vars.Set("datagramsMalformed", expvar.Func(func() any { return g.socket.Malformed() }))
	m.vars.Set("gates", expvar.Func(func() any {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.gates
	}))
	return m
}

func (m *metrics) ended(e beechattempt.Result, way beechbeat.Way) {
	m.bodies.Add(way.String(), int64(e.Attempts*len(e.Call.Body)))
	m.endings.Add(e.Outcome, 1)
	if e.Attempts > 1 {
		m.retried.Add(int64(e.Attempts - 1))
	}
	if e.FirstByte > 0 {
		m.first.Record(e.FirstByte)
	}
	m.whole.Record(e.Duration)
}

// Metrics serves the gate's counters and histograms.
func (g *Gate) Metrics() http.Handler { return beechmetric.Handler(g.metrics.vars) }
