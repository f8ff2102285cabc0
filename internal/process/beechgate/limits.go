package beechgate

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechquota"
	"github.com/beechring/beechring/internal/decision/beechthrottle"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechtask"
)

const (
	// maxLimitLogLines is the number of lines per second and message: limits may change with
	// each response.
	maxLimitLogLines = 10
	// maxLimitsPerDatagram is chosen for about 30 bytes per limit.
	maxLimitsPerDatagram = 300
)

// logLimitEvent logs a change in a server's limit or in what is known about it.
func (g *Gate) logLimitEvent(e beechthrottle.Event) {
	switch v := e.(type) {
	case beechthrottle.LimitStarted:
		g.logLimit("server's limit known", v.LimitStatus, zap.Float64("rate", v.Rate))
	case beechthrottle.LimitChanged:
		g.logLimit("server's limit changed", v.LimitStatus, zap.Float64("rate", v.Rate), zap.Float64("was", v.Previous))
	case beechthrottle.LimitEnded:
		g.logLimit("server's limit ended", v.LimitStatus, zap.Float64("was", v.Rate))
	case beechthrottle.LimitIgnored:
		g.limitLog.Warn("invalid server limit ignored", zap.String("server", v.Server), zap.String("text", v.Text))
	}
}

func (g *Gate) logLimit(message string, s beechthrottle.LimitStatus, fields ...zap.Field) {
	g.limitLog.Info(message, append(fields, zap.String("server", s.Server), zap.String("from", s.Source), zap.String("field", s.Header),
		zap.Duration("age", s.Age.Round(time.Millisecond)), zap.Int("given", s.Sent))...)
}

// sendLimits sends the servers' limits and this gate's use of them to the other gates,
// immediately if the others need it for their next choice.
func (g *Gate) sendLimits(ctx context.Context) error {
	for round := uint32(0); ; round++ {
		urgent := false
		select {
		case <-g.clock.After(beechquota.UpdateInterval(g.gateCount())):
		case <-g.limitsDue:
			urgent = true
		case <-ctx.Done():
			return ctx.Err()
		}
		if !g.limits.HasUpdate() {
			continue
		}
		for _, limits := range packLimits(g.limits.NextUpdate()) {
			g.sendToGates(round, urgent, func(pass bool) beechdatagram.Message {
				message := *limits
				message.Sent.Pass = pass
				return beechdatagram.Limits{Limits: &message}
			})
		}
		g.clock.Sleep(usageSendPause)
	}
}

// wakeLimitSender makes sendLimits send at once.
func (g *Gate) wakeLimitSender() {
	beechtask.Notify(g.limitsDue)
}

// receiveLimits handles limits sent by another gate.
func (g *Gate) receiveLimits(from netip.AddrPort, l beechdatagram.Limits) {
	if !g.isKnownGate(from) {
		return
	}
	if l.Sent.Pass {
		relayed := *l.Limits
		relayed.Sent.Pass = false
		g.sendToZone(beechdatagram.Limits{Limits: &relayed})
	}
	update := beechthrottle.Update{Quota: unpackUsage(&l.Sent, fixedPointScale)}
	for _, limit := range l.List {
		update.Limits = append(update.Limits, beechthrottle.LimitUpdate{
			Server: limit.Server, StartTime: limit.Born, Rate: float64(limit.Rate) / fixedPointScale,
			SentAge: time.Duration(limit.Sent) * time.Millisecond, ReceivedAge: time.Duration(limit.Received) * time.Millisecond,
		})
	}
	g.limits.ApplyUpdate(update, from.String())
}

// packLimits splits limits into messages that fit into a datagram each.
func packLimits(limits beechthrottle.Update) []*beechwire.Limits {
	var messages []*beechwire.Limits
	for _, usage := range packUsage(limits.Quota, fixedPointScale) {
		messages = append(messages, &beechwire.Limits{Sent: *usage})
	}
	for n, list := range slices.Collect(slices.Chunk(limits.Limits, maxLimitsPerDatagram)) {
		if n == len(messages) {
			message := &beechwire.Limits{Sent: messages[0].Sent}
			message.Sent.Uses, message.Sent.Full = nil, false
			messages = append(messages, message)
		}
		for _, limit := range list {
			messages[n].List = append(messages[n].List, beechwire.Limit{
				Server: limit.Server, Born: limit.StartTime, Rate: int64(limit.Rate * fixedPointScale), Sent: limit.SentAge.Milliseconds(), Received: limit.ReceivedAge.Milliseconds(),
			})
		}
	}
	return messages
}
