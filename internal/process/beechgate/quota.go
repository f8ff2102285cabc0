package beechgate

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechquota"
	"github.com/beechring/beechring/internal/link/beechbeat"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/request/beechattempt"
	"github.com/beechring/beechring/internal/request/beechcall"
)

const (
	// usageSendPause is that between urgent ones: a workspace far beyond its quota would
	// otherwise have each of its requests told to all gates.
	usageSendPause = 50 * time.Millisecond
	// startupWait and a share of the objective are the longest that a call waits for a gate
	// that starts.
	startupWait         = 250 * time.Millisecond
	startupWaitDivisor  = 2
	startupPollInterval = 20 * time.Millisecond
	// maxUsesPerDatagram go into one datagram: a use is some 20 bytes.
	maxUsesPerDatagram = 400
)

func quotaBounds(q beechsettings.Quota) beechquota.Bounds {
	return beechquota.Bounds{Window: time.Duration(q.Window), Overage: q.Overage, Slack: q.Slack}
}

// setQuotas puts the workspaces' quotas of a configuration in force.
func (g *Gate) setQuotas(c *beechcall.Configuration) {
	limits := make(map[string]beechquota.Limit)
	unknown := make(map[string]bool)
	for _, w := range c.Workspaces {
		switch {
		case w.Quota.Unknown:
			unknown[w.Name] = true
		case w.Quota.Rate > 0:
			limits[w.Name] = beechquota.Limit{Rate: w.Quota.Rate, Burst: w.Quota.Burst}
		}
	}
	g.quotas.SetLimits(limits, unknown)
}

// askQuota asks whether a call may go on. A gate that has just started knows its own
// share only; it will hear the others in a moment, which is sooner than its caller
// would be back.
func (g *Gate) admitQuota(ctx context.Context, call *beechcall.Call) beechquota.Decision {
	deadline := g.clock.Now().Add(min(startupWait, call.Route.Objective/startupWaitDivisor))
	for {
		decision := g.quotas.Admit(call.Workspace.Name, call.Size())
		refused, ok := decision.(beechquota.Refused)
		if !ok || !refused.Starts || !g.clock.Now().Before(deadline) {
			return decision
		}
		select {
		case <-g.clock.After(startupPollInterval):
		case <-ctx.Done():
			return decision
		}
	}
}

// spend takes a call's size from its workspace's quota, or answers it.
func (g *Gate) chargeQuota(ctx context.Context, call *beechcall.Call, out beechattempt.Responder) bool {
	switch decision := g.admitQuota(ctx, call).(type) {
	case beechquota.Refused:
		g.metrics.denied.Add("over quota", 1)
		g.log.Warn("request refused", zap.String("request", call.ID), zap.String("route", call.Route.Name), zap.String("reason", "over quota"),
			zap.String("workspace", call.Workspace.Name), zap.Float64("size", call.Size()), zap.Duration("after", decision.After),
			zap.Float64("left", decision.Level), zap.Float64("unread", decision.Unread), zap.Float64("rate", decision.Limit.Rate), zap.Float64("burst", decision.Limit.Burst),
			zap.Bool("alone", decision.Alone), zap.Duration("age", decision.Age))
		out.Refuse(beechattempt.OverQuota{After: decision.After})
		return false
	case beechquota.Admitted:
		if decision.Tell {
			beechtask.Wake(g.usageDue)
		}
	}
	return true
}

// spent settles a call's size: each server that may have run it counts.
func (g *Gate) settleQuota(call *beechcall.Call, attempts int) {
	switch {
	case attempts == 0:
		g.quotas.GiveBack(call.Workspace.Name, call.Size())
	case attempts > 1:
		g.quotas.Charge(call.Workspace.Name, call.Size()*float64(attempts-1))
	}
}

// manyGates is how many gates there are, as far as this one knows.
func (g *Gate) gateCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gates
}

// tellSpent tells the other gates what this one has admitted.
func (g *Gate) sendUsage(ctx context.Context) error {
	for number := uint32(0); ; number++ {
		urgent := false
		select {
		case <-g.clock.After(beechquota.Interval(g.gateCount())):
		case <-g.usageDue:
			urgent = true
		case <-ctx.Done():
			return ctx.Err()
		}
		if !g.quotas.Limited() {
			continue // there is nothing to agree on
		}
		for _, spent := range packUsage(g.quotas.Word(), 1) {
			g.sendToGates(number, urgent, func(pass bool) beechbeat.Message {
				message := *spent
				message.Pass = pass
				return beechbeat.Spent{Spent: &message}
			})
		}
		g.clock.Sleep(usageSendPause)
	}
}

// hearSpent takes in what another gate has admitted.
func (g *Gate) receiveUsage(from netip.AddrPort, s beechbeat.Spent) {
	if !g.isKnownGate(from) {
		return
	}
	if s.Pass {
		relayed := *s.Spent
		relayed.Pass = false
		g.sendToZone(beechbeat.Spent{Spent: &relayed})
	}
	g.quotas.Hear(unpackUsage(s.Spent, 1))
}

// unpackUsage unpacks a word whose amounts are told as so many parts of one.
func unpackUsage(s *beechwire.Spent, scale float64) beechquota.Word {
	update := beechquota.Word{Host: s.Host, Lifetime: s.Lifetime, Age: time.Duration(s.Age) * time.Millisecond, Settled: s.Settled, Full: s.Full}
	for _, u := range s.Uses {
		update.Uses = append(update.Uses, beechquota.Use{Workspace: u.Workspace, Total: float64(u.Total) / scale, Level: float64(u.Level) / scale})
	}
	return update
}

// packUsage packs a word into messages that go into a datagram each, amounts as so many
// parts of one. Only one that holds all buckets may say so.
func packUsage(w beechquota.Word, scale float64) []*beechwire.Spent {
	var all []*beechwire.Spent
	for {
		n := min(len(w.Uses), maxUsesPerDatagram)
		message := &beechwire.Spent{Host: w.Host, Lifetime: w.Lifetime, Age: w.Age.Milliseconds(), Settled: w.Settled, Full: w.Full && n == len(w.Uses) && all == nil}
		for _, u := range w.Uses[:n] {
			message.Uses = append(message.Uses, beechwire.Use{Workspace: u.Workspace, Total: uint64(u.Total * scale), Level: int64(u.Level * scale)})
		}
		all = append(all, message)
		if w.Uses = w.Uses[n:]; len(w.Uses) == 0 {
			return all
		}
	}
}
