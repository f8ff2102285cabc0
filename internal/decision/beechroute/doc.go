// Package beechroute chooses the backend server for a request by predicted cost.
//
// # Load conditions
//
// The router is designed for prompts of thousands of tokens that share long
// prefixes, a few of them very hot, on engines whose caches keep a prefix for
// seconds. Recomputing a prefix takes an engine as long as about a dozen cache hits.
//
// If requests always go to the least loaded server, most prompts miss the cache.
// Recomputation then overloads a fleet that could carry the load: first tokens take
// a minute at a load that should leave engines idle 40% of the time. If requests with
// the same prefix always go to the same server, they hit the cache, but the server of
// a hot prefix keeps its callers waiting while others idle.
//
// # Cost
//
// Each choice therefore weighs both. The cost of a request on a server, in seconds, is
//
//	wait + prefill + zone distance + (8 + WasteWeight) * prefill
//
// where wait is the time until its prefill starts, and prefill the time to compute the
// prompt tokens that are not cached. The last term is the time that recomputation takes
// from other requests. Without it the choice is greedy, and the fleet gets into the
// overload described above once queues grow. WasteWeight is set per deployment. With a
// total weight below 8 both hit rate and tail latency get worse; above about 32 the
// callers of a hot prefix wait longer until it is copied to a second server.
//
// # Candidates
//
// The number of candidates does not depend on the size of the fleet: up to five known
// holders of the prompt's longest prefixes, and three homes, which are the positions of
// the history's key on a consistent hash ring. A history that no server holds goes to
// the cheapest home. Holders are known from own dispatches, from replies, and from
// the agents' announcements of their caches. Announcements matter most: without them
// each entry host creates copies of its own, and the 99th percentile of the time to first
// token is two to five times as long.
//
// Hot prefixes need no special rule. When the queues of its holders cost more than one
// more prefill, the cheapest candidate is a server without the prefix, which then becomes
// a holder as well. When demand falls, the number of copies falls too, since the engines
// evict unused prefixes. As prefill is weighted several times, copies are created one at
// a time and not everywhere at once.
//
// Load reports lag. The router adds its own dispatches within the lag to each report;
// otherwise all requests would go to the server that looked idle in the last one.
//
// The table of prefixes refers to one incarnation of a server. If a server crashes,
// leaves, or is passed to ForgetCache, it no longer counts as a holder.
//
// # Usage
//
//	router := beechroute.New(settings, clockwork.NewRealClock(), random, health)
//	router.SetServers(servers)
//	choice := router.Choose(request)
//	best := choice.Ranked[0]
//	router.RecordDispatch(best.Server, request, best.Uncached)
//
// Call RecordFinish once per RecordDispatch, after RecordRefusal if the server refused
// the request. RecordReply records the server of an answered request as a holder.
// UpdateLoad and ApplyCacheChanges take an agent's heartbeat: its load, and what its
// engine has cached and evicted. HotPrefixes and RestorePrefixes pass prefixes in demand
// to entry hosts that restart; call SetServers before RestorePrefixes.
package beechroute
