package beechplace

import (
	"time"

	"github.com/beechring/beechring/internal/request/beechcall"
)

// LoadReport is the load that a server without a keeper told with an answer, for other gates:
// a single gate of a large fleet seldom hears from each server.
type LoadReport struct {
	Server  uint64 // hash of the ID
	Running int
	Waiting int
	At      time.Time
}

const (
	// loadPrior is the weight of the mean load of a service against this gate's own requests,
	// as the number of requests that it stands for.
	loadPrior       = 1
	initialLoad     = 1. // mean load of a service of which nothing is known
	serviceLoadMean = 32 // weight of the running mean, in answers
	maxReportedLoad = 1 << 20
)

// estimatedLoad returns the estimated number of running and waiting requests at a server. With
// a recent keeper's report it is the reported number plus this gate's requests since then.
// Otherwise it is the load in the server's last answer to any gate, which as it ages is
// replaced by what this gate's own requests let expect.
func (p *Placer) estimatedLoad(s *server) float64 {
	now := p.clock.Now()
	if s.hasRecentReport(now) {
		return max(float64(s.state.Running+s.state.Waiting+s.inFlight-s.inFlightAtReport), float64(s.inFlight))
	}
	expected := p.expectedLoad(s)
	age := now.Sub(s.answerLoadAt)
	if !s.answerLoad.Known || age >= answerLoadTTL {
		return expected
	}
	reported := float64(max(s.answerLoad.Running+s.answerLoad.Waiting-s.inFlightAtAnswer, 0) + s.inFlight)
	return reported + (expected-reported)*float64(age)/float64(answerLoadTTL)
}

// expectedLoad is the load of a server that has told nothing lately. This gate's requests are a
// sample of those of all gates, beside the mean load of the service's servers. If one request
// of its own stood for one of each gate, a gate of a large fleet would take each server that
// it has just used for full, and send all its requests to the others.
func (p *Placer) expectedLoad(s *server) float64 {
	mean := p.serviceLoad(s.Service)
	sampled := 1 / float64(max(p.settings.Gates, 1))
	return max((float64(s.inFlight)+loadPrior)/(loadPrior/max(mean, sampled)+sampled), float64(s.inFlight))
}

func (p *Placer) serviceLoad(service string) float64 {
	if mean, known := p.serviceLoads[service]; known {
		return mean
	}
	return initialLoad
}

func (p *Placer) observeServiceLoad(service string, l beechcall.Load) {
	mean := p.serviceLoad(service)
	p.serviceLoads[service] = mean + (float64(l.Running+l.Waiting)-mean)/serviceLoadMean
}

// TakeLoadReports returns the loads that servers without a keeper have told since the last
// call, of at most the given number of servers.
func (p *Placer) TakeLoadReports(maxServers int) []LoadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []LoadReport
	for hash, s := range p.byHash {
		if s.answerUnreported && len(list) < maxServers {
			s.answerUnreported = false
			list = append(list, LoadReport{Server: hash, Running: s.answerLoad.Running, Waiting: s.answerLoad.Waiting, At: s.answerLoadAt})
		}
	}
	return list
}

// MergeLoadReport takes a load that another gate was told, if it is newer than the known one.
func (p *Placer) MergeLoadReport(r LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.byHash[r.Server]
	if !ok || !r.At.After(s.answerLoadAt) || r.Running < 0 || r.Waiting < 0 || r.Running+r.Waiting > maxReportedLoad {
		return
	}
	s.answerLoad = beechcall.Load{Known: true, Running: r.Running, Waiting: r.Waiting}
	s.answerLoadAt, s.inFlightAtAnswer, s.answerUnreported = r.At, s.inFlight, false
	p.observeServiceLoad(s.Service, s.answerLoad)
}
