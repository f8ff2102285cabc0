package beechgate

import (
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechhealth"
	"github.com/beechring/beechring/internal/request/beechattempt"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// Served implements beechattempt.Observer.
func (g *Gate) Served(server beechcall.Server, _ string, first time.Duration, unread int, failed bool) {
	g.health.Observe(beechhealth.Sample{Server: server.Address, Model: server.Service, FirstToken: first, Tokens: unread, Failed: failed})
}

// Ended implements beechattempt.Observer. Of requests that ended as they should
// a line is written at level debug only, of all others always.
func (g *Gate) Ended(e beechattempt.Ending) {
	g.metrics.ended(e, g.way(e.Choice.Server))
	if e.Choice.LimitedServer != "" {
		g.limitLog.Info("request kept from a server at its limit", zap.String("request", e.Call.ID), zap.String("limited", e.Choice.LimitedServer),
			zap.Float64("rate", g.limits.Rate(e.Choice.LimitedServer)), zap.String("server", e.Choice.Server.ID), zap.String("ending", e.How))
	}
	level := zap.DebugLevel
	if e.How != "answered" || e.Sends > 1 || e.First > e.Call.Route.Objective {
		level = zap.InfoLevel
	}
	line := g.log.Check(level, "request ended")
	if line == nil {
		return
	}
	c := e.Choice
	line.Write(
		zap.String("request", e.Call.ID), zap.String("route", e.Call.Route.Name), zap.String("ending", e.How), zap.Uint64("configuration", e.Call.Version),
		zap.Duration("first", e.First), zap.Duration("took", e.Took), zap.Int("sends", e.Sends),
		zap.String("server", c.Server.ID), zap.Uint64("weights", c.Weights), zap.Float64("cost", c.Cost), zap.Float64("expected", c.Expected), zap.Duration("wait", c.Wait),
		zap.Int("tokens", e.Call.PromptTokens), zap.Int("shared", e.Call.SharedTokens()), zap.Int("missing", c.Missing), zap.Int("unread", c.PrefillTokens),
		zap.Stringer("fetch", c.Fetch), zap.Stringer("save", c.Save))
}
