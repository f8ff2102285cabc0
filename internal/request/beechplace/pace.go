package beechplace

import (
	"math"
	"slices"
	"time"

	"github.com/beechring/beechring/internal/request/beechcall"
)

type (
	// pace estimates how long an engine takes for the same work compared with the others, from
	// times to first token. Engines of one service may differ in speed, and one may slow down.
	// With a common speed, callers would be late at slow engines and prompts prefilled again
	// at fast ones.
	//
	// A sample is the logarithm of the ratio between the actual time and the time expected at
	// the engines' common speed. It is compared with the median over all engines, so that no
	// engine counts as slow while the whole fleet is busy.
	pace struct {
		meanLog    float64 // mean of the recent samples
		samples    float64 // weight of the samples in meanLog
		latestLog  float64 // latest sample, or mean of the latest report
		updatedAt  time.Time
		unreported PaceReport // samples not yet sent to other gates
	}

	// PaceReport summarizes samples of an engine for other gates.
	PaceReport struct {
		Engine  uint64 // hash of its ID
		Samples int
		Log     float64 // mean of the logarithm of actual over expected time
	}
)

const (
	// maxPaceSamples bounds the weight of past samples, so that a slowdown shows within as
	// many requests.
	maxPaceSamples = 24
	// pacePriorSamples is the weight of the prior that an engine is as fast as the others.
	pacePriorSamples = 6
	// paceHalfLife is the half-life of samples: an engine that appears slow gets few requests,
	// so that its recovery would otherwise go unnoticed.
	paceHalfLife = 10 * time.Second
	maxPaceRatio = 8
	// paceRenewalTime is the age of the latest sample from which on an engine that appears slow
	// is offered requests again.
	paceRenewalTime = 3 * time.Second
	// paceRenewalCalls is how many calls of a gate there are for each that is offered to such an
	// engine, times the number of gates.
	paceRenewalCalls = 8
	// paceNoise is the difference of the logarithm between engines of equal speed, caused by
	// queues that are not known.
	paceNoise = 0.45
	// lateReportTime is longer than a sample takes from its gate to all others: a gate reports each
	// second, and a collector passes the sum on.
	lateReportTime = 2 * time.Second
	// maxReportSamples exceeds the samples that a gate takes of an engine between two reports.
	maxReportSamples = 10000
)

// maxPaceLog bounds how much slower or faster than the median a sample may be.
var maxPaceLog = math.Log(maxPaceRatio)

// paceFactor returns how many times as long as the median engine an engine takes.
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

// chargedPace returns the pace by which an engine is compared with others for a call. One that
// appears slow without recent samples, or contrary to the latest, is charged as a usual one for a
// few calls: it gets hardly any others that would show its recovery.
func (p *Placer) chargedPace(call *beechcall.Call, s *server, pace float64, now time.Time) float64 {
	e := &s.pace
	outdated := now.Sub(e.updatedAt) >= paceRenewalTime || e.latestLog-p.medianPace <= paceNoise
	if pace > 1 && outdated && tieRank(call, s)%uint64(paceRenewalCalls*p.settings.Gates) == 0 {
		return 1
	}
	return pace
}

// effectiveSamples returns the weight of the samples after their decay.
func (e *pace) effectiveSamples(now time.Time) float64 {
	return e.samples * math.Pow(0.5, float64(max(now.Sub(e.updatedAt), 0))/float64(paceHalfLife))
}

// learn adds the mean of the given number of samples.
func (e *pace) learn(log, samples float64, now time.Time) {
	samples = min(samples, maxPaceSamples)
	previous := min(e.effectiveSamples(now), maxPaceSamples-samples)
	e.meanLog = (e.meanLog*previous + log*samples) / (previous + samples)
	e.samples, e.latestLog, e.updatedAt = previous+samples, log, now
}

// recordPace adds the sample of one request.
func (p *Placer) recordPace(s *server, took, expected float64, now time.Time) {
	// Bounded around the median: while all engines are slower than assumed, a bound around 1
	// would cut off what tells a slow one from the others.
	log := math.Log(max(took, 1) / max(expected, 1))
	log = min(max(log, p.medianPace-maxPaceLog), p.medianPace+maxPaceLog)
	s.pace.learn(log, 1, now)
	unreported := &s.pace.unreported
	unreported.Log = (unreported.Log*float64(unreported.Samples) + log) / float64(unreported.Samples+1)
	unreported.Samples++
}

// updateMedianPace sets medianPace from all engines. Of an even number it takes the lower middle one:
// of two engines, one slow sample must not make the other appear fast.
func (p *Placer) updateMedianPace() {
	var logs []float64
	for _, s := range p.byID {
		if s.pace.samples > 0 {
			logs = append(logs, s.pace.meanLog)
		}
	}
	if len(logs) > 0 {
		slices.Sort(logs)
		p.medianPace = logs[(len(logs)-1)/2]
	}
}

// TakePaceReports returns and resets the samples collected since the last call, of at most the
// given number of engines. A single gate samples each engine rarely, so gates exchange their
// samples.
func (p *Placer) TakePaceReports(maxEngines int) []PaceReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateMedianPace()
	var list []PaceReport
	for hash, s := range p.byHash {
		if s.pace.unreported.Samples == 0 || len(list) == maxEngines {
			continue
		}
		s.pace.unreported.Engine = hash
		list = append(list, s.pace.unreported)
		s.pace.unreported = PaceReport{}
	}
	return list
}

// MergePaceReport adds the samples of another gate. Reports with invalid values are ignored.
func (p *Placer) MergePaceReport(report PaceReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.byHash[report.Engine]
	if !ok || report.Samples <= 0 || report.Samples > maxReportSamples || !(math.Abs(report.Log) <= 2*maxPaceLog) {
		return
	}
	now := p.clock.Now()
	if now.Sub(s.limitEndedAt) < lateReportTime {
		return // the samples may be from the time with a limit
	}
	s.pace.learn(report.Log, float64(report.Samples), now)
}

// Paces returns, by engine ID, how many times as long as the median engine each engine takes.
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
