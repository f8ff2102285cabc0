package beechhealth

import (
	"net/netip"
	"time"
)

const (
	// memory is the weight of older samples against one more: the last ten or
	// so count, so that five failures in a row are seen as that.
	memory = 0.9

	// minSamples is how many it takes to judge a server at all. With fewer, one
	// unlucky request would eject it.
	minSamples = 8

	// overhead is the work of a request beside its prompt, in tokens. Without
	// it a server that gets short prompts would look slow for each token.
	overhead = 200

	// probeWindow is how long a returning server is offered to the router.
	// What it is sent in that time are its probes.
	probeWindow = time.Second

	// probeWait is how long their answers are waited for before the next
	// window opens.
	probeWait = 10 * time.Second

	// probeWeight lets the router prefer others where they are as good.
	probeWeight = 0.5

	// firstWeight is where slow start begins.
	firstWeight = 0.2

	// calm is how many times of its last ejection a server must do well before
	// its next one is short again. Without it one that flaps would be let back
	// every few seconds and move its load to and fro each time.
	calm = 4

	// maxLatency bounds a single sample's latency against absurd reports.
	maxLatency = time.Hour
)

type (
	// state of a server: in use, ejected until a time, or offered for probes.
	state int

	// series is what was seen of a server for one model.
	series struct {
		seen    int
		answers int
		latency float64 // seconds a token, smoothed
		failed  float64 // share, smoothed
	}

	server struct {
		address  netip.AddrPort
		series   map[string]*series
		state    state
		until    time.Time // of ejected
		opened   time.Time // the probe window
		returned time.Time // start of slow start; zero if it never was out
		out      time.Duration
		badSince time.Time
		badness  float64
		probes   int
		bad      int // of the probes
	}
)

const (
	used state = iota
	ejected
	probing
)

func (r *series) add(s Sample) {
	r.seen++
	r.failed = memory*r.failed + (1-memory)*share(s.Failed)
	if s.Failed {
		return
	}
	latency := s.latency()
	if r.answers == 0 {
		r.latency = latency
	}
	r.answers++
	r.latency = memory*r.latency + (1-memory)*latency
}

func share(failed bool) float64 {
	if failed {
		return 1
	}
	return 0
}

// latency is a sample's time for each token of work.
func (s Sample) latency() float64 {
	took := min(max(s.FirstToken, 0), maxLatency)
	return took.Seconds() / float64(max(s.Tokens, 0)+overhead)
}

func (s *server) inUse() bool { return s.state == used }

// eject takes the server out, twice as long as the last time.
func (s *server) eject(now time.Time, set Settings) {
	if s.out == 0 || now.Sub(s.returned) > calm*s.out {
		s.out = set.EjectionTime / 2
	}
	s.out = min(2*s.out, set.MaxEjectionTime)
	s.state = ejected
	s.until = now.Add(s.out)
	s.badSince = time.Time{}
}

// advance moves a server on by time and by its probes.
func (s *server) advance(now time.Time, set Settings) {
	switch {
	case s.state == ejected && !now.Before(s.until):
		s.open(now)
	case s.state == probing && s.bad > 0:
		s.eject(now, set)
	case s.state == probing && s.probes >= set.ProbeCount:
		s.state = used
		s.returned = now
		for _, r := range s.series {
			*r = series{}
		}
	case s.state == probing && now.Sub(s.opened) >= probeWindow+probeWait:
		s.open(now)
	}
}

// open offers the server for probes.
func (s *server) open(now time.Time) {
	s.state = probing
	s.opened = now
	s.probes, s.bad = 0, 0
}

// probe judges one answer of a returning server.
func (s *server) probe(sample Sample, m *model, slow float64) {
	s.probes++
	if sample.Failed || (m.latency > 0 && sample.latency() > slow*m.latency) {
		s.bad++
	}
}

// weight grows in slow start: the cache of a server that was out is cold, and
// a load that comes back at once may be what it failed under.
func (s *server) weight(now time.Time, set Settings) float64 {
	switch {
	case s.state == ejected:
		return 0
	case s.state == probing && now.Sub(s.opened) < probeWindow && s.probes < set.ProbeCount:
		return probeWeight
	case s.state == probing:
		return 0
	case s.returned.IsZero() || now.Sub(s.returned) >= set.SlowStart:
		return 1
	}
	return firstWeight + (1-firstWeight)*float64(now.Sub(s.returned))/float64(set.SlowStart)
}
