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
	// Settings of the tracker. Zero values are taken from Defaults.
	Settings struct {
		MaxEjectedPercent int           // percent of a model's servers that may be out at once
		MaxLatencyRatio   float64       // times its peers' median latency that is too slow
		MaxExcessFailures float64       // share of failed requests, above its peers', that is too many
		ConfirmationTime  time.Duration // for which it must last
		EjectionTime      time.Duration // the first time out; doubles with each
		MaxEjectionTime   time.Duration
		ProbeCount        int // answers that decide on a return
		SlowStart         time.Duration
	}

	// Sample is one answer or failure of a server. FirstToken counts from the
	// start on the server; the time in the agent's queue is no fault of the
	// server. Tokens is the uncached prompt that the first token had to wait for.
	// Failed covers errors and timeouts of the server, not refusals and not the
	// caller's faults.
	Sample struct {
		Server     netip.AddrPort
		Model      string
		FirstToken time.Duration
		Tokens     int
		Failed     bool
	}

	// Status is what is known of one server, for operators.
	Status struct {
		Server         netip.AddrPort
		Weight         float64
		Ejected        bool
		LatencyRatio   float64 `json:"Slow"`   // times its peers' latency
		ExcessFailures float64 `json:"Failed"` // share of lately failed requests
	}

	// Tracker compares servers with their peers. It is safe for concurrent
	// use.
	Tracker struct {
		mu        sync.Mutex
		settings  Settings
		clock     clockwork.Clock
		now       time.Time // never steps back
		evaluated time.Time
		models    map[string]*model
		servers   map[netip.AddrPort]*server
		weights   atomic.Pointer[map[netip.AddrPort]float64] // those that are not 1
	}

	// model is the peers that serve one model.
	model struct {
		members []netip.AddrPort
		latency float64 // median of the members'
		failed  float64
	}
)

const (
	// interval is how often servers are compared; failed samples bring it
	// forward, but not below rush, or an outage would cost a comparison for each
	// of its failures.
	interval = 500 * time.Millisecond
	rush     = 50 * time.Millisecond
)

// Defaults are the settings where none are given; the package comment says
// why.
var Defaults = Settings{
	MaxEjectedPercent: 30, MaxLatencyRatio: 5, MaxExcessFailures: 0.4, ConfirmationTime: 3 * time.Second,
	EjectionTime: 5 * time.Second, MaxEjectionTime: 2 * time.Minute, ProbeCount: 3, SlowStart: 10 * time.Second,
}

// New returns a tracker that knows no server.
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
	if !(s.MaxLatencyRatio > 1) { // also not a number
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

// SetServers names the live servers of a model. A server that is named for no
// model any more is forgotten; none at all forgets the model.
func (t *Tracker) SetServers(name string, servers []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tick()
	old := t.models[name]
	if old == nil {
		old = &model{}
	}
	if len(servers) == 0 {
		delete(t.models, name)
	} else {
		t.models[name] = &model{members: slices.Clone(servers), latency: old.latency, failed: old.failed}
	}
	for _, a := range servers {
		s := t.servers[a]
		if s == nil {
			s = &server{address: a, series: make(map[string]*series)}
			t.servers[a] = s
		}
		if s.series[name] == nil {
			s.series[name] = &series{}
		}
	}
	for _, a := range old.members {
		if s := t.servers[a]; s != nil && !slices.Contains(servers, a) {
			delete(s.series, name)
			if len(s.series) == 0 {
				delete(t.servers, a)
			}
		}
	}
	t.evaluate()
}

// Observe learns from one answer or failure. One of a server that is not named
// for the model is passed over.
func (t *Tracker) Observe(sample Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tick()
	m, s := t.models[sample.Model], t.servers[sample.Server]
	if m == nil || s == nil || s.series[sample.Model] == nil {
		return
	}
	s.series[sample.Model].add(sample)
	if s.state == probing {
		s.probe(sample, m, t.settings.MaxLatencyRatio)
	}
	due := interval
	if sample.Failed {
		due = rush
	}
	if t.now.Sub(t.evaluated) >= due {
		t.evaluate()
	}
}

// Tick lets time pass without a sample: an ejected server of a quiet fleet
// comes back.
func (t *Tracker) Tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tick()
	t.evaluate()
}

// Weight tells how far a server may be used: 0 not at all, 1 fully. A server
// that is not known is used fully.
func (t *Tracker) Weight(a netip.AddrPort) float64 {
	if w, ok := (*t.weights.Load())[a]; ok {
		return w
	}
	return 1
}

// Status lists the known servers, sorted by address.
func (t *Tracker) Status() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Status, 0, len(t.servers))
	for a, s := range t.servers {
		slow, failed := t.compare(s)
		out = append(out, Status{
			Server: a, Weight: t.Weight(a), Ejected: s.state == ejected, LatencyRatio: slow, ExcessFailures: failed,
		})
	}
	slices.SortFunc(out, func(a, b Status) int { return a.Server.Compare(b.Server) })
	return out
}

// tick takes over the time, which stands still while the clock steps back.
func (t *Tracker) tick() {
	if now := t.clock.Now(); now.After(t.now) {
		t.now = now
	}
}

// evaluate compares all servers and moves them between their states.
func (t *Tracker) evaluate() {
	t.evaluated = t.now
	for name, m := range t.models {
		t.measure(name, m)
	}
	var bad []*server
	for _, s := range t.servers {
		s.advance(t.now, t.settings)
		if s.inUse() && t.isBad(s) {
			bad = append(bad, s)
		}
	}
	slices.SortFunc(bad, func(a, b *server) int {
		return cmp.Or(cmp.Compare(b.badness, a.badness), a.address.Compare(b.address))
	})
	for _, s := range bad {
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

// measure takes the medians of a model's servers that are in use and have been
// seen enough. A mean would follow the one server that it is to find.
func (t *Tracker) measure(name string, m *model) {
	var latencies, failures []float64
	for _, a := range m.members {
		s := t.servers[a]
		if r := s.series[name]; s.inUse() && r.answers >= minSamples {
			latencies = append(latencies, r.latency)
		}
		if r := s.series[name]; s.inUse() && r.seen >= minSamples {
			failures = append(failures, r.failed)
		}
	}
	m.latency, m.failed = median(latencies), median(failures)
}

// median gives the lower of two middle values: of two servers, the slow one
// must not become its own measure.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// compare gives a server's latency in times of its peers' and its share of
// failures above theirs, the worst over its models.
func (t *Tracker) compare(s *server) (slow, failed float64) {
	for name, r := range s.series {
		m := t.models[name]
		if m == nil {
			continue
		}
		if r.answers >= minSamples && m.latency > 0 {
			slow = max(slow, r.latency/m.latency)
		}
		if r.seen >= minSamples {
			failed = max(failed, r.failed-m.failed)
		}
	}
	return slow, failed
}

// isBad tells whether a server has been worse than its peers for long enough.
func (t *Tracker) isBad(s *server) bool {
	slow, failed := t.compare(s)
	s.badness = max(slow/t.settings.MaxLatencyRatio, failed/t.settings.MaxExcessFailures)
	if s.badness < 1 {
		s.badSince = time.Time{}
		return false
	}
	if s.badSince.IsZero() {
		s.badSince = t.now
	}
	return failed >= t.settings.MaxExcessFailures || t.now.Sub(s.badSince) >= t.settings.ConfirmationTime
}

// mayEject keeps the servers that are out within their share of each model's
// set: what looks like many bad servers is more likely a bad request or too much
// load, and the rest would have to carry it all. One of two may go.
func (t *Tracker) mayEject(s *server) bool {
	for name := range s.series {
		m := t.models[name]
		if m == nil {
			continue
		}
		out := 0
		for _, a := range m.members {
			if !t.servers[a].inUse() {
				out++
			}
		}
		allowed := max(len(m.members)*t.settings.MaxEjectedPercent/100, min(1, len(m.members)-1))
		if out >= allowed {
			return false
		}
	}
	return true
}
