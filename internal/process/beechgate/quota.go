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
	// spentSpace is that between urgent ones: a workspace far beyond its quota would
	// otherwise have each of its requests told to all gates.
	spentSpace = 50 * time.Millisecond
	// startHold and a share of the objective are the longest that a call waits for a gate
	// that starts.
	startHold      = 250 * time.Millisecond
	startHoldShare = 2
	startPoll      = 20 * time.Millisecond
	// usesMost go into one datagram: a use is some 20 bytes.
	usesMost = 400
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
		case w.Quota.Invalid:
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
func (g *Gate) askQuota(ctx context.Context, call *beechcall.Call) beechquota.Decision {
	until := g.clock.Now().Add(min(startHold, call.Route.Objective/startHoldShare))
	for {
		d := g.quotas.Admit(call.Workspace.Name, call.QuotaCost())
		refused, ok := d.(beechquota.Refused)
		if !ok || !refused.Starts || !g.clock.Now().Before(until) {
			return d
		}
		select {
		case <-g.clock.After(startPoll):
		case <-ctx.Done():
			return d
		}
	}
}

// spend takes a call's size from its workspace's quota, or answers it.
func (g *Gate) spend(ctx context.Context, call *beechcall.Call, out beechattempt.Responder) bool {
	switch d := g.askQuota(ctx, call).(type) {
	case beechquota.Refused:
		g.metrics.denied.Add("over quota", 1)
		g.log.Warn("request refused", zap.String("request", call.ID), zap.String("route", call.Route.Name), zap.String("reason", "over quota"),
			zap.String("workspace", call.Workspace.Name), zap.Float64("size", call.QuotaCost()), zap.Duration("after", d.After),
			zap.Float64("left", d.Level), zap.Float64("unread", d.Unread), zap.Float64("rate", d.Limit.Rate), zap.Float64("burst", d.Limit.Burst),
			zap.Bool("alone", d.Alone), zap.Duration("age", d.Age))
		out.Reject(beechattempt.QuotaExceeded{RetryAfter: d.After})
		return false
	case beechquota.Admitted:
		if d.Tell {
			beechtask.Wake(g.spentNews)
		}
	}
	return true
}

// spent settles a call's size: each server that may have run it counts.
func (g *Gate) spent(call *beechcall.Call, runs int) {
	switch {
	case runs == 0:
		g.quotas.GiveBack(call.Workspace.Name, call.QuotaCost())
	case runs > 1:
		g.quotas.Charge(call.Workspace.Name, call.QuotaCost()*float64(runs-1))
	}
}

// manyGates is how many gates there are, as far as this one knows.
func (g *Gate) manyGates() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gates
}

// tellSpent tells the other gates what this one has admitted.
func (g *Gate) tellSpent(ctx context.Context) error {
	for number := uint32(0); ; number++ {
		urgent := false
		select {
		case <-g.clock.After(beechquota.Interval(g.manyGates())):
		case <-g.spentNews:
			urgent = true
		case <-ctx.Done():
			return ctx.Err()
		}
		if !g.quotas.Limited() {
			continue // there is nothing to agree on
		}
		for _, spent := range wireSpent(g.quotas.Word(), 1) {
			g.toGates(number, urgent, func(pass bool) beechbeat.Message {
				word := *spent
				word.Pass = pass
				return beechbeat.Spent{Spent: &word}
			})
		}
		g.clock.Sleep(spentSpace)
	}
}

// hearSpent takes in what another gate has admitted.
func (g *Gate) hearSpent(from netip.AddrPort, s beechbeat.Spent) {
	if !g.knows(from) {
		return
	}
	if s.Pass {
		passed := *s.Spent
		passed.Pass = false
		g.toZone(beechbeat.Spent{Spent: &passed})
	}
	g.quotas.Hear(spentWord(s.Spent, 1))
}

// spentWord unpacks a word whose amounts are told as so many parts of one.
func spentWord(s *beechwire.Spent, parts float64) beechquota.Word {
	word := beechquota.Word{Host: s.Host, Lifetime: s.Lifetime, Age: time.Duration(s.Age) * time.Millisecond, Settled: s.Settled, Full: s.Full}
	for _, u := range s.Uses {
		word.Uses = append(word.Uses, beechquota.Use{Workspace: u.Workspace, Total: float64(u.Total) / parts, Level: float64(u.Level) / parts})
	}
	return word
}

// wireSpent packs a word into messages that go into a datagram each, amounts as so many
// parts of one. Only one that holds all buckets may say so.
func wireSpent(w beechquota.Word, parts float64) []*beechwire.Spent {
	var all []*beechwire.Spent
	for {
		n := min(len(w.Uses), usesMost)
		spent := &beechwire.Spent{Host: w.Host, Lifetime: w.Lifetime, Age: w.Age.Milliseconds(), Settled: w.Settled, Full: w.Full && n == len(w.Uses) && all == nil}
		for _, u := range w.Uses[:n] {
			spent.Uses = append(spent.Uses, beechwire.Use{Workspace: u.Workspace, Total: uint64(u.Total * parts), Level: int64(u.Level * parts)})
		}
		all = append(all, spent)
		if w.Uses = w.Uses[n:]; len(w.Uses) == 0 {
			return all
		}
	}
}
