package beechplace

import (
	"time"

	"github.com/beechring/beechring/internal/decision/beechadmission"
)

// Room returns what an engine has to do and what it can take. It returns false if the server is not
// known.
func (p *Placer) Room(id string) (beechadmission.Room, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.byID[id]
	if !ok {
		return beechadmission.Room{}, false
	}
	return p.roomOf(s, p.clock.Now()), true
}

// Capacity returns the prompt tokens that all engines in service prefill per millisecond.
func (p *Placer) Capacity(service string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, sum := p.clock.Now(), 0.0
	mayReceive := p.receivers(service, now)
	for _, s := range p.services[service] {
		if mayReceive(s) {
			sum += p.serverPrefillRate(s, now)
		}
	}
	return sum
}

// RoomShare returns the share of the servers in service whose room admit accepts.
func (p *Placer) RoomShare(service string, admit func(beechadmission.Room) bool) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	usable, admitted, mayReceive := 0, 0, p.receivers(service, now)
	for _, s := range p.services[service] {
		if !mayReceive(s) {
			continue
		}
		usable++
		if admit(p.roomOf(s, now)) {
			admitted++
		}
	}
	return float64(admitted) / float64(max(usable, 1))
}

// roomOf returns the room of an engine. Without a report of its keeper, only this gate's own requests
// are known, and the engine counts as this gate's share of it.
func (p *Placer) roomOf(s *server, now time.Time) beechadmission.Room {
	r := beechadmission.Room{
		Rate: p.serverPrefillRate(s, now), Fixed: p.prefill.fixed * p.paceFactor(s, now), Queued: p.queuedTokens(s, now),
		Slots: s.slots, Running: s.inFlight, Residence: p.residence.mean(),
	}
	if !s.hasRecentReport(now) {
		gates := max(p.settings.Gates, 1)
		r.Rate /= float64(gates)
		r.Running *= gates
		return r
	}
	r.Running, r.Waiting = s.state.Running, s.state.Waiting
	if s.state.CacheTotal > 0 {
		arriving := s.state.Waiting + max(s.inFlight-s.inFlightAtReport, 0)
		r.Free = float64(s.state.CacheTotal-s.state.CacheUsed) - float64(arriving)*p.meanPrompt
		r.Used = float64(s.state.CacheUsed)
	}
	return r
}
