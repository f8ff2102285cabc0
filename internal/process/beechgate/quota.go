package beechgate

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechquota"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/request/beechattempt"
	"github.com/beechring/beechring/internal/request/beechcall"
)

const (
	// usageSendPause is the pause between urgent messages: otherwise each request of a
	// workspace far over its quota would be announced to all gates.
	usageSendPause = 50 * time.Millisecond
	// startupWait and the objective divided by startupWaitDivisor bound the wait of a call for
	// a gate that is starting.
	startupWait         = 250 * time.Millisecond
	startupWaitDivisor  = 2
	startupPollInterval = 20 * time.Millisecond
	// maxUsesPerDatagram is chosen for some 20 bytes per use.
	maxUsesPerDatagram = 400
)

func quotaBounds(q beechsettings.Quota) beechquota.Bounds {
	return beechquota.Bounds{Window: time.Duration(q.Window), Overage: q.Overage, Slack: q.Slack}
}

// setQuotas applies the workspaces' quotas of a configuration.
func (g *Gate) setQuotas(c *beechcall.Configuration) {
	limits := make(map[string]beechquota.Limit)
	unknown := make(map[string]bool)
	for _, w := range c.Workspaces {
		switch {
		case w.Quota.Invalid:
			unknown[w.Name] = true
		case w.Quota.Rate > 0:
			limits[w.Name] = beechquota.Limit{Rate: w.Quota.Rate, Burst: w.Quota.Burst}
		}
	}
	g.quotas.SetLimits(limits, unknown)
}

// admitQuota decides whether the workspace's quota admits a call. A gate that has just started
// knows only its own share, and then a low estimate of the whole level, so a call that exceeds
// it waits until the other gates have sent their usage or enough has accrued, which takes less
// time than a retry of the caller.
func (g *Gate) admitQuota(ctx context.Context, call *beechcall.Call) beechquota.Decision {
	patience := min(startupWait, call.Route.Objective/startupWaitDivisor)
	deadline := g.clock.Now().Add(patience)
	for {
		decision := g.quotas.AdmitAbove(call.Workspace.Name, call.QuotaCost(), g.returns.reserve(call))
		refused, ok := decision.(beechquota.Refused)
		soon := refused.Starting || !refused.Settled && !refused.Isolated && refused.After <= patience
		if !ok || !soon || !g.clock.Now().Before(deadline) {
			return decision
		}
		select {
		case <-g.clock.After(startupPollInterval):
		case <-ctx.Done():
			return decision
		}
	}
}

// chargeQuota charges a call to its workspace's quota, or refuses it.
func (g *Gate) chargeQuota(ctx context.Context, call *beechcall.Call, out beechattempt.Responder) bool {
	switch decision := g.admitQuota(ctx, call).(type) {
	case beechquota.Refused:
		g.returns.refused(call)
		offer := g.returns.offerQuota(call, decision)
		g.metrics.denied.Add("over quota", 1)
		g.log.Warn("request refused", zap.String("request", call.ID), zap.String("route", call.Route.Name), zap.String("reason", "over quota"),
			zap.String("workspace", call.Workspace.Name), zap.Float64("size", call.QuotaCost()), zap.Duration("after", offer.After), zap.Bool("promised", offer.Promised), zap.Bool("again", call.CameBack), zap.Uint32("call", callKey(call)),
			zap.Float64("left", decision.Level), zap.Float64("unread", decision.Unreported), zap.Float64("rate", decision.Limit.Rate), zap.Float64("burst", decision.Limit.Burst),
			zap.Bool("alone", decision.Isolated), zap.Duration("age", decision.UpdateAge))
		beechtask.Notify(g.usageDue) // the others assume that this gate continues at the rate of its last update
		out.Reject(beechattempt.QuotaExceeded{RetryAfter: offer.After})
		return false
	case beechquota.Admitted:
		g.returns.quotaAdmitted(call)
		if decision.Urgent {
			beechtask.Notify(g.usageDue)
		}
	}
	return true
}

// settleQuota corrects the charge for a call: each server that may have run it counts.
func (g *Gate) settleQuota(call *beechcall.Call, attempts int) {
	switch {
	case attempts == 0:
		g.quotas.Refund(call.Workspace.Name, call.QuotaCost())
	case attempts > 1:
		g.quotas.Charge(call.Workspace.Name, call.QuotaCost()*float64(attempts-1))
	}
}

// gateCount returns the number of gates known to this one.
func (g *Gate) gateCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gates
}

// sendUsage sends this gate's quota usage to the other gates.
func (g *Gate) sendUsage(ctx context.Context) error {
	for round := uint32(0); ; round++ {
		urgent := false
		select {
		case <-g.clock.After(beechquota.UpdateInterval(g.gateCount())):
		case <-g.usageDue:
			urgent = true
		case <-ctx.Done():
			return ctx.Err()
		}
		if !g.quotas.HasLimits() {
			continue // without quotas there is nothing to agree on
		}
		for _, usage := range packUsage(g.quotas.NextUpdate(), 1) {
			g.sendToGates(round, urgent, func(pass bool) beechdatagram.Message {
				message := *usage
				message.Pass = pass
				return beechdatagram.Spent{Spent: &message}
			})
		}
		g.clock.Sleep(usageSendPause)
	}
}

// receiveUsage handles quota usage sent by another gate.
func (g *Gate) receiveUsage(from netip.AddrPort, s beechdatagram.Spent) {
	if !g.isKnownGate(from) {
		return
	}
	if s.Pass {
		relayed := *s.Spent
		relayed.Pass = false
		g.sendToZone(beechdatagram.Spent{Spent: &relayed})
	}
	g.quotas.ApplyUpdate(unpackUsage(s.Spent, 1))
}

// unpackUsage converts usage from the wire, where amounts are integers in units of 1/scale.
func unpackUsage(s *beechwire.Spent, scale float64) beechquota.Update {
	update := beechquota.Update{Host: s.Host, Lifetime: s.Lifetime, Age: time.Duration(s.Age) * time.Millisecond, Settled: s.Settled, Full: s.Full}
	for _, u := range s.Uses {
		update.Usages = append(update.Usages, beechquota.Usage{Workspace: u.Workspace, Total: float64(u.Total) / scale, Level: float64(u.Level) / scale})
	}
	return update
}

// packUsage splits usage into messages that fit into a datagram each, with amounts in units of
// 1/scale. Only a single message with all buckets may be marked as full.
func packUsage(usage beechquota.Update, scale float64) []*beechwire.Spent {
	var messages []*beechwire.Spent
	for {
		n := min(len(usage.Usages), maxUsesPerDatagram)
		message := &beechwire.Spent{Host: usage.Host, Lifetime: usage.Lifetime, Age: usage.Age.Milliseconds(), Settled: usage.Settled, Full: usage.Full && n == len(usage.Usages) && messages == nil}
		for _, u := range usage.Usages[:n] {
			message.Uses = append(message.Uses, beechwire.Use{Workspace: u.Workspace, Total: uint64(u.Total * scale), Level: int64(u.Level * scale)})
		}
		messages = append(messages, message)
		if usage.Usages = usage.Usages[n:]; len(usage.Usages) == 0 {
			return messages
		}
	}
}
