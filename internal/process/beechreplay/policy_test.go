package beechreplay

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/beechring/beechring/internal/decision/beechroute"
)

type (
	policyKind int

	policy struct {
		name    string
		kind    policyKind
		without beechroute.Mechanism

		factor    float64       // of the mean load, that bounds a hashed engine's
		tellEvery time.Duration // between announcements, if longer than usual
		lost      float64       // share of announcements
		weighted  bool          // by weight, in place of the deployment's
		weight    float64
	}

	ringPoint struct {
		hash   uint64
		engine int
	}

	// entry is one entry host: what it knows, and its way to choose.
	entry struct {
		r      *replay
		zone   int
		random *rand.Rand
		router *beechroute.Router
		known  []int // requests on an engine by the last report, and own ones since
		ring   []ringPoint
	}

	fullHealth struct{}
)

const (
	model = "advisor@7"

	random policyKind = iota
	leastLoaded
	twoChoices
	boundedHash
	affinity
	ours
	oracle

	pointsEach = 64
	historyAt  = 1
)

func (fullHealth) Weight(netip.AddrPort) float64 { return 1 }

func newEntry(r *replay, zone int, random *rand.Rand) *entry {
	n := &entry{r: r, zone: zone, random: random, known: make([]int, r.deployment.engines)}
	settings := beechroute.Settings{Zone: zoneName(zone), WasteWeight: r.deployment.wasteWeight, Disabled: r.policy.without}
	if r.policy.weighted {
		settings.WasteWeight = r.policy.weight
	}
	n.router = beechroute.New(settings, r.clock, random, fullHealth{})
	var servers []beechroute.Server
	places := rand.New(rand.NewPCG(1, 2))
	for i := range r.deployment.engines {
		servers = append(servers, beechroute.Server{
			Address: address(i), Zone: zoneName(zoneOf(i, r.deployment)), Incarnation: 1, Models: []string{model},
		})
		for range pointsEach {
			n.ring = append(n.ring, ringPoint{hash: places.Uint64(), engine: i})
		}
	}
	slices.SortFunc(n.ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	n.router.SetServers(servers)
	return n
}

func zoneName(zone int) string { return string(rune('a' + zone)) }

func address(engine int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(engine >> 8), byte(engine)}), 7000)
}

func engineAt(a netip.AddrPort) int {
	bytes := a.Addr().As4()
	return int(bytes[2])<<8 | int(bytes[3])
}

func (n *entry) choose(q *request) int {
	engine := n.pick(q)
	n.known[engine]++
	return engine
}

func (n *entry) pick(q *request) int {
	engines := len(n.known)
	switch n.r.policy.kind {
	case leastLoaded:
		return n.least(n.random.Perm(engines))
	case twoChoices:
		return n.least([]int{n.random.IntN(engines), n.random.IntN(engines)})
	case boundedHash:
		return n.hashed(q, n.r.policy.factor)
	case affinity:
		return n.hashed(q, float64(engines)*2)
	case ours:
		return n.route(q)
	case oracle:
		return n.foresee(q)
	}
	return n.random.IntN(engines)
}

func (n *entry) least(engines []int) int {
	return slices.MinFunc(engines, func(a, b int) int { return cmp.Compare(n.known[a], n.known[b]) })
}

// hashed walks the ring from the history's place to the first engine within the
// bound on its load.
func (n *entry) hashed(q *request, factor float64) int {
	total := 1
	for _, k := range n.known {
		total += k
	}
	bound := factor * float64(total) / float64(len(n.known))
	var hash uint64
	for _, b := range q.levels[historyAt].Key[:8] {
		hash = hash<<8 | uint64(b)
	}
	start, _ := slices.BinarySearchFunc(n.ring, hash, func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
	for i := range n.ring {
		p := n.ring[(start+i)%len(n.ring)]
		if float64(n.known[p.engine]) <= bound {
			return p.engine
		}
	}
	return n.ring[start%len(n.ring)].engine
}

func (n *entry) route(q *request) int {
	asked := beechroute.Request{Model: model, Levels: q.levels, PromptTokens: q.prompt, OutputTokens: q.output}
	best := n.router.Choose(asked).Ranked[0]
	n.router.RecordDispatch(best.Server, asked, best.Uncached)
	return engineAt(best.Server)
}

// foresee sees every cache, what is about to be cached, and every queue as it is.
func (n *entry) foresee(q *request) int {
	best, least := 0, time.Duration(1<<62)
	for i, e := range n.r.engines {
		prefill := prefillTime(q.prompt - e.expected(q))
		cost := prefillTime(e.waitingTokens(n.r.now)) + prefill
		if state := e.queue.State(); state.Running+state.Waiting >= slots {
			cost += tokenTime * time.Duration(n.r.deployment.outputMean)
		}
		cost += time.Duration((8 + n.r.deployment.wasteWeight) * float64(prefill))
		if zoneOf(i, n.r.deployment) != n.zone {
			cost += zoneDistance
		}
		if cost < least {
			best, least = i, cost
		}
	}
	return best
}

func (n *entry) learn(j *job) {
	if n.r.policy.kind != ours {
		return
	}
	server := address(j.engine)
	n.router.RecordFinish(server)
	n.router.RecordReply(beechroute.Reply{
		Server: server, Incarnation: 1, Model: model, Levels: j.request.levels,
		PromptTokens: j.request.prompt, CachedTokens: j.cached, FirstToken: j.first,
	})
}

func (n *entry) hear(heartbeats []heartbeat) {
	for i, h := range heartbeats {
		if n.r.policy.kind == ours && !(n.random.Float64() < n.r.policy.lost) {
			n.router.ApplyCacheChanges(address(i), 1, beechroute.CacheChanges{List: h.changes})
		}
		if h.load == nil {
			continue
		}
		n.known[i] = h.load.Running + h.load.Waiting
		if n.r.policy.kind == ours {
			n.router.UpdateLoad(address(i), *h.load)
		}
	}
}
