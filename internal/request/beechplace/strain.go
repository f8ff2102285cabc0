package beechplace

import (
	"github.com/beechring/beechring/internal/decision/beechstrain"
)

// UpdateStrain records what an engine's keeper reports of its host, unless a later report is known.
func (p *Placer) UpdateStrain(s beechstrain.Strain) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for address, engine := range p.byAddress {
		if address.Addr() != s.Host || (s.Number < engine.strain.Number && now.Sub(engine.strainAt) < reportTTL) {
			continue
		}
		engine.strain, engine.strainAt = s, now
		if s.Slowness > 0 {
			p.tellSlowness[engine.Service] = true
		}
	}
}
