// Package beechroute chooses the backend server for a request by predicted cost.
//
// The load it answers: prompts of thousands of tokens that share long prefixes,
// a few of them very hot, on engines whose caches hold a prefix for seconds.
// Recomputing a missed prefix takes an engine as long as a dozen hits. Sent to the
// least loaded server, most prompts miss, and the recomputation makes a fleet that
// could carry the load overload itself: first tokens that take a minute at a load
// that should leave engines idle two fifths of the time. Sent always to the same server,
// prompts hit, and the server of a hot prefix keeps its callers waiting while
// others idle.
//
// So each choice weighs both. The cost of a request on a server, in seconds, is
//
//	wait + prefill of what is not cached + zone distance + (8 + WasteWeight) * that prefill
//
// where wait is the prefill work ahead of the request. The last term is the time
// that recomputation takes from others; without it the choice is greedy and the fleet
// falls into the state above once queues grow. WasteWeight is the deployment's own.
// With less in all, hit rate and tail fall together; with more than some 32, callers of a
// hot prefix wait longer for its second copy.
//
// Candidates are few whatever the size of the fleet: up to five known holders of the
// prompt's deepest levels, and three homes, the places of the history's key on a hash
// ring, where a history that nobody holds goes to the least busy. Holders come from
// own dispatches, from replies, and from what agents announce. Announcements count
// most: without them each entry host makes copies of its own, and first tokens at
// the 99th percentile take two to five times as long.
//
// A hot prefix needs no rule of its own. When the queue before its holders costs more
// than one more prefill, the cheapest candidate is a server without it, which then is
// a holder as well. Its copies fall back to fewer when the demand does, since the
// engines evict those that are not used. The prefill weighs several times its time, so that
// copies are made one at a time and not everywhere at once.
//
// Load reports lag. What was dispatched within the lag is added to each, or a
// herd would follow the report to the server that looked idle in it.
//
// Entries of the table belong to one incarnation of a server. One that crashed, left
// or was told to be forgotten holds nothing any more.
//
// # Usage
//
//	router := beechroute.New(settings, clockwork.NewRealClock(), random, health)
//	router.SetServers(servers)
//	choice := router.Choose(request)
//	best := choice.Ranked[0]
//	router.RecordDispatch(best.Server, request, best.Uncached)
//
// Each RecordDispatch is followed by one RecordFinish, after RecordRefusal where the server turned
// the request away. RecordReply takes in a reply; UpdateLoad and ApplyCacheChanges take in an agent's
// heartbeat: its load, and what has come into its engine's cache and gone. HotPrefixes and
// RestorePrefixes carry prefixes in demand to entry hosts that restart; servers are set
// before RestorePrefixes.
package beechroute
