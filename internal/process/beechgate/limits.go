package beechgate

import (
	"context"
	"expvar"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/beechring/beechring/internal/decision/beechquota"
	"github.com/beechring/beechring/internal/decision/beechthrottle"
	"github.com/beechring/beechring/internal/link/beechbeat"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechtask"
)

const (
	// limitLines of each message are written a second: limits may change with each answer.
	limitLines = 10
	// limitsMost go into one datagram: a limit is some 30 bytes.
	limitsMost = 300
)

// sampled writes the first limitLines of each message in a second and counts the rest.
func sampled(log *zap.Logger, dropped *expvar.Int) *zap.Logger {
	count := zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			dropped.Add(1)
		}
	})
	return log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, time.Second, limitLines, 0, count)
	}))
}

// noteLimit logs what has changed in a server's limit, or in what is known of it.
func (g *Gate) noteLimit(e beechthrottle.Event) {
	switch v := e.(type) {
	case beechthrottle.LimitStarted:
		g.logLimit("server's limit known", v.LimitStatus, zap.Float64("rate", v.Rate))
	case beechthrottle.LimitChanged:
		g.logLimit("server's limit changed", v.LimitStatus, zap.Float64("rate", v.Rate), zap.Float64("was", v.Previous))
	case beechthrottle.LimitEnded:
		g.logLimit("server's limit ended", v.LimitStatus, zap.Float64("was", v.Rate))
	case beechthrottle.LimitIgnored:
		g.limitLog.Warn("server's limit passed over", zap.String("server", v.Server), zap.String("text", v.Text))
	}
}

func (g *Gate) logLimit(what string, s beechthrottle.LimitStatus, fields ...zap.Field) {
	g.limitLog.Info(what, append(fields, zap.String("server", s.Server), zap.String("from", s.Source), zap.String("field", s.Header),
		zap.Duration("age", s.Age.Round(time.Millisecond)), zap.Int("given", s.Sent))...)
}

// tellLimits tells the other gates which servers name limits, and what this one has sent
// to them: at once what the others must count with their next choice.
func (g *Gate) tellLimits(ctx context.Context) error {
	for number := uint32(0); ; number++ {
		urgent := false
		select {
		case <-g.clock.After(beechquota.UpdateInterval(g.manyGates())):
		case <-g.limitNews:
			urgent = true
		case <-ctx.Done():
			return ctx.Err()
		}
		if !g.limits.HasUpdate() {
			continue
		}
		for _, limits := range wireLimits(g.limits.NextUpdate()) {
			g.toGates(number, urgent, func(pass bool) beechbeat.Message {
				word := *limits
				word.Sent.Pass = pass
				return beechbeat.Limits{Limits: &word}
			})
		}
		g.clock.Sleep(spentSpace)
	}
}

// limitChanged has the other gates told at once.
func (g *Gate) limitChanged() {
	beechtask.Wake(g.limitNews)
}

// hearLimits takes in another gate's word.
func (g *Gate) hearLimits(from netip.AddrPort, l beechbeat.Limits) {
	if !g.knows(from) {
		return
	}
	if l.Sent.Pass {
		passed := *l.Limits
		passed.Sent.Pass = false
		g.toZone(beechbeat.Limits{Limits: &passed})
	}
	word := beechthrottle.Update{Quota: spentWord(&l.Sent, thousand)}
	for _, told := range l.List {
		word.Limits = append(word.Limits, beechthrottle.LimitUpdate{
			Server: told.Server, StartTime: told.Born, Rate: float64(told.Rate) / thousand,
			SentAge: time.Duration(told.Sent) * time.Millisecond, ReceivedAge: time.Duration(told.Received) * time.Millisecond,
		})
	}
	g.limits.ApplyUpdate(word, from.String())
}

// wireLimits packs a word into messages that go into a datagram each.
func wireLimits(w beechthrottle.Update) []*beechwire.Limits {
	var all []*beechwire.Limits
	for _, spent := range wireSpent(w.Quota, thousand) {
		all = append(all, &beechwire.Limits{Sent: *spent})
	}
	for n, list := range slices.Collect(slices.Chunk(w.Limits, limitsMost)) {
		if n == len(all) {
			next := &beechwire.Limits{Sent: all[0].Sent}
			next.Sent.Uses, next.Sent.Full = nil, false
			all = append(all, next)
		}
		for _, told := range list {
			all[n].List = append(all[n].List, beechwire.Limit{
				Server: told.Server, Born: told.StartTime, Rate: int64(told.Rate * thousand), Sent: told.SentAge.Milliseconds(), Received: told.ReceivedAge.Milliseconds(),
			})
		}
	}
	return all
}
