package beechgate

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechsummary"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/request/beechplace"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

const (
	// measurementsInterval is the time between messages with measurements of this gate to a collector,
	// and between those of a collector to the other gates.
	measurementsInterval = 250 * time.Millisecond
	// maxMeasurements is the number of paces and of loads in one message, at some 15 bytes each.
	maxMeasurements = 300
	// maxPartsPerEngine is the number of cached parts that a gate that starts is told of each
	// engine, as keepers tell collectors.
	maxPartsPerEngine = 64
	maxRecalled       = 200 // engines in one message
	fixedPointScale   = 1000
)

// sendSummaries sends the states of engines to the gates of this zone and to other zones
// while this gate is a collector.
func (g *Gate) sendSummaries(ctx context.Context) error {
	round := rand.Uint32()
	for ; ctx.Err() == nil; round++ {
		near, far := g.board.Due(beechsummary.Near), g.board.Due(beechsummary.Far)
		if wait := min(near, far); wait > 0 {
			g.waitForSummaries(ctx, wait)
			continue
		}
		if near == 0 {
			for _, s := range g.board.Next(beechsummary.Near) {
				g.sendSummary(round, beechconvert.WireSummary(s, false))
			}
		}
		if far == 0 {
			for _, s := range g.board.Next(beechsummary.Far) {
				g.sendToOtherZones(round, urgentSummary(s), beechdatagram.Summary{Summary: beechconvert.WireSummary(s, true)})
			}
		}
	}
	return ctx.Err()
}

// loseSilent notes the engines whose keepers no longer report to this gate.
func (g *Gate) loseSilent() {
	for _, engine := range g.board.TakeSilent() {
		g.log.Info("keeper silent", zap.Stringer("engine", engine))
		g.placer.LoseState(engine)
	}
}

// sendSummary sends a summary to all gates of this zone. If they are many, some of them forward it.
func (g *Gate) sendSummary(round uint32, s *beechwire.Summary) {
	var direct []netip.AddrPort
	for _, branch := range beechsummary.Fan(g.topology.Load().Neighbors, round) {
		if len(branch.Forward) == 0 {
			direct = append(direct, branch.To)
			continue
		}
		message := *s
		message.Forward = beechconvert.WireAddresses(branch.Forward)
		g.sendToPeers([]netip.AddrPort{branch.To}, beechdatagram.Summary{Summary: &message})
	}
	g.sendToPeers(direct, beechdatagram.Summary{Summary: s})
}

// forwardSummary sends a collector's summary on to the gates of this zone that it names.
func (g *Gate) forwardSummary(m beechdatagram.Summary) {
	t := g.topology.Load()
	to := slices.DeleteFunc(beechconvert.Addresses(m.Forward), func(a netip.AddrPort) bool { return t.ZoneOf[a] != g.settings.Zone })
	message := *m.Summary
	message.Forward = nil
	g.sendToPeers(to, beechdatagram.Summary{Summary: &message})
}

func (g *Gate) waitForSummaries(ctx context.Context, wait time.Duration) {
	var timer <-chan time.Time
	if wait != beechsummary.Never {
		timer = g.clock.After(wait)
	}
	select {
	case <-timer:
	case <-g.summariesDue:
	case <-ctx.Done():
	}
}

// urgentSummary reports whether a summary must not be lost with one collector: a gate that
// misses a change of phase or weights may send a request that the engine rejects.
func urgentSummary(s beechsummary.Summary) bool {
	return len(s.Lost) > 0 || slices.ContainsFunc(s.Changes, func(c beechsummary.Change) bool { return c.Status != nil })
}

// sendToOtherZones sends a message to one collector of each other zone in turn, or to all of
// them.
func (g *Gate) sendToOtherZones(round uint32, all bool, m beechdatagram.Message) {
	t := g.topology.Load()
	for zone := range t.OtherZones {
		to := t.Collectors[zone]
		if !all && len(to) > 1 {
			i := int(round % uint32(len(to)))
			to = to[i : i+1]
		}
		if err := g.socket.SendAll(to, beechdatagram.CrossZone, m); err != nil {
			g.log.Debug("send to gate failed", zap.Error(err))
		}
	}
}

// receiveReport handles a report of a keeper that this gate follows.
func (g *Gate) receiveReport(host netip.Addr, tell *beechwire.Tell) {
	state, parts := beechconvert.EngineReport(tell, g.clock.Now())
	engine := netip.AddrPortFrom(host, tell.Port)
	rank, collected := g.topology.Load().Collects[g.placer.ZoneOf(engine)]
	if !g.board.Report(host, state, parts, beechsummary.Collecting{Collected: collected, Slot: rank.Slot, Alone: rank.Alone}) {
		return
	}
	g.suspects.Merge(beechconvert.SuspectRecords(tell.Suspects))
	g.applyState(beechsummary.Changed{Engine: engine, State: state, Parts: parts})
	beechtask.Notify(g.summariesDue)
}

// receiveSummary handles a summary of a collector, or another gate's measurements.
func (g *Gate) receiveSummary(from netip.AddrPort, m beechdatagram.Summary) {
	if !g.isKnownGate(from) {
		return
	}
	if len(m.Forward) > 0 {
		g.forwardSummary(m)
	}
	origin := beechsummary.Peer
	ownZone := g.scopeToGate(from) == beechdatagram.SameZone
	if m.Pass && !ownZone {
		origin = beechsummary.Other
	}
	updates, recall := g.board.Apply(beechconvert.Summary(m.Summary), origin)
	for _, u := range updates {
		g.applyUpdate(u)
	}
	g.suspects.Merge(beechconvert.SuspectRecords(m.Suspects))
	measured := beechconvert.Measurements(m.Summary, g.clock.Now())
	g.mergeMeasurements(measured)
	if m.Pass {
		g.totals.Add(measured, ownZone)
	}
	if len(recall) > 0 {
		g.recallStates([]netip.AddrPort{from}, recall)
	}
	beechtask.Notify(g.summariesDue)
}

// recallStates asks collectors for the states of engines, or of all if none are given.
func (g *Gate) recallStates(from []netip.AddrPort, hosts []netip.Addr) {
	message := &beechwire.Recall{}
	for _, host := range hosts[:min(len(hosts), maxRecalled)] {
		message.Hosts = append(message.Hosts, beechconvert.WireHost(host))
	}
	for _, to := range from {
		if err := g.socket.Send(to, g.scopeToGate(to), beechdatagram.Recall{Recall: message}); err != nil {
			g.log.Debug("send to gate failed", zap.Error(err))
		}
	}
}

// receiveRecall answers a gate that lacks the states of engines. A gate that starts asks for
// all, and is also told what the engines cache: otherwise it would send each history to
// another engine, which would have to prefill it.
func (g *Gate) receiveRecall(from netip.AddrPort, m beechdatagram.Recall) {
	if !g.isKnownGate(from) {
		return
	}
	var cached map[netip.Addr]beechplace.CachedParts
	if len(m.Hosts) == 0 {
		cached = g.placer.PartsOn(maxPartsPerEngine)
	}
	answer := g.board.Answer(beechconvert.Hosts(m.Hosts), func(host netip.Addr) beechsummary.Parts {
		return beechsummary.Parts{Added: cached[host].Cached, Stored: cached[host].Stored}
	})
	for _, s := range answer {
		if err := g.socket.Send(from, g.scopeToGate(from), beechdatagram.Summary{Summary: beechconvert.WireSummary(s, false)}); err != nil {
			g.log.Debug("send to gate failed", zap.Error(err))
		}
	}
}

// askForStates asks the collectors of this zone for the states of all engines.
func (g *Gate) askForStates() {
	t := g.topology.Load()
	if t.Direct {
		return // keepers tell their states when this gate begins to follow them
	}
	collectors := slices.DeleteFunc(slices.Clone(t.Collectors[g.settings.Zone]), func(a netip.AddrPort) bool { return a == g.members.Self() })
	if len(collectors) > 0 {
		g.recallStates(collectors[:1], nil)
	}
}

func (g *Gate) applyUpdate(u beechsummary.Update) {
	switch v := u.(type) {
	case beechsummary.Changed:
		g.applyState(v)
	case beechsummary.Confirmed:
		g.placer.ConfirmState(v.Engine)
	case beechsummary.Lost:
		g.placer.LoseState(v.Engine)
	}
}

// applyState applies the state of an engine.
func (g *Gate) applyState(c beechsummary.Changed) {
	weights := make(map[string]uint64, len(c.State.Status.Weights))
	for _, w := range c.State.Status.Weights {
		weights[w.Model] = w.Version
	}
	state := beechplace.State{
		Number: c.State.Number, Address: c.Engine, Phase: beechrollout.Phase(c.State.Status.Phase), Weights: weights, Tries: c.State.Status.Unanswered, Born: c.State.Status.Born,
		Reading: c.State.Reading, Running: c.State.Running, Waiting: c.State.Waiting, CacheUsed: c.State.CacheUsed, CacheTotal: c.State.Status.CacheTotal,
		Parts: c.Parts.Added, Gone: c.Parts.Evicted, Kept: c.Parts.Stored,
	}
	if !c.State.OutdatedSince.IsZero() {
		state.Old = max(g.clock.Since(c.State.OutdatedSince), time.Millisecond)
	}
	engine := g.placer.UpdateState(state)
	g.observePhase(engine, state.Phase, weights, c.State.Status.LoadTime)
}

// sendMeasurements sends what this gate has measured to a collector of its zone, which sums up what all
// gates have measured. Each gate sees only few of the requests.
func (g *Gate) sendMeasurements(ctx context.Context) error {
	round := 0
	return beechtask.Every(ctx, g.clock, measurementsInterval, func() {
		round++
		t := g.topology.Load()
		suspects := beechconvert.WireSuspects(beechconvert.MostCrashes(g.suspects.RecentChanges()))
		measured := g.takeMeasurements(round)
		collectors := t.Collectors[g.settings.Zone]
		if slices.Contains(collectors, t.Self) || len(collectors) == 0 {
			g.totals.Add(measured, true)
			g.sendTotals(uint32(round), suspects)
			return
		}
		if !measured.Empty() || len(suspects) > 0 {
			message := beechconvert.WireMeasurements(measured, suspects, g.clock.Now(), true)
			g.sendToPeers(collectors[round%len(collectors):][:1], beechdatagram.Summary{Summary: message})
		}
	})
}

func (g *Gate) sendTotals(round uint32, suspects []beechwire.Suspect) {
	near, far := g.totals.Take(beechsummary.Near, maxMeasurements), g.totals.Take(beechsummary.Far, maxMeasurements)
	now := g.clock.Now()
	if !near.Empty() || len(suspects) > 0 {
		g.sendSummary(round, beechconvert.WireMeasurements(near, suspects, now, false))
	}
	if !far.Empty() || len(suspects) > 0 {
		g.sendToOtherZones(round, false, beechdatagram.Summary{Summary: beechconvert.WireMeasurements(far, suspects, now, true)})
	}
}

// pacesEvery is the number of rounds of sendMeasurements after which paces and speed are sent: they
// change slowly, loads at once.
const pacesEvery = 4

func (g *Gate) takeMeasurements(round int) beechsummary.Measurements {
	var measured beechsummary.Measurements
	for _, l := range g.placer.TakeLoadReports(maxMeasurements) {
		measured.Loads = append(measured.Loads, beechsummary.ServerLoad(l))
	}
	if round%pacesEvery != 0 {
		return measured
	}
	for _, p := range g.placer.TakePaceReports(maxMeasurements) {
		measured.Paces = append(measured.Paces, beechsummary.Pace(p))
	}
	measured.Speed = beechsummary.Speed(g.placer.TakeSpeedReport())
	g.ownPaces.sent(measured.Paces)
	return measured
}

// mergeMeasurements adds the measurements of other gates.
func (g *Gate) mergeMeasurements(measured beechsummary.Measurements) {
	for _, p := range measured.Paces {
		if others, ok := g.ownPaces.without(p); ok {
			g.placer.MergePaceReport(beechplace.PaceReport(others))
		}
	}
	if measured.Speed.Samples > 0 {
		g.placer.MergeSpeedReport(beechplace.SpeedReport(measured.Speed))
	}
	for _, l := range measured.Loads {
		g.placer.MergeLoadReport(beechplace.LoadReport(l))
	}
}
