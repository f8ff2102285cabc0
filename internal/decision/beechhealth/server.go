package beechhealth

import (
	"net/netip"
	"time"
)

const (
	// smoothing is the weight of older samples in the exponential moving
	// averages. At 0.9, about the last ten samples count, so that five failures
	// in a row are noticed.
	smoothing = 0.9

	// minSamples is how many samples a server needs before it is judged. With
	// fewer, one unlucky request could eject it.
	minSamples = 8

	// overheadTokens is the work of a request besides its prompt, in tokens.
	// Without it, a server that receives short prompts would look slow per token.
	overheadTokens = 200

	// probeWindow is how long a returning server is offered to the router. The
	// requests it is sent in that time are its probes.
	probeWindow = time.Second

	// probeTimeout is how long to wait for the probes' answers after the window
	// has closed, before the next window opens.
	probeTimeout = 10 * time.Second

	// probeWeight lets the router prefer other servers that are equally good.
	probeWeight = 0.5

	// initialWeight is a server's weight at the beginning of slow start.
	initialWeight = 0.2

	// stabilityFactor is how many times the length of its last ejection a server
	// must work well before its next ejection is short again. Otherwise a
	// flapping server would return every few seconds and its load would
	// oscillate.
	stabilityFactor = 4

	// maxLatency caps the latency of a single sample against absurd reports.
	maxLatency = time.Hour
)

type (
	// state is whether a server is in service, ejected for some time, or offered
	// to the router for probes.
	state int

	// modelStats are a server's statistics for one model.
	modelStats struct {
		samples     int
		answers     int
		latency     float64 // seconds per token, moving average
		failureRate float64 // moving average
	}

	server struct {
		address      netip.AddrPort
		stats        map[string]*modelStats
		state        state
		ejectedUntil time.Time
		probingSince time.Time     // start of the probe window
		returnedAt   time.Time     // start of slow start; zero if never ejected
		ejectionTime time.Duration // length of the latest ejection
		outlierSince time.Time
		confirmed    bool    // it gave a slow answer after outlierSince
		severity     float64 // at least 1 for an outlier
		probes       int
		failedProbes int
	}
)

const (
	active state = iota
	ejected
	probing
)

func (st *modelStats) add(s Sample) {
	st.samples++
	st.failureRate = smoothing*st.failureRate + (1-smoothing)*failureValue(s.Failed)
	if s.Failed {
		return
	}
	latency := s.latencyPerToken()
	if st.answers == 0 {
		st.latency = latency
	}
	st.answers++
	st.latency = smoothing*st.latency + (1-smoothing)*latency
}

func failureValue(failed bool) float64 {
	if failed {
		return 1
	}
	return 0
}

// latencyPerToken returns the sample's time to the first token, in seconds per
// token of work.
func (s Sample) latencyPerToken() float64 {
	duration := min(max(s.FirstToken, 0), maxLatency)
	return duration.Seconds() / float64(max(s.Tokens, 0)+overheadTokens)
}

// isSlow reports whether the sample alone is too slow compared with the model's median.
func (s Sample) isSlow(m *model, maxLatencyRatio float64) bool {
	return m.medianLatency > 0 && s.latencyPerToken() > maxLatencyRatio*m.medianLatency
}

func (s *server) isActive() bool { return s.state == active }

// eject takes the server out of service, for twice as long as the last time.
func (s *server) eject(now time.Time, settings Settings) {
	if s.ejectionTime == 0 || now.Sub(s.returnedAt) > stabilityFactor*s.ejectionTime {
		s.ejectionTime = settings.EjectionTime / 2
	}
	s.ejectionTime = min(2*s.ejectionTime, settings.MaxEjectionTime)
	s.state = ejected
	s.ejectedUntil = now.Add(s.ejectionTime)
	s.outlierSince, s.confirmed = time.Time{}, false
}

// advance moves the server to its next state, depending on the time and its
// probes.
func (s *server) advance(now time.Time, settings Settings) {
	switch {
	case s.state == ejected && !now.Before(s.ejectedUntil):
		s.startProbing(now)
	case s.state == probing && s.failedProbes > 0:
		s.eject(now, settings)
	case s.state == probing && s.probes >= settings.ProbeCount:
		s.state = active
		s.returnedAt = now
		for _, st := range s.stats {
			*st = modelStats{}
		}
	case s.state == probing && now.Sub(s.probingSince) >= probeWindow+probeTimeout:
		s.startProbing(now)
	}
}

// startProbing opens a probe window, in which the router may send requests.
func (s *server) startProbing(now time.Time) {
	s.state = probing
	s.probingSince = now
	s.probes, s.failedProbes = 0, 0
}

// recordProbe judges one answer of a server that is being probed.
func (s *server) recordProbe(sample Sample, m *model, maxLatencyRatio float64) {
	s.probes++
	if sample.Failed || sample.isSlow(m, maxLatencyRatio) {
		s.failedProbes++
	}
}

// weight grows during slow start: the cache of a server that was ejected is cold,
// and its full load returning at once may be what made it fail.
func (s *server) weight(now time.Time, settings Settings) float64 {
	switch {
	case s.state == ejected:
		return 0
	case s.state == probing && now.Sub(s.probingSince) < probeWindow && s.probes < settings.ProbeCount:
		return probeWeight
	case s.state == probing:
		return 0
	case s.returnedAt.IsZero() || now.Sub(s.returnedAt) >= settings.SlowStart:
		return 1
	}
	return initialWeight + (1-initialWeight)*float64(now.Sub(s.returnedAt))/float64(settings.SlowStart)
}
