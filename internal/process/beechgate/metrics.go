package beechgate

import (
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/beechring/beechring/internal/request/beechattempt"
)

type (
	// metrics is what a gate counts; docs/OPERATIONS.md explains each name.
	metrics struct {
		vars    *expvar.Map
		endings *expvar.Map
		retried *expvar.Int
		denied  *expvar.Map

		passedOver *expvar.Int // changes of servers' entries that cannot be used
		first      *latency
		whole      *latency
	}

	// latency is a histogram that tells some of its percentiles.
	latency struct {
		mu        sync.Mutex
		histogram *hdrhistogram.Histogram
	}
)

const (
	latencyMost   = int64(time.Hour / time.Microsecond)
	latencyDigits = 2
)

func newMetrics(g *Gate) *metrics {
	m := &metrics{
		vars: new(expvar.Map), endings: new(expvar.Map), retried: new(expvar.Int), denied: new(expvar.Map),
		passedOver: new(expvar.Int), first: newLatency(), whole: newLatency(),
	}
	m.vars.Set("endings", m.endings)
	m.vars.Set("retried", m.retried)
	m.vars.Set("denied", m.denied)
	m.vars.Set("entriesPassedOver", m.passedOver)
	m.vars.Set("firstByteMicros", expvar.Func(m.first.percentiles))
	m.vars.Set("wholeAnswerMicros", expvar.Func(m.whole.percentiles))
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

func (m *metrics) ended(e beechattempt.Ending) {
	m.endings.Add(e.How, 1)
	if e.Sends > 1 {
		m.retried.Add(int64(e.Sends - 1))
	}
	if e.First > 0 {
		m.first.record(e.First)
	}
	m.whole.record(e.Took)
}

func newLatency() *latency {
	return &latency{histogram: hdrhistogram.New(1, latencyMost, latencyDigits)}
}

func (l *latency) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), 1), latencyMost)) // within bounds, so it cannot fail
}

func (l *latency) percentiles() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return map[string]int64{
		"count": l.histogram.TotalCount(), "p50": l.histogram.ValueAtQuantile(50),
		"p90": l.histogram.ValueAtQuantile(90), "p99": l.histogram.ValueAtQuantile(99), "max": l.histogram.Max(),
	}
}

// Vars serves the gate's metrics as JSON.
func (g *Gate) Vars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(g.metrics.vars.String()))
}
