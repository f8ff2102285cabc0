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
		meanLog    float64 // mean of the last
		samples    float64 // that it stands on
		updatedAt  time.Time
		unreported PaceReport // that other gates have not heard of
	}

	// PaceReport is what first words of an engine told a gate.
	PaceReport struct {
		Engine  uint64 // hash of its ID
		Samples int
		Log     float64 // mean of the logarithm of its time against what was expected
	}
)

const (
	// maxPaceSamples samples are remembered, so that an engine that slows down shows it within
	// as many requests.
	maxPaceSamples = 24
	// pacePriorSamples is as many samples that say that an engine is like the others.
	pacePriorSamples = 6
	// paceHalfLife is the time in which half of what was seen is forgotten: an engine that
	// seems slow gets little to do, and would never show that it has recovered.
	paceHalfLife = 10 * time.Second
	maxPaceRatio = 8
	// paceNoise of the logarithm is what engines of the same speed differ by, as one or the
	// other has more waiting than is known.
	paceNoise = 0.45
	// maxReportSamples samples are more than a gate sees of an engine between two words.
	maxReportSamples = 10000
)

// factor is how many times as long as the middle one an engine takes.
func (p *Placer) paceFactor(s *server, now time.Time) float64 {
	e := &s.pace
	if e.samples == 0 {
		return 1
	}
	samples := e.effectiveSamples(now)
	log := (e.meanLog - p.medianPace) * samples / (samples + pacePriorSamples)
	if math.Abs(log) <= paceNoise {
		return 1
	}
	return math.Exp(log * (1 - paceNoise*paceNoise/(log*log)))
}

// kept is how many samples are still believed.
func (e *pace) effectiveSamples(now time.Time) float64 {
	return e.samples * math.Pow(0.5, float64(max(now.Sub(e.updatedAt), 0))/float64(paceHalfLife))
}

// learn takes in how long first words took, as the mean of so many.
func (e *pace) learn(log, samples float64, now time.Time) {
	samples = min(samples, maxPaceSamples)
	previous := min(e.effectiveSamples(now), maxPaceSamples-samples)
	e.meanLog = (e.meanLog*previous + log*samples) / (previous + samples)
	e.samples, e.updatedAt = previous+samples, now
}

// paced takes in what a first word tells of its engine.
func (p *Placer) recordPace(s *server, took, expected float64, now time.Time) {
	log := math.Log(min(max(took/max(expected, 1), 1./maxPaceRatio), maxPaceRatio))
	s.pace.learn(log, 1, now)
	unreported := &s.pace.unreported
	unreported.Log = (unreported.Log*float64(unreported.Samples) + log) / float64(unreported.Samples+1)
	unreported.Samples++
}

// center takes the middle one of all engines for what is common to them.
func (p *Placer) updateMedianPace() {
	var logs []float64
	for _, s := range p.byID {
		if s.pace.samples > 0 {
			logs = append(logs, s.pace.meanLog)
		}
	}
	if len(logs) > 0 {
		slices.Sort(logs)
		p.medianPace = logs[len(logs)/2]
	}
}

// TakePaceReports gives what first words have told of engines since the last call, of so many of
// them at the most. One gate alone sees an engine seldom.
func (p *Placer) TakePaceReports(most int) []PaceReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateMedianPace()
	var list []PaceReport
	for hash, s := range p.byHash {
		if s.pace.unreported.Samples == 0 || len(list) == most {
			continue
		}
		s.pace.unreported.Engine = hash
		list = append(list, s.pace.unreported)
		s.pace.unreported = PaceReport{}
	}
	return list
}

// MergePaceReport takes in what another gate has seen. A word that makes no sense is passed
// over.
func (p *Placer) MergePaceReport(report PaceReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.byHash[report.Engine]
	if !ok || report.Samples <= 0 || report.Samples > maxReportSamples || !(math.Abs(report.Log) <= math.Log(maxPaceRatio)) {
		return
	}
	s.pace.learn(report.Log, float64(report.Samples), p.clock.Now())
}

// Paces gives how many times as long as the middle one engines take, by ID.
func (p *Placer) Paces() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	paces := make(map[string]float64)
	for id, s := range p.byID {
		if s.pace.samples > 0 {
			paces[id] = p.paceFactor(s, now)
		}
	}
	return paces
}
