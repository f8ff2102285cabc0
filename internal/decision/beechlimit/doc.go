// Package beechlimit enforces each workspace's rate limits (requests and tokens
// per minute) and its concurrency limit across all entry hosts.
//
// # Why
//
// A workspace may send requests without pause through every entry host, while
// hosts join, crash, restart all at once or are partitioned from each other.
// Without limits, one workspace's fault (a loop in its application, a retry
// storm) fills every queue behind the entry hosts. The platform's service cannot
// be consulted for each request: it serves only a few thousand reads per second
// and has outages.
//
// # Algorithm
//
// Each host enforces its own share of every limit: the limit divided by the
// number of live entry hosts, which agents report in their heartbeats. Hosts do
// not communicate with each other. Requests and tokens are each metered by a
// token bucket that allows a short burst. Tokens are reserved by estimate and
// reconciled with the actual usage. A request may take more tokens than the
// bucket holds and leave it in debt, which later requests wait for; otherwise a
// large request could never be admitted.
//
// # Guarantees
//
// Let B be the burst as a fraction of a minute (0.083 for 5 s). Apart from the
// debt that one large request per host may leave, the total admitted in any
// minute, as a multiple of the limit, is at most (for Skew 1; a larger Skew
// multiplies it):
//
//   - steady state, or a host partitioned from all agents, which keeps its
//     share: 1 + B.
//   - a host joins and the others learn of it after d: 1 + B + (d/minute + B)/n.
//   - a host dies: 1 + B. Until GrowthDelay has passed, only (n-1)/n of the limit
//     is usable.
//   - the fleet is partitioned into g groups that all serve: g + B, approached by
//     at most doubling once per GrowthDelay.
//   - all hosts restart at once: 1 + 2B.
//
// The concurrency limit is divided and rounded down, but each host admits at
// least one request. A limit below the number of hosts can therefore be exceeded,
// up to that number.
//
// # Default settings
//
//   - Burst is 5 s: loading a page sends a handful of requests at once. A larger
//     burst would let a restart or a partition add a tenth of a minute's limit.
//   - GrowthDelay is 15 s: several times the silence after which a link counts as
//     lost, so that a host restart, which takes seconds, does not change the
//     shares. A share at most doubles per GrowthDelay, so a lasting partition
//     exceeds the limits slowly enough to be noticed.
//   - Skew is 1: the limits are exact. Operators whose load balancer pins a
//     workspace's few connections to few hosts may raise it, at most to the
//     number of hosts.
//
// # Invalid input
//
// Negative token counts are treated as zero and excessive ones are capped. Limits
// of zero or less mean unlimited. A request of an unknown workspace, or one larger
// than the whole token limit, is rejected without a retry time. If the clock steps
// back, time stands still until it has caught up. A host count below one leaves
// the shares unchanged.
//
// # Usage
//
//	l := beechlimit.New(beechlimit.Settings{}, clockwork.NewRealClock())
//	l.SetLimits(limits)  // on each configuration change
//	l.SetEntryHosts(n)   // on each heartbeat
//	switch d := l.Admit(workspace, tokens).(type) {
//	case beechlimit.Admitted:
//		defer d.Grant.Release(usage) // or Cancel, if the request provably did not run
//	case beechlimit.Rejected: // answer now: not run, retry after d.RetryAfter
//	}
package beechlimit
