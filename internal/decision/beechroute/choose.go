package beechroute

import (
	"cmp"
	"slices"
	"time"
)

const (
	// A few holders and homes are enough: two choices already balance the queues,
	// and each candidate costs 0.1 us.
	maxCandidates    = 8
	holderCandidates = 5
	homeCandidates   = 3

	maxKnownLevels = 6 // known levels of a prompt that are considered

	// With fewer than minCandidates, up to fallbackProbes other servers are tried.
	minCandidates  = 3
	fallbackProbes = 64

	// homeCachedShare is the fraction of the history's tokens that the first home
	// is assumed to have cached if its agent announces nothing. Entry hosts that do
	// not know of one another's choices then agree on the home, which is likely to
	// hold what another one sent there.
	homeCachedShare = 0.75

	// minWeight keeps the cost of a server in slow start finite.
	minWeight = 0.01
)

type (
	// knownLevel is a level of the request whose prefix is in the table.
	knownLevel struct {
		prefix *prefix
		tokens int
	}

	// decision is the state of one routing decision. It is kept on the stack.
	decision struct {
		request        *Request
		now            time.Time
		known          [maxKnownLevels]knownLevel // longest prefix first
		knownCount     int
		candidates     [maxCandidates]*server
		weights        [maxCandidates]float64
		candidateCount int
		home           *server
	}
)

// Choose ranks servers for a request by predicted cost. The choice is empty if no
// usable server serves the model.
func (r *Router) Choose(q Request) Choice {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	g := r.rings[q.Model]
	if g == nil {
		return Choice{}
	}
	d := decision{request: &q, now: r.clock.Now()}
	r.findKnownLevels(&d)
	r.addHolders(&d)
	r.addHomes(&d, g)
	if d.candidateCount < minCandidates {
		r.addFallbacks(&d, g)
	}
	return r.rank(&d)
}

// homeLevel returns the index of the level whose key determines the homes, or -1 if
// there is none. It is the history, the level after the common instruction. The
// last level is the caller's own question and is used only if there is no other
// level.
func homeLevel(levels []Level) int { return min(1, max(0, len(levels)-2), len(levels)-1) }

// findKnownLevels looks up the request's levels in the table. A request that uses a
// level also uses all shorter ones, so the known levels come first and the longest
// of them is found by binary search.
func (r *Router) findKnownLevels(d *decision) {
	if r.settings.disables(MechanismHolders) {
		return
	}
	levels := d.request.Levels
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
		if d.knownCount == maxKnownLevels-2 && i > 1 {
			i = 1
		}
		p := r.prefixes.get(levels[i].Key)
		if p != nil && d.knownCount < maxKnownLevels {
			d.known[d.knownCount] = knownLevel{prefix: p, tokens: max(0, levels[i].Tokens)}
			d.knownCount++
		}
	}
}

// addCandidate adds a server unless it is unusable, does not serve the model, or is
// to be avoided.
func (r *Router) addCandidate(d *decision, s *server) {
	if d.candidateCount == maxCandidates || s.removed || !s.serves(d.request.Model) {
		return
	}
	if slices.Contains(d.candidates[:d.candidateCount], s) || slices.Contains(d.request.Avoid, s.Address) {
		return
	}
	weight := r.health.Weight(s.Address)
	if !(weight > 0) { // 0, negative or not a number
		return
	}
	d.weights[d.candidateCount] = max(minWeight, min(1, weight))
	d.candidates[d.candidateCount] = s
	d.candidateCount++
}

// addHolders adds holders of the longest known levels. It begins at a random holder
// of each level, so that the requests for a common level are shared by its many
// holders.
func (r *Router) addHolders(d *decision) {
	for _, l := range d.known[:d.knownCount] {
		holders := l.prefix.holders
		if len(holders) == 0 {
			continue
		}
		start := r.random.IntN(len(holders))
		for i := range holders {
			if d.candidateCount >= holderCandidates {
				return
			}
			r.addCandidate(d, holders[(start+i)%len(holders)].server)
		}
	}
}

// addHomes adds the homes of the request's history.
func (r *Router) addHomes(d *decision, g *ring) {
	i := homeLevel(d.request.Levels)
	if r.settings.disables(MechanismHomes) || i < 0 {
		return
	}
	key := d.request.Levels[i].Key
	d.home = g.home(key, 0)
	for rank := range homeCandidates {
		r.addCandidate(d, g.home(key, rank))
	}
}

// addFallbacks adds servers from a random position of the ring, for requests whose
// holders and homes may not be used.
func (r *Router) addFallbacks(d *decision, g *ring) {
	start := r.random.IntN(len(g.servers))
	for i := range min(fallbackProbes, len(g.servers)) {
		if d.candidateCount >= minCandidates {
			return
		}
		r.addCandidate(d, g.servers[(start+i)%len(g.servers)])
	}
}

// rank sorts the candidates by predicted cost.
func (r *Router) rank(d *decision) Choice {
	ranked := make([]Candidate, d.candidateCount)
	for i, s := range d.candidates[:d.candidateCount] {
		ranked[i] = r.predict(d, s, d.weights[i])
	}
	slices.SortStableFunc(ranked, func(a, b Candidate) int { return cmp.Compare(a.Cost, b.Cost) })
	return Choice{Ranked: ranked}
}

// predict returns the predicted cost of the request on a server, in seconds: the
// time to first token and the time that recomputation takes from other requests.
// The lower the weight of a server in slow start, the higher is its cost.
func (r *Router) predict(d *decision, s *server, weight float64) Candidate {
	uncached := max(0, d.request.PromptTokens-r.cachedTokens(d, s))
	prefill := float64(uncached) / float64(s.load.PrefillRate)
	wait := s.wait(d.now, r.meanOutput)
	if s.Zone != r.settings.Zone && !r.settings.disables(MechanismZoneDistance) {
		wait += r.settings.ZoneDistance
	}
	first := wait + seconds(prefill)
	cost := first.Seconds()/weight + r.prefillWeight()*prefill
	if s == d.home && !s.announcesCache && weight == 1 {
		cost -= (1 + r.prefillWeight()) * r.homeCredit(d, s)
	}
	return Candidate{Server: s.Address, FirstToken: first, Uncached: uncached, Cost: cost}
}

// cachedTokens returns how many prompt tokens the server is expected to have
// cached.
func (r *Router) cachedTokens(d *decision, s *server) int {
	for _, l := range d.known[:d.knownCount] {
		if h := l.prefix.holder(s); h != nil && h.expectedCached(d.now) {
			return l.tokens
		}
	}
	return 0
}

// homeCredit returns the prefill time, in seconds, that the first home is assumed
// to save if its agent announces nothing.
func (r *Router) homeCredit(d *decision, s *server) float64 {
	level := d.request.Levels[homeLevel(d.request.Levels)]
	missing := max(0, min(level.Tokens, d.request.PromptTokens)-r.cachedTokens(d, s))
	return homeCachedShare * float64(missing) / float64(s.load.PrefillRate)
}
