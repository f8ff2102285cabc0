package beechgate

import (
	"expvar"
	"net/http"

	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/process/beechmetric"
	"github.com/beechring/beechring/internal/request/beechattempt"
)

type (
	// metrics holds the gate's counters. docs/OPERATIONS.md explains the published names.
	metrics struct {
		vars           *expvar.Map
		endings        *expvar.Map
		retried        *expvar.Int
		stops          *expvar.Map // calls that were not tried again, by cause
		denied         *expvar.Map
		unknownSenders *expvar.Int // messages from hosts that are not members
		invalidGossip  *expvar.Int // membership messages of unknown kinds
		lent           *expvar.Int // retries lent to gates of this zone
		copiesFetched  *expvar.Int // whole copies taken from other gates
		proofs         *expvar.Map // other gates' statements about their mirrors, by result
		catchUps       *expvar.Map // reads of the changes of servers for resumed streams, by outcome
		fences         *expvar.Map // reads of fencing numbers for keepers, by outcome
		bodies         *expvar.Map // bytes of request bodies, within the zone and to other zones

		limitLinesDropped *expvar.Int // log lines on limits beyond maxLimitLogLines
		lateVersions      *expvar.Int // versions that could not be loaded by all engines in time
		invalidEntries    *expvar.Int // changes of servers' entries that were invalid
		firstByte         *beechmetric.Latency
		wholeAnswer       *beechmetric.Latency
		resumed           *expvar.Map          // resumed streams, by how their origin was found
		backups           *expvar.Map          // backups of runs, by what became of them
		turnedAway        *expvar.Int          // connections closed unread
		unreadAge         *beechmetric.Latency // of the last bytes on connections closed with bytes unread
		schedulingDelay   *expvar.Int          // median in microseconds
		departed          *expvar.Map          // calls whose callers left, by progress
		departedAfter     *beechmetric.Latency // from the last attempt until it was noticed that the caller had left
		unnoticed         *beechmetric.Latency // from a caller's close until it was noticed
		withdrawn         *beechmetric.Latency // from then until the attempt was withdrawn
		withdrawals       *expvar.Map          // attempts of callers that left, by outcome
		schedulingTail    *expvar.Int          // 99th percentile in microseconds
		returns           *expvar.Map          // refused callers that were told a time, and what became of it
		toldTimes         *beechmetric.Latency // times that refused callers were told
		watchDelay        *beechmetric.Latency // of the looks for callers that have left
		resetDelay        *beechmetric.Latency // from the withdrawal of an attempt until its socket was closed
		listAge           *beechmetric.Latency // since the list of servers was proved, at each send
		oldListSends      *expvar.Int          // sends by a list whose proof was older than the operators' bound
		acceptWait        *expvar.Int          // shortest wait of new connections in microseconds
	}
)

func newMetrics(g *Gate) *metrics {
	m := &metrics{
		vars: new(expvar.Map), endings: new(expvar.Map), retried: new(expvar.Int), stops: new(expvar.Map), denied: new(expvar.Map),
		proofs: new(expvar.Map), catchUps: new(expvar.Map), fences: new(expvar.Map), bodies: new(expvar.Map), unknownSenders: new(expvar.Int), invalidGossip: new(expvar.Int), copiesFetched: new(expvar.Int), lent: new(expvar.Int),
		limitLinesDropped: new(expvar.Int), lateVersions: new(expvar.Int), invalidEntries: new(expvar.Int), firstByte: beechmetric.NewLatency(), wholeAnswer: beechmetric.NewLatency(),
		resumed: new(expvar.Map), backups: new(expvar.Map), turnedAway: new(expvar.Int), unreadAge: beechmetric.NewLatency(), schedulingDelay: new(expvar.Int), departed: new(expvar.Map), departedAfter: beechmetric.NewLatency(),
		unnoticed: beechmetric.NewLatency(), withdrawn: beechmetric.NewLatency(), withdrawals: new(expvar.Map), schedulingTail: new(expvar.Int), acceptWait: new(expvar.Int),
		returns: new(expvar.Map), toldTimes: beechmetric.NewLatency(), watchDelay: beechmetric.NewLatency(), resetDelay: beechmetric.NewLatency(),
		listAge: beechmetric.NewLatency(), oldListSends: new(expvar.Int),
	}
	m.vars.Set("endings", m.endings)
	m.vars.Set("retried", m.retried)
	m.vars.Set("notRetried", m.stops)
	m.vars.Set("denied", m.denied)
	m.vars.Set("proofs", m.proofs)
	m.vars.Set("fences", m.fences)
	m.vars.Set("paces", expvar.Func(func() any { return slowEngines(g.placer.Paces()) }))
	m.vars.Set("strangers", m.unknownSenders)
	m.vars.Set("gossipMalformed", m.invalidGossip)
	m.vars.Set("copiesFetched", m.copiesFetched)
	m.vars.Set("retriesLent", m.lent)
	m.vars.Set("members", expvar.Func(func() any { return g.members.Counts() }))
	m.vars.Set("states", expvar.Func(func() any { return g.board.Counts() }))
	m.vars.Set("urgencies", expvar.Func(func() any { return g.placer.Urgencies() }))
	m.vars.Set("strains", expvar.Func(func() any { return g.strains.Counts() }))
	m.vars.Set("quotas", expvar.Func(func() any { return g.quotas.State() }))
	m.vars.Set("returns", m.returns)
	m.vars.Set("toldMicros", expvar.Func(m.toldTimes.Percentiles))
	m.vars.Set("limitLinesDropped", m.limitLinesDropped)
	m.vars.Set("limits", expvar.Func(func() any { return g.limits.State() }))
	m.vars.Set("full", expvar.Func(func() any { return g.overloaded.State() }))
	m.vars.Set("backoff", expvar.Func(func() any { return g.backoff.State() }))
	m.vars.Set("crashes", expvar.Func(func() any { return g.core.Crashes() }))
	m.vars.Set("unframedAnswers", expvar.Func(func() any { return g.core.Survivals() }))
	m.vars.Set("longPauses", expvar.Func(func() any { return g.core.LongPauses() }))
	m.vars.Set("attemptEnds", expvar.Func(func() any { return g.core.AttemptEnds() }))
	m.vars.Set("answerBytes", expvar.Func(func() any {
		now, peak := g.core.AnswerBytes()
		return map[string]int{"now": now, "peak": peak}
	}))
	m.vars.Set("streamsBroken", expvar.Func(func() any { return g.core.StreamsBroken() }))
	m.vars.Set("silences", expvar.Func(func() any { return g.core.Silences() }))
	m.vars.Set("pauseModel", expvar.Func(func() any { return g.placer.PauseModel() }))
	m.vars.Set("poison", expvar.Func(func() any { return g.poison.Counts() }))
	m.vars.Set("admission", expvar.Func(func() any { return g.admission.States() }))
	m.vars.Set("bodyBytes", m.bodies)
	m.vars.Set("bodies", expvar.Func(func() any { return g.intake.State() }))
	m.vars.Set("callersReset", expvar.Func(func() any { return g.bodies.Reset() }))
	m.vars.Set("datagramBytes", g.socket.SentBytes())
	if g.deps.StoreUse != nil {
		m.vars.Set("store", g.deps.StoreUse)
	}
	m.vars.Set("versionsShort", m.lateVersions)
	m.vars.Set("entriesPassedOver", m.invalidEntries)
	m.vars.Set("firstByteMicros", expvar.Func(m.firstByte.Percentiles))
	m.vars.Set("wholeAnswerMicros", expvar.Func(m.wholeAnswer.Percentiles))
	m.vars.Set("resumed", m.resumed)
	m.vars.Set("catchUps", m.catchUps)
	m.vars.Set("backups", m.backups)
	m.vars.Set("originsKept", expvar.Func(func() any { return g.origins.registry.Len() }))
	m.vars.Set("connectionsTurnedAway", m.turnedAway)
	m.vars.Set("connectionsOpen", expvar.Func(func() any {
		counts := g.connections.Counts()
		return map[string]int{"now": counts.Open, "peak": counts.Peak, "limit": g.descriptors.Open}
	}))
	m.vars.Set("connectionsClosed", expvar.Func(func() any { return g.connections.Counts().Closed }))
	m.vars.Set("connectionsClosedUnread", expvar.Func(func() any { return g.connections.Counts().Unread }))
	m.vars.Set("unreadAgeMicros", expvar.Func(m.unreadAge.Percentiles))
	m.vars.Set("schedulingDelayMicros", m.schedulingDelay)
	m.vars.Set("callersLeft", m.departed)
	m.vars.Set("leftAfterSendMicros", expvar.Func(m.departedAfter.Percentiles))
	m.vars.Set("leaveNoticedMicros", expvar.Func(m.unnoticed.Percentiles))
	m.vars.Set("withdrawnMicros", expvar.Func(m.withdrawn.Percentiles))
	m.vars.Set("withdrawals", m.withdrawals)
	m.vars.Set("departureWatchDelayMicros", expvar.Func(m.watchDelay.Percentiles))
	m.vars.Set("resetDelayMicros", expvar.Func(m.resetDelay.Percentiles))
	m.vars.Set("serverConnectionsClosed", expvar.Func(func() any { return g.deps.Pool.ConnectionsClosed() }))
	m.vars.Set("serverResponsesDiscarded", expvar.Func(func() any { return g.deps.Pool.ResponsesDiscarded() }))
	m.vars.Set("schedulingDelayTailMicros", m.schedulingTail)
	m.vars.Set("acceptWaitMicros", m.acceptWait)
	m.vars.Set("listAgeMicros", expvar.Func(m.listAge.Percentiles))
	m.vars.Set("listAgeMillis", expvar.Func(func() any { return g.serverFreshness.Age().Milliseconds() }))
	m.vars.Set("sendsByOldList", m.oldListSends)
	m.vars.Set("configurationAgeMillis", expvar.Func(func() any { return g.freshness.keys.Age().Milliseconds() }))
	m.vars.Set("unanswered", g.door.Counts())
	m.vars.Set("unansweredLinesDropped", g.door.DroppedLines())
	m.vars.Set("configurationVersion", expvar.Func(func() any { return g.configurationVersion() }))
	m.vars.Set("connectionsMade", expvar.Func(func() any { return g.deps.Pool.ConnectionsMade() }))
	m.vars.Set("datagramsMalformed", expvar.Func(func() any { return g.socket.MalformedCount() }))
	m.vars.Set("gates", expvar.Func(func() any {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.gates
	}))
	return m
}

func (m *metrics) recordEnding(e beechattempt.Result, scope beechdatagram.Scope) {
	m.bodies.Add(scope.String(), int64(e.Attempts*len(e.Call.Body)))
	m.endings.Add(e.Outcome, 1)
	if e.Attempts > 1 {
		m.retried.Add(int64(e.Attempts - 1))
	}
	if e.Stop != "" {
		m.stops.Add(e.Stop, 1)
	}
	m.recordBackup(e.Backup)
	if e.FirstByte > 0 {
		m.firstByte.Record(e.FirstByte)
	}
	m.wholeAnswer.Record(e.Duration)
	if e.Outcome == beechattempt.OutcomeLeft {
		m.departed.Add(string(e.Progress), 1)
		if e.Attempts > 0 {
			m.departedAfter.Record(e.SinceSend)
			m.withdrawals.Add(string(e.Departure.Outcome), 1)
		}
		if e.Departure.Unnoticed >= 0 {
			m.unnoticed.Record(e.Departure.Unnoticed)
		}
		if e.Departure.Outcome != beechattempt.NothingToWithdraw {
			m.withdrawn.Record(e.Departure.Withdrawn)
		}
	}
}

func (m *metrics) recordBackup(b beechattempt.BackupResult) {
	if b.Server != "" {
		m.backups.Add("begun", 1)
	}
	if b.Copied {
		m.backups.Add("copied", 1)
	}
	if b.Used {
		m.backups.Add("used", 1)
	}
	if b.Whole {
		m.backups.Add("whole", 1)
	}
	if b.Denied != "" {
		m.backups.Add("none: "+string(b.Denied), 1)
	}
	if b.Reason != "" {
		m.backups.Add("given up: "+string(b.Reason), 1)
	}
}

// Metrics serves the gate's counters and histograms.
func (g *Gate) Metrics() http.Handler { return beechmetric.Handler(g.metrics.vars) }
