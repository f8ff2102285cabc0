package beechplace

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beechring/beechring/internal/decision/beechbackup"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// Backup is an engine that keeps a copy of a run. Done must be called once, when the copy is not
// needed any more.
type Backup struct {
	Server  beechcall.Server
	Weights uint64
	placer  *Placer
	server  *server
	tokens  int
	// sourceWeights are the latest known weights of the lifetime that runs the call, also once a later one is
	// known: a server gets a new map when it restarts.
	sourceWeights map[string]uint64
}

// Backup chooses the engine that keeps a copy of a call's run, which will generate for the given
// time. If there is none, the reason tells why; it is empty if the service has no backups at all.
func (p *Placer) Backup(call *beechcall.Call, c Choice, mode beechbackup.Mode, duration time.Duration) (*Backup, beechbackup.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	config := p.serviceConfigs[call.Service]
	service := beechbackup.Service{
		Offered: config.CopiesRuns, TokenBytes: config.TokenBytes, LinkRate: config.LinkRate, Contended: p.settings.CallersCompete || p.tellSlowness[call.Service],
	}
	source, ok := p.byID[c.Server.ID]
	if !ok || !mode.Applies(service) {
		return nil, ""
	}
	run := beechbackup.Run{Tokens: call.PromptTokens + call.OutputTokens, Duration: duration}
	now := p.clock.Now()
	service.CrashRate = p.crashRisk(call.Service).Rate(len(p.services[call.Service]), now)
	if reason := mode.Pays(service, run); reason != "" {
		return nil, reason
	}
	var servers []*server
	var engines []beechbackup.Engine
	for _, s := range p.services[call.Service] {
		if s != source && p.mayKeepCopy(call, s, now) {
			servers, engines = append(servers, s), append(engines, p.backupEngine(call, s, now))
		}
	}
	sourceEngine := p.backupEngine(call, source, now)
	sourceEngine.Weights, sourceEngine.Software = c.Weights, c.Server.Software
	index, found := beechbackup.Choose(run, sourceEngine, engines)
	if !found {
		return nil, beechbackup.NoEngine
	}
	b := &Backup{Server: servers[index].Server, Weights: c.Weights, placer: p, server: servers[index], tokens: run.Tokens, sourceWeights: source.weights}
	b.server.copyTokens += b.tokens
	b.server.copies++
	return b, ""
}

// crashRisk returns the risk that the engines of a service crash. The caller holds the lock.
func (p *Placer) crashRisk(service string) *beechbackup.Risk {
	risk, ok := p.crashRisks[service]
	if !ok {
		risk = &beechbackup.Risk{}
		p.crashRisks[service] = risk
	}
	return risk
}

// mayKeepCopy reports whether an engine may keep a copy, as far as it does not depend on the run.
func (p *Placer) mayKeepCopy(call *beechcall.Call, s *server, now time.Time) bool {
	return p.mayServe(call, s, now) && s.hasRecentReport(now) && !p.limits.Limited(s.ID) && p.health.Weight(s.Address) >= 1
}

func (p *Placer) backupEngine(call *beechcall.Call, s *server, now time.Time) beechbackup.Engine {
	return beechbackup.Engine{
		Host: s.Address.Addr(), Zone: s.Zone, Weights: s.weights[call.Model], Software: s.softwareVersion(),
		CacheUsed: s.state.CacheUsed + s.copyTokens, CacheTotal: s.state.CacheTotal,
		Load: (p.estimatedLoad(s) + float64(s.copies)) / float64(max(s.slots, defaultSlots)), Pace: p.paceFactor(s, now), Rank: xxhash.Sum64String(s.ID + call.ID),
	}
}

// Done ends the use of the copy.
func (b *Backup) Done() {
	b.placer.mu.Lock()
	b.server.copyTokens = max(b.server.copyTokens-b.tokens, 0)
	b.server.copies = max(b.server.copies-1, 0)
	b.placer.mu.Unlock()
}

// ObserveLoss adds what is known of a run that was lost, of its server and of its backup's engine to what
// the caller knows.
func (p *Placer) ObserveLoss(call *beechcall.Call, source Choice, b *Backup, run LostRun, loss beechbackup.Loss) beechbackup.Loss {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if loss.Evidence = p.endOf(source.Server, run, loss.Source); loss.Evidence != "" {
		loss.Source = beechbackup.Ended
	}
	loss.WeightsChanged = loss.WeightsChanged || p.sourceChangedWeights(call, source.Server, b)
	s, ok := p.byID[b.Server.ID]
	loss.Usable = ok && s.Born == b.Server.Born && p.mayReceive(s, now)
	if !loss.Usable {
		return loss
	}
	age, outdated := p.outdatedFor(s, call.Model, b.Weights, now)
	loss.SameWeights = s.weights[call.Model] == b.Weights && (!outdated || age < p.settings.OutdatedHardLimit)
	loss.SameSoftware = s.softwareVersion() != "" && s.softwareVersion() == source.Server.Software
	return loss
}

// sourceChangedWeights reports whether the lifetime that ran a call has had other weights since. It may
// have crashed before it told so in the stream, with a copy of which a part is of the older weights.
func (p *Placer) sourceChangedWeights(call *beechcall.Call, lifetime beechcall.Server, b *Backup) bool {
	differ := func(weights map[string]uint64) bool {
		version := weights[call.Model]
		return version != 0 && version != b.Weights
	}
	s, ok := p.byID[lifetime.ID]
	return differ(b.sourceWeights) || ok && s.Born == lifetime.Born && differ(s.weights) // it may have been listed anew
}

// Continuation returns the choice of the backup's engine for a run that goes on there.
func (b *Backup) Continuation(call *beechcall.Call) Choice {
	b.placer.mu.Lock()
	defer b.placer.mu.Unlock()
	return Choice{Server: b.Server, Weights: b.Weights, Salt: b.placer.salts.of(call, b.Weights)}
}
