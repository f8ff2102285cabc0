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
	// maxLimitLogLines of each message are written a second: limits may change with each answer.
	maxLimitLogLines = 10
	// maxLimitsPerDatagram go into one datagram: a limit is some 30 bytes.
	maxLimitsPerDatagram = 300
)

// sampled writes the first maxLimitLogLines of each message in a second and counts the rest.
func sampledLogger(log *zap.Logger, dropped *expvar.Int) *zap.Logger {
	count := zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			dropped.Add(1)
		}
	})
	return log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, time.Second, maxLimitLogLines, 0, count)
	}))
}

// noteLimit logs what has changed in a server's limit, or in what is known of it.
func (g *Gate) logLimitEvent(e beechthrottle.Event) {
	switch v := e.(type) {
	case beechthrottle.Began:
		g.logLimit("server's limit known", v.Standing, zap.Float64("rate", v.Rate))
	case beechthrottle.Changed:
		g.logLimit("server's limit changed", v.Standing, zap.Float64("rate", v.Rate), zap.Float64("was", v.Was))
	case beechthrottle.Ended:
		g.logLimit("server's limit ended", v.Standing, zap.Float64("was", v.Rate))
	case beechthrottle.PassedOver:
		g.limitLog.Warn("server's limit passed over", zap.String("server", v.Server), zap.String("text", v.Text))
	}
}

func (g *Gate) logLimit(message string, s beechthrottle.Standing, fields ...zap.Field) {
	g.limitLog.Info(message, append(fields, zap.String("server", s.Server), zap.String("from", s.From), zap.String("field", s.Field),
		zap.Duration("age", s.Age.Round(time.Millisecond)), zap.Int("given", s.Given))...)
}

// tellLimits tells the other gates which servers name limits, and what this one has sent
// to them: at once what the others must count with their next choice.
func (g *Gate) sendLimits(ctx context.Context) error {
	for number := uint32(0); ; number++ {
		urgent := false
		select {
		case <-g.clock.After(beechquota.Interval(g.gateCount())):
		case <-g.limitsDue:
			urgent = true
		case <-ctx.Done():
			return ctx.Err()
		}
		if !g.limits.Speaks() {
			continue
		}
		for _, limits := range packLimits(g.limits.Word()) {
			g.sendToGates(number, urgent, func(pass bool) beechbeat.Message {
				message := *limits
				message.Sent.Pass = pass
				return beechbeat.Limits{Limits: &message}
			})
		}
		g.clock.Sleep(usageSendPause)
	}
}

// limitChanged has the other gates told at once.
func (g *Gate) wakeLimitSender() {
	beechtask.Wake(g.limitsDue)
}

// hearLimits takes in another gate's word.
func (g *Gate) receiveLimits(from netip.AddrPort, l beechbeat.Limits) {
	if !g.isKnownGate(from) {
		return
	}
	if l.Sent.Pass {
		relayed := *l.Limits
		relayed.Sent.Pass = false
		g.sendToZone(beechbeat.Limits{Limits: &relayed})
	}
	update := beechthrottle.Word{Counting: unpackUsage(&l.Sent, fixedPointScale)}
	for _, limit := range l.List {
		update.Limits = append(update.Limits, beechthrottle.Told{
			Server: limit.Server, Born: limit.Born, Rate: float64(limit.Rate) / fixedPointScale,
			Sent: time.Duration(limit.Sent) * time.Millisecond, Received: time.Duration(limit.Received) * time.Millisecond,
		})
	}
	g.limits.Hear(update, from.String())
}

// packLimits packs a word into messages that go into a datagram each.
func packLimits(update beechthrottle.Word) []*beechwire.Limits {
	var all []*beechwire.Limits
	for _, spent := range packUsage(update.Counting, fixedPointScale) {
		all = append(all, &beechwire.Limits{Sent: *spent})
	}
	for n, list := range slices.Collect(slices.Chunk(update.Limits, maxLimitsPerDatagram)) {
		if n == len(all) {
			next := &beechwire.Limits{Sent: all[0].Sent}
			next.Sent.Uses, next.Sent.Full = nil, false
			all = append(all, next)
		}
		for _, limit := range list {
			all[n].List = append(all[n].List, beechwire.Limit{
				Server: limit.Server, Born: limit.Born, Rate: int64(limit.Rate * fixedPointScale), Sent: limit.Sent.Milliseconds(), Received: limit.Received.Milliseconds(),
			})
		}
	}
	return all
}
