package beechroute

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	defaultZoneDistance = 2 * time.Millisecond
	defaultReportLag    = 100 * time.Millisecond

	meanStep = 0.02 // share of one observation that a running mean takes in

	typicalOutput = 100 // tokens, until requests have told
)

// Router chooses servers for an entry host's requests. It is safe for concurrent
// use.
type Router struct {
	settings Settings
	clock    clockwork.Clock
	random   *rand.Rand
	health   Health

	setting  sync.Mutex // held by SetServers, before mutex
	mutex    sync.Mutex
	servers  map[netip.AddrPort]*server
	rings    map[string]*ring
	prefixes *table
	output   float64 // mean output tokens of a request
}

// New is a router that knows no server yet. Random is used under the router's own
// lock and must not be shared.
func New(s Settings, clock clockwork.Clock, random *rand.Rand, health Health) *Router {
	if s.ZoneDistance <= 0 {
		s.ZoneDistance = defaultZoneDistance
	}
	if s.ReportLag <= 0 {
		s.ReportLag = defaultReportLag
	}
	s.WasteWeight = max(0, s.WasteWeight)
	return &Router{
		settings: s,
		clock:    clock,
		random:   random,
		health:   health,
		servers:  map[netip.AddrPort]*server{},
		rings:    map[string]*ring{},
		prefixes: newTable(s.MaxBytes),
		output:   typicalOutput,
	}
}

func (s Settings) lacks(m Mechanism) bool { return s.Disabled&m != 0 }

// SetServers replaces the servers that may be chosen. What is known of one that
// stays with the same incarnation is kept. The hash rings of a large fleet take
// some ten milliseconds to build, so that is done without holding up choices.
func (r *Router) SetServers(servers []Server) {
	r.setting.Lock()
	defer r.setting.Unlock()
	next := make(map[netip.AddrPort]*server, len(servers))
	latest := make(map[netip.AddrPort]Server, len(servers))
	for _, s := range servers {
		s.Models = slices.Clone(s.Models)
		latest[s.Address] = s
		next[s.Address] = r.keep(s)
	}
	rings := r.ringsOf(latest, next)

	r.mutex.Lock()
	defer r.mutex.Unlock()
	for address, s := range next {
		s.Server = latest[address]
	}
	for address, s := range r.servers {
		if next[address] != s {
			s.gone = true
		}
	}
	r.servers = next
	r.rings = rings
}

func (r *Router) keep(s Server) *server {
	old := r.servers[s.Address]
	if old == nil || old.Incarnation != s.Incarnation {
		return newServer(s)
	}
	return old
}

// ringsOf makes the rings anew for models whose servers have changed.
func (r *Router) ringsOf(latest map[netip.AddrPort]Server, next map[netip.AddrPort]*server) map[string]*ring {
	members := map[string][]*server{}
	for address, s := range latest {
		for _, model := range s.Models {
			members[model] = append(members[model], next[address])
		}
	}
	rings := make(map[string]*ring, len(members))
	for model, servers := range members {
		slices.SortFunc(servers, func(a, b *server) int { return a.Address.Compare(b.Address) })
		servers = slices.Compact(servers)
		if old := r.rings[model]; old != nil && slices.Equal(old.servers, servers) {
			rings[model] = old
			continue
		}
		rings[model] = newRing(servers)
	}
	return rings
}

// RecordDispatch notes that a request was sent to a server, with the uncached tokens
// that Choose predicted for it.
func (r *Router) RecordDispatch(address netip.AddrPort, q Request, uncached int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.servers[address]
	if s == nil {
		return
	}
	now := r.clock.Now()
	uncached = max(0, uncached)
	s.inFlight++
	if !r.settings.lacks(MechanismOwnDispatches) {
		s.work.add(float64(uncached), now, r.settings.ReportLag)
	}
	if q.OutputTokens > 0 {
		r.output += meanStep * (float64(q.OutputTokens) - r.output)
	}
	for _, l := range slices.Backward(q.Levels) {
		r.prefixes.hold(l, s, now).demandOne(now)
	}
}

// RecordReply takes in what a reply said of its prompt's cached part. A reply of an
// incarnation that is not the server's present one is dropped.
func (r *Router) RecordReply(p Reply) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.servers[p.Server]
	if s == nil || s.Incarnation != p.Incarnation {
		return
	}
	now := r.clock.Now()
	for _, l := range slices.Backward(p.Levels) {
		r.prefixes.hold(l, s, now)
	}
}

// ApplyCacheChanges takes in what a server's agent says has come into the engine's cache or
// queue, or gone from the cache, for this entry host's requests and others'.
// Without it each entry host would have to find out by itself where a prefix
// went, and would make a copy of its own. False says that the server is not known in
// that incarnation, now or any more, and that nothing was taken in.
func (r *Router) ApplyCacheChanges(address netip.AddrPort, incarnation uint64, changes CacheChanges) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.servers[address]
	if s == nil || s.Incarnation != incarnation || r.settings.lacks(MechanismAnnouncements) {
		return false
	}
	s.announces = true
	if changes.Complete {
		s.epoch++
	}
	now := r.clock.Now()
	for _, c := range changes.List {
		if c.Held {
			r.prefixes.hold(Level{Key: c.Key, Tokens: c.Tokens}, s, now)
			continue
		}
		if p := r.prefixes.get(c.Key); p != nil {
			p.release(s)
		}
	}
	return true
}

// UpdateLoad takes in a server's load.
func (r *Router) UpdateLoad(address netip.AddrPort, l Load) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if s := r.servers[address]; s != nil {
		s.report(l, r.clock.Now(), r.settings.ReportLag)
	}
}

// RecordFinish notes that a request sent to a server has ended there, whatever its
// outcome, also a refusal. Each RecordDispatch has one RecordFinish.
func (r *Router) RecordFinish(address netip.AddrPort) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if s := r.servers[address]; s != nil {
		s.inFlight = max(0, s.inFlight-1)
	}
}

// RecordRefusal notes that a server turned a request away, not run, and when it may be
// asked again. RecordFinish follows it.
func (r *Router) RecordRefusal(address netip.AddrPort, after time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.servers[address]
	if s == nil {
		return
	}
	s.notBefore = r.clock.Now().Add(max(0, after))
}

// ForgetCache drops what is known of a server's cache if its incarnation is that one
// or an older one.
func (r *Router) ForgetCache(address netip.AddrPort, incarnation uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.servers[address]
	if s == nil || s.Incarnation > incarnation {
		return
	}
	s.epoch++
}
