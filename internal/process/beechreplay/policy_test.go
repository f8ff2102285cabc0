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
		name     string
		kind     policyKind
		disabled beechroute.Mechanism

		loadFactor       float64       // maximum load of an engine chosen by hash, relative to the mean
		announceInterval time.Duration // between announcements, if longer than changesInterval
		lossRate         float64       // share of announcements that are lost
		overrideWeight   bool          // use wasteWeight instead of the deployment's
		wasteWeight      float64
	}

	ringPoint struct {
		hash   uint64
		engine int
	}

	// entry is an entry host: its knowledge of the fleet, and its choice of engines.
	entry struct {
		r        *replay
		zone     int
		random   *rand.Rand
		router   *beechroute.Router
		requests []int // by engine: those in the last report and the entry's own since
		ring     []ringPoint
	}

	allHealthy struct{}
)

const (
	model = "advisor@7"

	random policyKind = iota
	leastLoaded
	twoChoices
	boundedHash
	affinity
	routed
	oracle

	ringPointsPerEngine = 64
	historyLevel        = 1
)

func (allHealthy) Weight(netip.AddrPort) float64 { return 1 }

func newEntry(r *replay, zone int, random *rand.Rand) *entry {
	n := &entry{r: r, zone: zone, random: random, requests: make([]int, r.deployment.engines)}
	settings := beechroute.Settings{Zone: zoneName(zone), WasteWeight: r.deployment.wasteWeight, Disabled: r.policy.disabled}
	if r.policy.overrideWeight {
		settings.WasteWeight = r.policy.wasteWeight
	}
	n.router = beechroute.New(settings, r.clock, random, allHealthy{})
	var servers []beechroute.Server
	ringRandom := rand.New(rand.NewPCG(1, 2))
	for i := range r.deployment.engines {
		servers = append(servers, beechroute.Server{
			Address: address(i), Zone: zoneName(zoneOf(i, r.deployment)), Incarnation: 1, Models: []string{model},
		})
		for range ringPointsPerEngine {
			n.ring = append(n.ring, ringPoint{hash: ringRandom.Uint64(), engine: i})
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
	n.requests[engine]++
	return engine
}

func (n *entry) pick(q *request) int {
	engines := len(n.requests)
	switch n.r.policy.kind {
	case leastLoaded:
		return n.chooseLeastLoaded(n.random.Perm(engines))
	case twoChoices:
		return n.chooseLeastLoaded([]int{n.random.IntN(engines), n.random.IntN(engines)})
	case boundedHash:
		return n.chooseByHash(q, n.r.policy.loadFactor)
	case affinity:
		return n.chooseByHash(q, float64(engines)*2)
	case routed:
		return n.chooseByRouter(q)
	case oracle:
		return n.chooseOracle(q)
	}
	return n.random.IntN(engines)
}

func (n *entry) chooseLeastLoaded(engines []int) int {
	return slices.MinFunc(engines, func(a, b int) int { return cmp.Compare(n.requests[a], n.requests[b]) })
}

// chooseByHash walks the hash ring from the position of the request's history to the first
// engine whose load is within the bound.
func (n *entry) chooseByHash(q *request, factor float64) int {
	total := 1
	for _, k := range n.requests {
		total += k
	}
	bound := factor * float64(total) / float64(len(n.requests))
	var hash uint64
	for _, b := range q.levels[historyLevel].Key[:8] {
		hash = hash<<8 | uint64(b)
	}
	start, _ := slices.BinarySearchFunc(n.ring, hash, func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
	for i := range n.ring {
		p := n.ring[(start+i)%len(n.ring)]
		if float64(n.requests[p.engine]) <= bound {
			return p.engine
		}
	}
	return n.ring[start%len(n.ring)].engine
}

func (n *entry) chooseByRouter(q *request) int {
	asked := beechroute.Request{Model: model, Levels: q.levels, PromptTokens: q.prompt, OutputTokens: q.output}
	best := n.router.Choose(asked).Ranked[0]
	n.router.RecordDispatch(best.Server, asked, best.Uncached)
	return engineAt(best.Server)
}

// chooseOracle chooses with full knowledge: the current contents of all caches, what is
// about to be cached, and the current queues.
func (n *entry) chooseOracle(q *request) int {
	best, least := 0, time.Duration(1<<62)
	for i, e := range n.r.engines {
		prefill := prefillTime(q.prompt - e.expectedCached(q))
		cost := prefillTime(e.waitingTokens(n.r.now)) + prefill
		if state := e.queue.State(); state.Running+state.Waiting >= slots {
			cost += tokenTime * time.Duration(n.r.deployment.outputMean)
		}
		cost += time.Duration((8 + n.r.deployment.wasteWeight) * float64(prefill))
		if zoneOf(i, n.r.deployment) != n.zone {
			cost += crossZoneRoundTrip
		}
		if cost < least {
			best, least = i, cost
		}
	}
	return best
}

func (n *entry) recordFinish(j *job) {
	if n.r.policy.kind != routed {
		return
	}
	server := address(j.engine)
	n.router.RecordFinish(server)
	n.router.RecordReply(beechroute.Reply{
		Server: server, Incarnation: 1, Model: model, Levels: j.request.levels,
		PromptTokens: j.request.prompt, CachedTokens: j.cached, FirstToken: j.timeToFirstToken,
	})
}

func (n *entry) applyHeartbeats(heartbeats []heartbeat) {
	for i, h := range heartbeats {
		if n.r.policy.kind == routed && !(n.random.Float64() < n.r.policy.lossRate) {
			n.router.ApplyCacheChanges(address(i), 1, beechroute.CacheChanges{List: h.changes})
		}
		if h.load == nil {
			continue
		}
		n.requests[i] = h.load.Running + h.load.Waiting
		if n.r.policy.kind == routed {
			n.router.UpdateLoad(address(i), *h.load)
		}
	}
}
