package beechgate

import (
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechhealth"
	"github.com/beechring/beechring/internal/request/beechattempt"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// ObserveAttempt implements beechattempt.Observer.
func (g *Gate) ObserveAttempt(server beechcall.Server, _ string, firstToken time.Duration, prefillTokens int, failed bool) {
	g.health.Observe(beechhealth.Sample{Server: server.Address, Model: server.Service, FirstToken: firstToken, Tokens: prefillTokens, Failed: failed})
}

// ObserveSend implements beechattempt.Observer. A server that leaves may get requests that are sent by a list whose proof is
// older than the operators' bound, which is logged.
func (g *Gate) ObserveSend(call *beechcall.Call, server beechcall.Server, listAge time.Duration) {
	g.metrics.listAge.Record(listAge)
	if listAge <= g.drainBound() {
		return
	}
	g.metrics.oldListSends.Add(1)
	g.limitLog.Warn("request sent by an old list", zap.String("request", call.ID), zap.String("server", server.ID), zap.Duration("listAge", listAge), zap.Stringer("provenBy", g.serverMirror.LastProof()))
}

// ObserveEnd implements beechattempt.Observer. Requests that were answered as expected are logged
// at level debug only, all others and resumed streams at info.
func (g *Gate) ObserveEnd(e beechattempt.Result) {
	if e.Outcome == beechattempt.OutcomeLeft && g.Ended() {
		e.Outcome = outcomeStopped
	}
	switch e.Outcome {
	case "answered":
		g.returns.answered(e.Call)
	case "refused":
		g.returns.refused(e.Call)
	}
	g.metrics.recordEnding(e, g.scopeTo(e.Choice.Server))
	if e.Choice.LimitedServer != "" {
		g.limitLog.Info("request kept from a server at its limit", zap.String("request", e.Call.ID), zap.String("limited", e.Choice.LimitedServer),
			zap.Float64("rate", g.limits.Rate(e.Choice.LimitedServer)), zap.String("server", e.Choice.Server.ID), zap.String("ending", e.Outcome))
	}
	level := zap.DebugLevel
	if e.Outcome != "answered" || e.Attempts > 1 || e.FirstByte > e.Call.Route.Objective || e.Call.LastEventID != "" {
		level = zap.InfoLevel
	}
	line := g.log.Check(level, "request ended")
	if line == nil {
		return
	}
	c := e.Choice
	fields := []zap.Field{
		zap.String("request", e.Call.ID), zap.String("route", e.Call.Route.Name), zap.String("ending", e.Outcome), zap.Uint64("configuration", e.Call.Version),
		zap.Duration("first", e.FirstByte), zap.Duration("took", e.Duration), zap.Int("sends", e.Attempts), zap.String("progress", string(e.Progress)), zap.Duration("sinceSend", e.SinceSend), zap.Duration("silence", e.Silence),
		zap.String("server", c.Server.ID), zap.String("software", c.Server.Software), zap.String("resumes", e.Call.Resumes), zap.String("after", e.Call.LastEventID),
		zap.Uint64("weights", c.Weights), zap.Float64("cost", c.Cost), zap.Float64("expected", c.Expected), zap.Duration("wait", c.Wait),
		zap.Int("tokens", e.Call.PromptTokens), zap.Int("shared", e.Call.SharedTokens()), zap.Int("missing", c.Missing), zap.Int("unread", c.PrefillTokens),
		zap.Stringer("fetch", c.Fetch), zap.Stringer("save", c.Save),
	}
	if e.Outcome == beechattempt.OutcomeLeft {
		fields = append(fields, zap.Duration("unnoticed", e.Departure.Unnoticed), zap.Duration("withdrawn", e.Departure.Withdrawn), zap.String("withdrawal", string(e.Departure.Outcome)))
	}
	if b := e.Backup; b.Server != "" {
		fields = append(fields, zap.String("backup", b.Server), zap.Bool("backupUsed", b.Used), zap.String("backupGivenUp", string(b.Reason)))
	}
	if reason := e.Backup.Denied; reason != "" {
		fields = append(fields, zap.String("noBackup", string(reason)))
	}
	line.Write(fields...)
}
