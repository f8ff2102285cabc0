package beechroute

import (
	"cmp"
	"slices"
	"time"
)

const (
	// A handful of holders and homes is enough: with two choices queues even
	// out, and each candidate costs a tenth of a microsecond.
	maxCandidates    = 8
	holderCandidates = 5
	homeCandidates   = 3

	maxFound = 6 // levels of a prompt that are looked at

	// Where fewer candidates than this are left, probes look for others.
	minCandidates  = 3
	fallbackProbes = 64

	// homeTrust is the share of the history's tokens that the first home is
	// credited with if its agent announces nothing. Entry hosts that know
	// nothing of one another's choices then agree on the home, which may well
	// hold what another one sent there.
	homeTrust = 0.75

	// minWeight keeps the cost of a server in slow start finite.
	minWeight = 0.01
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
		weights    [maxCandidates]float64
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
	if f.count < minCandidates {
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
	if slices.Contains(f.candidates[:f.count], s) || slices.Contains(f.request.Avoid, s.Address) {
		return
	}
	weight := r.health.Weight(s.Address)
	if !(weight > 0) { // 0, negative or not a number
		return
	}
	f.weights[f.count] = max(minWeight, min(1, weight))
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

// addAny looks for servers from a random place on, where those that the prompt
// points to may not be used.
func (r *Router) addAny(f *search, g *ring) {
	start := r.random.IntN(len(g.servers))
	for i := range min(fallbackProbes, len(g.servers)) {
		if f.count >= minCandidates {
			return
		}
		r.add(f, g.servers[(start+i)%len(g.servers)])
	}
}

func (r *Router) rank(f *search) Choice {
	ranked := make([]Candidate, f.count)
	for i, s := range f.candidates[:f.count] {
		ranked[i] = r.predict(f, s, f.weights[i])
	}
	slices.SortStableFunc(ranked, func(a, b Candidate) int { return cmp.Compare(a.Cost, b.Cost) })
	return Choice{Ranked: ranked}
}

// predict is the cost of the request on a server, in seconds: time to first token,
// and what recomputation takes from others. A server in slow
// start counts as slower than it is.
func (r *Router) predict(f *search, s *server, weight float64) Candidate {
	uncached := max(0, f.request.PromptTokens-r.cached(f, s))
	prefill := float64(uncached) / float64(s.load.PrefillRate)
	wait := s.wait(f.now, r.output)
	if s.Zone != r.settings.Zone && !r.settings.lacks(MechanismZoneDistance) {
		wait += r.settings.ZoneDistance
	}
	first := wait + seconds(prefill)
	cost := first.Seconds()/weight + r.prefillWeight()*prefill
	if s == f.home && !s.announces && weight == 1 {
		cost -= (1 + r.prefillWeight()) * r.homeCredit(f, s)
	}
	return Candidate{Server: s.Address, FirstToken: first, Uncached: uncached, Cost: cost}
}

// cached is the number of prompt tokens that the server is known to have cached.
func (r *Router) cached(f *search, s *server) int {
	for _, l := range f.found[:f.levels] {
		if h := l.prefix.holder(s); h != nil && h.alive(f.now) {
			return l.tokens
		}
	}
	return 0
}

// homeCredit is the prefill time, in seconds, that a home whose agent announces
// nothing is credited with.
func (r *Router) homeCredit(f *search, s *server) float64 {
	level := f.request.Levels[homeLevel(f.request.Levels)]
	missing := max(0, min(level.Tokens, f.request.PromptTokens)-r.cached(f, s))
	return homeTrust * float64(missing) / float64(s.load.PrefillRate)
}
