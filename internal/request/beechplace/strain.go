package beechplace

import (
	"net/netip"
	"time"

	"github.com/beechring/beechring/internal/decision/beechstrain"
)

// UpdateStrain records what an engine's keeper reports of its host, unless a later report is known.
func (p *Placer) UpdateStrain(s beechstrain.Strain) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, address := range p.onHost[s.Host] {
		engine, ok := p.byAddress[address]
		if !ok || (s.Number < engine.strain.Number && now.Sub(engine.strainAt) < reportTTL) {
			continue
		}
		engine.strain, engine.strainAt = s, now
		engine.clearNew()
		p.observeMoment(engine, s.Slowness, now)
		if s.Slowness > 0 {
			p.tellSlowness[engine.Service] = true
		}
	}
}

// ZoneOfHost returns the zone of the servers on a host, or an empty name if there are none.
func (p *Placer) ZoneOfHost(host netip.Addr) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range p.onHost[host] {
		if s, ok := p.byAddress[address]; ok {
			return s.Zone
		}
	}
	return ""
}

// knownStrain returns what the keeper has reported of an engine's host lately. Engines of which
// nothing was reported are estimated as if all requests were equally urgent.
func (s *server) knownStrain(now time.Time) (beechstrain.Strain, bool) {
	known := !s.strainAt.IsZero() && now.Sub(s.strainAt) < reportTTL && s.hasRecentReport(now)
	return s.strain, known
}
