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

	outputMeanStep = 0.02 // weight of one sample in the moving average of output tokens

	initialMeanOutput = 100 // tokens, before any request was dispatched
)

// Router chooses servers for the requests of an entry host. It is safe for
// concurrent use.
type Router struct {
	settings Settings
	clock    clockwork.Clock
	random   *rand.Rand
	health   Health

	updating   sync.Mutex // serializes SetServers; locked before mutex
	mutex      sync.Mutex
	servers    map[netip.AddrPort]*server
	rings      map[string]*ring
	prefixes   *table
	meanOutput float64 // output tokens per request
}

// New returns a router without servers. It uses random under its own lock, so
// random must not be shared.
func New(s Settings, clock clockwork.Clock, random *rand.Rand, health Health) *Router {
	if s.ZoneDistance <= 0 {
		s.ZoneDistance = defaultZoneDistance
	}
	if s.ReportLag <= 0 {
		s.ReportLag = defaultReportLag
	}
	s.WasteWeight = max(0, s.WasteWeight)
	return &Router{
		settings:   s,
		clock:      clock,
		random:     random,
		health:     health,
		servers:    map[netip.AddrPort]*server{},
		rings:      map[string]*ring{},
		prefixes:   newTable(s.MaxBytes),
		meanOutput: initialMeanOutput,
	}
}

func (s Settings) disables(m Mechanism) bool { return s.Disabled&m != 0 }

// SetServers replaces the set of servers. The state of a server is kept if its
// incarnation is unchanged. Building the hash rings of a large fleet takes about
// 10 ms, so it is done without blocking Choose.
func (r *Router) SetServers(servers []Server) {
	r.updating.Lock()
	defer r.updating.Unlock()
	states := make(map[netip.AddrPort]*server, len(servers))
	latest := make(map[netip.AddrPort]Server, len(servers))
	for _, s := range servers {
		s.Models = slices.Clone(s.Models)
		latest[s.Address] = s
		states[s.Address] = r.serverState(s)
	}
	rings := r.buildRings(latest, states)

	r.mutex.Lock()
	defer r.mutex.Unlock()
	for address, s := range states {
		s.Server = latest[address]
	}
	for address, s := range r.servers {
		if states[address] != s {
			s.removed = true
		}
	}
	r.servers = states
	r.rings = rings
}

// serverState returns the existing state of a server, or a new one if the server is
// new or has a new incarnation.
func (r *Router) serverState(s Server) *server {
	old := r.servers[s.Address]
	if old == nil || old.Incarnation != s.Incarnation {
		return newServer(s)
	}
	return old
}

// buildRings returns the ring of each model. Rings with unchanged servers are
// reused.
func (r *Router) buildRings(latest map[netip.AddrPort]Server, states map[netip.AddrPort]*server) map[string]*ring {
	members := map[string][]*server{}
	for address, s := range latest {
		for _, model := range s.Models {
			members[model] = append(members[model], states[address])
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

// RecordDispatch records that a request was sent to a server, with the uncached
// tokens that Choose predicted.
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
	if !r.settings.disables(MechanismOwnDispatches) {
		s.prefillBacklog.add(float64(uncached), now, r.settings.ReportLag)
	}
	if q.OutputTokens > 0 {
		r.meanOutput += outputMeanStep * (float64(q.OutputTokens) - r.meanOutput)
	}
	for _, l := range slices.Backward(q.Levels) {
		r.prefixes.addHolder(l, s, now).countRequest(now)
	}
}

// RecordReply records that the server of a reply holds the request's prefixes. A
// reply of another incarnation of the server is ignored.
func (r *Router) RecordReply(p Reply) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.servers[p.Server]
	if s == nil || s.Incarnation != p.Incarnation {
		return
	}
	now := r.clock.Now()
	for _, l := range slices.Backward(p.Levels) {
		r.prefixes.addHolder(l, s, now)
	}
}

// ApplyCacheChanges applies an agent's announcement of prefixes that its engine has
// cached, queued or evicted, for the requests of all entry hosts. Without
// announcements each entry host would have to discover by itself where a prefix is
// cached, and would create a copy of its own. It returns false, without applying
// anything, if the server is not known in that incarnation or
// MechanismAnnouncements is disabled.
func (r *Router) ApplyCacheChanges(address netip.AddrPort, incarnation uint64, changes CacheChanges) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.servers[address]
	if s == nil || s.Incarnation != incarnation || r.settings.disables(MechanismAnnouncements) {
		return false
	}
	s.announcesCache = true
	if changes.Complete {
		s.cacheEpoch++
	}
	now := r.clock.Now()
	for _, c := range changes.List {
		if c.Held {
			r.prefixes.addHolder(Level{Key: c.Key, Tokens: c.Tokens}, s, now)
			continue
		}
		if p := r.prefixes.get(c.Key); p != nil {
			p.removeHolder(s)
		}
	}
	return true
}

// UpdateLoad replaces a server's reported load.
func (r *Router) UpdateLoad(address netip.AddrPort, l Load) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if s := r.servers[address]; s != nil {
		s.updateLoad(l, r.clock.Now(), r.settings.ReportLag)
	}
}

// RecordFinish records the end of a dispatched request, whatever its outcome,
// including a refusal. Call it once per RecordDispatch.
func (r *Router) RecordFinish(address netip.AddrPort) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if s := r.servers[address]; s != nil {
		s.inFlight = max(0, s.inFlight-1)
	}
}

// RecordRefusal records that a server refused a request without running it, and
// after which time it may be tried again. RecordFinish must follow.
func (r *Router) RecordRefusal(address netip.AddrPort, after time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.servers[address]
	if s == nil {
		return
	}
	s.retryAt = r.clock.Now().Add(max(0, after))
}

// ForgetCache discards what is known of a server's cache, unless the server has a
// newer incarnation than the given one.
func (r *Router) ForgetCache(address netip.AddrPort, incarnation uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.servers[address]
	if s == nil || s.Incarnation > incarnation {
		return
	}
	s.cacheEpoch++
}
