package beechhealth

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// Settings configures a Tracker. Invalid and zero fields are taken from
	// Defaults.
	Settings struct {
		MaxEjectedPercent int           // of a model's servers that may be out of service at once
		MaxLatencyRatio   float64       // of a server's latency to the median of its peers
		MaxExcessFailures float64       // share of failed requests above the median of its peers
		ConfirmationTime  time.Duration // how long a server must be too slow, with another slow answer, before it is ejected
		EjectionTime      time.Duration // length of the first ejection; doubles with each further one
		MaxEjectionTime   time.Duration
		ProbeCount        int           // answers needed before a server returns to service
		SlowStart         time.Duration // time in which the weight of a returned server grows to 1
	}

	// Sample is one answer or failure of a server. FirstToken is the time to the
	// first token, measured from the start on the server: the time in the agent's
	// queue is not the server's fault. Tokens is the uncached part of the prompt,
	// which had to be computed before the first token. Failed covers errors and
	// timeouts of the server, but neither rejections nor errors of the caller.
	Sample struct {
		Server     netip.AddrPort
		Model      string
		FirstToken time.Duration
		Tokens     int
		Failed     bool
	}

	// Status is the state of one server, for operators.
	Status struct {
		Server         netip.AddrPort
		Weight         float64
		Ejected        bool
		LatencyRatio   float64 `json:"Slow"`   // latency as a multiple of its peers' median
		ExcessFailures float64 `json:"Failed"` // share of recent failures above its peers' median
	}

	// Tracker compares servers with their peers. It is safe for concurrent use.
	Tracker struct {
		mu             sync.Mutex
		settings       Settings
		clock          clockwork.Clock
		now            time.Time // never steps back
		lastEvaluation time.Time
		models         map[string]*model
		servers        map[netip.AddrPort]*server
		weights        atomic.Pointer[map[netip.AddrPort]float64] // only weights other than 1
	}

	// model is a group of peers: the servers of one model.
	model struct {
		members        []netip.AddrPort
		medianLatency  float64 // in seconds per token
		medianFailures float64 // share of requests
	}
)

const (
	// evaluationInterval is how often servers are compared. A failed sample
	// triggers a comparison earlier, but not before failureInterval has passed;
	// otherwise an outage would cost a comparison for each failure.
	evaluationInterval = 500 * time.Millisecond
	failureInterval    = 50 * time.Millisecond
)

// Defaults are the default settings; the package comment explains them.
var Defaults = Settings{
	MaxEjectedPercent: 30, MaxLatencyRatio: 5, MaxExcessFailures: 0.4, ConfirmationTime: 3 * time.Second,
	EjectionTime: 5 * time.Second, MaxEjectionTime: 2 * time.Minute, ProbeCount: 3, SlowStart: 10 * time.Second,
}

// New returns a Tracker without any servers.
func New(s Settings, c clockwork.Clock) *Tracker {
	t := &Tracker{
		settings: s.withDefaults(),
		clock:    c,
		now:      c.Now(),
		models:   make(map[string]*model),
		servers:  make(map[netip.AddrPort]*server),
	}
	t.weights.Store(&map[netip.AddrPort]float64{})
	return t
}

func (s Settings) withDefaults() Settings {
	if s.MaxEjectedPercent <= 0 || s.MaxEjectedPercent > 100 {
		s.MaxEjectedPercent = Defaults.MaxEjectedPercent
	}
	if !(s.MaxLatencyRatio > 1) { // also true for NaN
		s.MaxLatencyRatio = Defaults.MaxLatencyRatio
	}
	if !(s.MaxExcessFailures > 0 && s.MaxExcessFailures < 1) {
		s.MaxExcessFailures = Defaults.MaxExcessFailures
	}
	s.ConfirmationTime = orDefault(s.ConfirmationTime, Defaults.ConfirmationTime)
	s.EjectionTime = orDefault(s.EjectionTime, Defaults.EjectionTime)
	s.MaxEjectionTime = max(s.EjectionTime, orDefault(s.MaxEjectionTime, Defaults.MaxEjectionTime))
	s.SlowStart = orDefault(s.SlowStart, Defaults.SlowStart)
	if s.ProbeCount <= 0 {
		s.ProbeCount = Defaults.ProbeCount
	}
	return s
}

func orDefault(d, other time.Duration) time.Duration {
	if d <= 0 {
		return other
	}
	return d
}

// SetServers sets the live servers of a model. A server that no model has any
// more is forgotten; an empty list forgets the model.
func (t *Tracker) SetServers(name string, servers []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateTime()
	old := t.models[name]
	if old == nil {
		old = &model{}
	}
	if len(servers) == 0 {
		delete(t.models, name)
	} else {
		t.models[name] = &model{members: slices.Clone(servers), medianLatency: old.medianLatency, medianFailures: old.medianFailures}
	}
	for _, a := range servers {
		s := t.servers[a]
		if s == nil {
			s = &server{address: a, stats: make(map[string]*modelStats)}
			t.servers[a] = s
		}
		if s.stats[name] == nil {
			s.stats[name] = &modelStats{}
		}
	}
	for _, a := range old.members {
		if s := t.servers[a]; s != nil && !slices.Contains(servers, a) {
			delete(s.stats, name)
			if len(s.stats) == 0 {
				delete(t.servers, a)
			}
		}
	}
	t.evaluate()
}

// Observe records one answer or failure. Samples of a server that is not set for
// the model are ignored.
func (t *Tracker) Observe(sample Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateTime()
	m, s := t.models[sample.Model], t.servers[sample.Server]
	if m == nil || s == nil || s.stats[sample.Model] == nil {
		return
	}
	s.stats[sample.Model].add(sample)
	if s.state == probing {
		s.recordProbe(sample, m, t.settings.MaxLatencyRatio)
	}
	if !s.outlierSince.IsZero() && !sample.Failed && sample.isSlow(m, t.settings.MaxLatencyRatio) {
		s.confirmed = true
	}
	minInterval := evaluationInterval
	if sample.Failed {
		minInterval = failureInterval
	}
	if t.now.Sub(t.lastEvaluation) >= minInterval {
		t.evaluate()
	}
}

// Tick evaluates the servers without a sample, so that an ejected server also
// returns while there is no traffic.
func (t *Tracker) Tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateTime()
	t.evaluate()
}

// Weight returns how much traffic a server may receive, from 0 (none) to 1 (its
// full share). The weight of an unknown server is 1.
func (t *Tracker) Weight(a netip.AddrPort) float64 {
	if w, ok := (*t.weights.Load())[a]; ok {
		return w
	}
	return 1
}

// Status returns the known servers, sorted by address.
func (t *Tracker) Status() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Status, 0, len(t.servers))
	for a, s := range t.servers {
		latencyRatio, excessFailures := t.compareWithPeers(s)
		out = append(out, Status{
			Server: a, Weight: t.Weight(a), Ejected: s.state == ejected, LatencyRatio: latencyRatio, ExcessFailures: excessFailures,
		})
	}
	slices.SortFunc(out, func(a, b Status) int { return a.Server.Compare(b.Server) })
	return out
}

// updateTime reads the clock. Time stands still while the clock steps back.
func (t *Tracker) updateTime() {
	if now := t.clock.Now(); now.After(t.now) {
		t.now = now
	}
}

// evaluate compares all servers with their peers, ejects outliers and updates the
// weights.
func (t *Tracker) evaluate() {
	t.lastEvaluation = t.now
	for name, m := range t.models {
		t.updateMedians(name, m)
	}
	var outliers []*server
	for _, s := range t.servers {
		s.advance(t.now, t.settings)
		if s.isActive() && t.isOutlier(s) {
			outliers = append(outliers, s)
		}
	}
	slices.SortFunc(outliers, func(a, b *server) int {
		return cmp.Or(cmp.Compare(b.severity, a.severity), a.address.Compare(b.address))
	})
	for _, s := range outliers {
		if t.mayEject(s) {
			s.eject(t.now, t.settings)
		}
	}
	weights := make(map[netip.AddrPort]float64)
	for a, s := range t.servers {
		if w := s.weight(t.now, t.settings); w != 1 {
			weights[a] = w
		}
	}
	t.weights.Store(&weights)
}

// updateMedians computes a model's medians over the servers that are in service
// and have enough samples. A mean would be distorted by the very outlier to be
// found.
func (t *Tracker) updateMedians(name string, m *model) {
	var latencies, failures []float64
	for _, a := range m.members {
		s := t.servers[a]
		if st := s.stats[name]; s.isActive() && st.answers >= minSamples {
			latencies = append(latencies, st.latency)
		}
		if st := s.stats[name]; s.isActive() && st.samples >= minSamples {
			failures = append(failures, st.failureRate)
		}
	}
	m.medianLatency, m.medianFailures = median(latencies), median(failures)
}

// median returns the lower of two middle values: with two servers, the slow one
// must not become its own baseline.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// compareWithPeers returns the server's latency as a multiple of its peers'
// median, and its failure rate in excess of theirs. Both are the worst over its
// models.
func (t *Tracker) compareWithPeers(s *server) (latencyRatio, excessFailures float64) {
	for name, st := range s.stats {
		m := t.models[name]
		if m == nil {
			continue
		}
		if st.answers >= minSamples && m.medianLatency > 0 {
			latencyRatio = max(latencyRatio, st.latency/m.medianLatency)
		}
		if st.samples >= minSamples {
			excessFailures = max(excessFailures, st.failureRate-m.medianFailures)
		}
	}
	return latencyRatio, excessFailures
}

// isOutlier reports whether a server fails too much more than its peers, or has
// been too much slower than them for ConfirmationTime, with a slow answer in that
// time. Without one, a single slow answer would eject a server that gets no more
// requests.
func (t *Tracker) isOutlier(s *server) bool {
	latencyRatio, excessFailures := t.compareWithPeers(s)
	s.severity = max(latencyRatio/t.settings.MaxLatencyRatio, excessFailures/t.settings.MaxExcessFailures)
	if s.severity < 1 {
		s.outlierSince, s.confirmed = time.Time{}, false
		return false
	}
	if s.outlierSince.IsZero() {
		s.outlierSince = t.now
	}
	return excessFailures >= t.settings.MaxExcessFailures || (s.confirmed && t.now.Sub(s.outlierSince) >= t.settings.ConfirmationTime)
}

// mayEject reports whether the server can be ejected without exceeding the limit
// of ejected servers of any of its models. What looks like many bad servers is
// more likely a bad request or overload, and the remaining servers would have to
// carry all the load. One of two servers may be ejected.
func (t *Tracker) mayEject(s *server) bool {
	for name := range s.stats {
		m := t.models[name]
		if m == nil {
			continue
		}
		inactive := 0
		for _, a := range m.members {
			if !t.servers[a].isActive() {
				inactive++
			}
		}
		allowed := max(len(m.members)*t.settings.MaxEjectedPercent/100, min(1, len(m.members)-1))
		if inactive >= allowed {
			return false
		}
	}
	return true
}
