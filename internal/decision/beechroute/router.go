package beechroute

import (
	"math/rand/v2"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	serverState struct {
		server Server
		load   Load
		sent   int64
	}

	// Router chooses servers for an entry host's requests. It is safe for
	// concurrent use.
	Router struct {
		settings Settings
		clock    clockwork.Clock
		random   *rand.Rand
		health   Health

		mutex   sync.Mutex
		servers map[netip.AddrPort]*serverState
		holders map[Key]map[netip.AddrPort]int
	}
)

// New is a router that knows no server yet. Random is used under the router's own
// lock and must not be shared.
func New(s Settings, clock clockwork.Clock, random *rand.Rand, health Health) *Router {
	return &Router{
		settings: s, clock: clock, random: random, health: health,
		servers: map[netip.AddrPort]*serverState{},
		holders: map[Key]map[netip.AddrPort]int{},
	}
}

// SetServers replaces the servers that may be chosen. What is known of one that
// stays with the same incarnation is kept.
func (r *Router) SetServers(servers []Server) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	next := map[netip.AddrPort]*serverState{}
	for _, s := range servers {
		state := &serverState{server: s}
		if old := r.servers[s.Address]; old != nil && old.server.Incarnation == s.Incarnation {
			state.load, state.sent = old.load, old.sent
		}
		next[s.Address] = state
	}
	r.servers = next
}

// Choose ranks servers for a request by predicted cost.
func (r *Router) Choose(q Request) Choice {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var choice Choice
	for address, s := range r.servers {
		if !s.serves(q.Model) || contains(q.Avoid, address) || r.health.Weight(address) <= 0 {
			continue
		}
		choice.Ranked = append(choice.Ranked, r.candidate(q, s))
	}
	sort.Slice(choice.Ranked, func(i, j int) bool { return choice.Ranked[i].Cost < choice.Ranked[j].Cost })
	return choice
}

func (r *Router) candidate(q Request, s *serverState) Candidate {
	cached := 0
	for _, l := range q.Levels {
		if _, ok := r.holders[l.Key][s.server.Address]; ok {
			cached = l.Tokens
		}
	}
	uncached := max(0, q.PromptTokens-cached)
	rate := max(1, s.load.PrefillRate)
	first := time.Duration(s.load.WaitingTokens+s.sent+int64(uncached)) * time.Second / time.Duration(rate)
	waste := r.settings.WasteWeight * float64(uncached) / float64(rate)
	return Candidate{Server: s.server.Address, FirstToken: first, Uncached: uncached, Cost: first.Seconds() + waste}
}

// Dispatched notes that a request was sent to a server, with the uncached tokens
// that Choose predicted for it.
func (r *Router) Dispatched(server netip.AddrPort, q Request, uncached int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if s := r.servers[server]; s != nil {
		s.sent += int64(max(0, uncached))
	}
	r.hold(server, q.Levels)
}

func (r *Router) hold(server netip.AddrPort, levels []Level) {
	for _, l := range levels {
		if r.holders[l.Key] == nil {
			r.holders[l.Key] = map[netip.AddrPort]int{}
		}
		r.holders[l.Key][server] = l.Tokens
	}
}

// Learn takes in what a reply said of its prompt's cached part.
func (r *Router) Learn(p Reply) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.hold(p.Server, p.Levels)
}

// Report takes in a server's load.
func (r *Router) Report(server netip.AddrPort, l Load) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if s := r.servers[server]; s != nil {
		s.load, s.sent = l, 0
	}
}

// Finished notes that a request sent to a server has ended there, whatever its
// outcome.
func (r *Router) Finished(netip.AddrPort) {}

// Refused notes that a server turned a request away, not run, and when it may be
// asked again.
func (r *Router) Refused(netip.AddrPort, time.Duration) {}

// Forget drops what is known of a server's cache, up to and including that
// incarnation.
func (r *Router) Forget(server netip.AddrPort, _ uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, h := range r.holders {
		delete(h, server)
	}
}

// Hot is the prefixes in demand, for entry hosts that restart.
func (r *Router) Hot() []HotPrefix { return nil }

// Restore takes in prefixes that another entry host knew to be in demand.
func (r *Router) Restore([]HotPrefix) {}

func (s *serverState) serves(model string) bool {
	for _, m := range s.server.Models {
		if m == model {
			return true
		}
	}
	return false
}

func contains(addresses []netip.AddrPort, address netip.AddrPort) bool {
	for _, a := range addresses {
		if a == address {
			return true
		}
	}
	return false
}
