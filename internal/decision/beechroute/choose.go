package beechroute

import (
	"slices"
	"time"
)

const (
	maxCandidates    = 12
	holderCandidates = 5
	homeCandidates   = 3
	randomCandidates = 2
	maxFound         = 6 // levels of a prompt that are looked at

	// fallbackProbes bounds the search where every candidate is ruled out.
	fallbackProbes = 64

	hotRate = 0.2 // requests a second
	maxHot  = 256
)

type (
	// found is a level of the request that is known here.
	found struct {
		prefix *prefix
		tokens int
	}

	// search is one decision under way. It lives on the stack.
	search struct {
		request    *Request
		now        time.Time
		found      [maxFound]found // deepest first
		levels     int
		candidates [maxCandidates]*server
		count      int
		home       *server
	}
)

// Choose ranks servers for a request by predicted cost. It is empty where no
// server that may be used serves the model.
func (r *Router) Choose(q Request) Choice {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	g := r.rings[q.Model]
	if g == nil {
		return Choice{}
	}
	f := search{request: &q, now: r.clock.Now()}
	r.find(&f)
	r.addHolders(&f)
	r.addHomes(&f, g)
	r.addRandom(&f, g)
	if f.count == 0 {
		r.addAny(&f, g)
	}
	return r.rank(&f)
}

// homeLevel is the index of the level whose key has the homes: the history, one
// below the common instruction. The last level is the caller's own question, so it
// is taken only where there is no other; -1 is none.
func homeLevel(levels []Level) int { return min(1, max(0, len(levels)-2), len(levels)-1) }

// find looks up the request's levels. Whoever uses a level uses all above it, so
// the known ones come first and the deepest is found by bisection.
func (r *Router) find(f *search) {
	if r.settings.lacks(MechanismHolders) {
		return
	}
	levels := f.request.Levels
	known, unknown := 0, len(levels)
	for known < unknown {
		middle := (known + unknown) / 2
		if r.prefixes.get(levels[middle].Key) != nil {
			known = middle + 1
		} else {
			unknown = middle
		}
	}
	for i := known - 1; i >= 0; i-- {
		if f.levels == maxFound-2 && i > 1 {
			i = 1
		}
		p := r.prefixes.get(levels[i].Key)
		if p != nil && f.levels < maxFound {
			f.found[f.levels] = found{prefix: p, tokens: max(0, levels[i].Tokens)}
			f.levels++
		}
	}
}

func (r *Router) add(f *search, s *server) {
	if f.count == maxCandidates || s.gone || !s.serves(f.request.Model) {
		return
	}
	if slices.Contains(f.candidates[:f.count], s) || contains(f.request.Avoid, s.Address) {
		return
	}
	if r.health.Weight(s.Address) <= 0 {
		return
	}
	f.candidates[f.count] = s
	f.count++
}

// addHolders adds holders of the deepest known levels, from a random one on, so
// that the many holders of a common level share its requests.
func (r *Router) addHolders(f *search) {
	for _, l := range f.found[:f.levels] {
		holders := l.prefix.holders
		if len(holders) == 0 {
			continue
		}
		start := r.random.IntN(len(holders))
		for i := range holders {
			if f.count >= holderCandidates {
				return
			}
			r.add(f, holders[(start+i)%len(holders)].server)
		}
	}
}

func (r *Router) addHomes(f *search, g *ring) {
	i := homeLevel(f.request.Levels)
	if r.settings.lacks(MechanismHomes) || i < 0 {
		return
	}
	key := f.request.Levels[i].Key
	f.home = g.home(key, 0)
	for rank := range homeCandidates {
		r.add(f, g.home(key, rank))
	}
}

func (r *Router) addRandom(f *search, g *ring) {
	if r.settings.lacks(MechanismRandom) {
		return
	}
	for range randomCandidates {
		r.add(f, g.servers[r.random.IntN(len(g.servers))])
	}
}

func (r *Router) addAny(f *search, g *ring) {
	start := r.random.IntN(len(g.servers))
	for i := range min(fallbackProbes, len(g.servers)) {
		r.add(f, g.servers[(start+i)%len(g.servers)])
	}
}

func (r *Router) rank(f *search) Choice {
	ranked := make([]Candidate, f.count)
	for i, s := range f.candidates[:f.count] {
		ranked[i] = r.predict(f, s)
	}
	slices.SortStableFunc(ranked, func(a, b Candidate) int {
		switch {
		case a.Cost < b.Cost:
			return -1
		case a.Cost > b.Cost:
			return 1
		}
		return 0
	})
	return Choice{Ranked: ranked}
}

// predict is the cost of the request on a server, in seconds: time to first token,
// and the deployment's weight on the part of it that recomputes.
func (r *Router) predict(f *search, s *server) Candidate {
	prompt := max(0, f.request.PromptTokens)
	uncached := max(0, prompt-r.cached(f, s))
	prefill := float64(uncached) / float64(s.load.PrefillRate)
	wait := s.wait(f.now, r.output, !r.settings.lacks(MechanismDrain))
	if s.Zone != r.settings.Zone && !r.settings.lacks(MechanismZones) {
		wait += r.settings.ZoneDistance
	}
	first := wait + seconds(prefill)
	weight := min(1, r.health.Weight(s.Address))
	cost := first.Seconds()/max(weight, minWeight) + r.settings.WasteWeight*prefill
	if s == f.home && !s.announces && r.cached(f, s) < f.request.Levels[homeLevel(f.request.Levels)].Tokens {
		cost -= HomeBias * prefill * (1 + r.settings.WasteWeight)
	}
	return Candidate{Server: s.Address, FirstToken: first, Uncached: uncached, Cost: cost}
}

// cached is the expected number of prompt tokens that the server has cached.
func (r *Router) cached(f *search, s *server) int {
	best := 0.0
	for _, l := range f.found[:f.levels] {
		h := l.prefix.holder(s)
		if h != nil && h.alive(f.now) {
			best = max(best, float64(l.tokens))
		}
	}
	return int(best)
}

// minWeight keeps a cost finite.
const minWeight = 0.01

var HomeBias = 1.0
