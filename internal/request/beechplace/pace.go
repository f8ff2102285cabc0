package beechplace

import (
	"math"
	"slices"
	"time"
)

type (
	// pace is how long an engine takes against the others for the same work, as its
	// first words show: engines of one service may differ in speed, and one may slow
	// down. With one speed for all, callers are late at the slow ones, and parts are
	// read again on the quick ones.
	//
	// Followed is the logarithm of the time that first words took over that which the
	// engines' common speed lets expect. It counts against that of the middle one
	// of all engines: where the whole fleet is busy, nobody is slow.
	pace struct {
		log     float64 // mean of the last
		samples float64 // that it stands on
		at      time.Time
		untold  PaceReport // that other gates have not heard of
	}

	// PaceReport is what first words of an engine told a gate.
	PaceReport struct {
		Engine  uint64 // hash of its ID
		Samples int
		Log     float64 // mean of the logarithm of its time against what was expected
	}
)

const (
	// paceOver samples are remembered, so that an engine that slows down shows it within
	// as many requests.
	paceOver = 24
	// paceDoubt is as many samples that say that an engine is like the others.
	paceDoubt = 6
	// paceFades is the time in which half of what was seen is forgotten: an engine that
	// seems slow gets little to do, and would never show that it has recovered.
	paceFades = 10 * time.Second
	paceMost  = 8
	// paceNoise of the logarithm is what engines of the same speed differ by, as one or the
	// other has more waiting than is known.
	paceNoise = 0.45
	// seenMost samples are more than a gate sees of an engine between two words.
	seenMost = 10000
)

// factor is how many times as long as the middle one an engine takes.
func (p *Placer) factor(s *server, now time.Time) float64 {
	e := &s.pace
	if e.samples == 0 {
		return 1
	}
	samples := e.kept(now)
	log := (e.log - p.common) * samples / (samples + paceDoubt)
	if math.Abs(log) <= paceNoise {
		return 1
	}
	return math.Exp(log * (1 - paceNoise*paceNoise/(log*log)))
}

// kept is how many samples are still believed.
func (e *pace) kept(now time.Time) float64 {
	return e.samples * math.Pow(0.5, float64(max(now.Sub(e.at), 0))/float64(paceFades))
}

// learn takes in how long first words took, as the mean of so many.
func (e *pace) learn(log, samples float64, now time.Time) {
	samples = min(samples, paceOver)
	kept := min(e.kept(now), paceOver-samples)
	e.log = (e.log*kept + log*samples) / (kept + samples)
	e.samples, e.at = kept+samples, now
}

// paced takes in what a first word tells of its engine.
func (p *Placer) paced(s *server, took, usual float64, now time.Time) {
	log := math.Log(min(max(took/max(usual, 1), 1./paceMost), paceMost))
	s.pace.learn(log, 1, now)
	u := &s.pace.untold
	u.Log = (u.Log*float64(u.Samples) + log) / float64(u.Samples+1)
	u.Samples++
}

// center takes the middle one of all engines for what is common to them.
func (p *Placer) center() {
	var logs []float64
	for _, s := range p.byID {
		if s.pace.samples > 0 {
			logs = append(logs, s.pace.log)
		}
	}
	if len(logs) > 0 {
		slices.Sort(logs)
		p.common = logs[len(logs)/2]
	}
}

// TakePaceReports gives what first words have told of engines since the last call, of so many of
// them at the most. One gate alone sees an engine seldom.
func (p *Placer) TakePaceReports(most int) []PaceReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.center()
	var list []PaceReport
	for hash, s := range p.byHash {
		if s.pace.untold.Samples == 0 || len(list) == most {
			continue
		}
		s.pace.untold.Engine = hash
		list = append(list, s.pace.untold)
		s.pace.untold = PaceReport{}
	}
	return list
}

// MergePaceReport takes in what another gate has seen. A word that makes no sense is passed
// over.
func (p *Placer) MergePaceReport(seen PaceReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.byHash[seen.Engine]
	if !ok || seen.Samples <= 0 || seen.Samples > seenMost || !(math.Abs(seen.Log) <= math.Log(paceMost)) {
		return
	}
	s.pace.learn(seen.Log, float64(seen.Samples), p.clock.Now())
}

// Paces gives how many times as long as the middle one engines take, by ID.
func (p *Placer) Paces() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	paces := make(map[string]float64)
	for id, s := range p.byID {
		if s.pace.samples > 0 {
			paces[id] = p.factor(s, now)
		}
	}
	return paces
}
