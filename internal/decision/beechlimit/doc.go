// Package beechlimit holds each workspace to its limits: requests and tokens a
// minute, and requests at once, over all entry hosts together.
//
// # Load it answers
//
// A workspace that sends without end, through all entry hosts at once, while
// hosts join, die, restart in herds or are cut off from each other. Without it
// one workspace's fault (a loop in its application, a retry storm) fills every
// queue behind the entries. The platform's service can't be asked for each
// request: it takes a few thousand reads a second and has outages.
//
// # How it decides
//
// Every host admits its part of each limit: the limit divided by the number of
// live hosts, which agents tell on their heartbeats. No host asks another.
// Requests and tokens flow into a bucket that holds a short burst. Tokens are
// reserved by estimate and corrected by usage; a request that takes more than there
// is leaves a debt that later ones wait for, as it could never go on otherwise.
//
// # What is bounded
//
// With B the burst's part of a minute (0.083 for 5 s), and not counting the
// debt that one large request a host may leave, in any minute at most this part of
// a limit is admitted (Skew 1; a larger one multiplies it):
//
//   - steady, or a host that is cut off from all agents: 1 + B. It keeps its share.
//   - a host joins and the others hear of it after d: 1 + B + (d/minute + B)/n.
//   - a host dies: 1 + B. Until Settle has passed, only (n-1)/n is usable.
//   - the fleet is cut into g parts that each serve: g + B, reached no sooner than
//     by doubling once each Settle.
//   - all restart at once: 1 + 2B.
//
// Concurrency is rounded down, but each host admits one: a limit below the
// number of hosts is exceeded up to that number.
//
// # Thresholds
//
// Burst, 5 s: a page that loads sends a handful of requests at once; more than
// this would let a restart or a cut add a tenth of a minute's limit. Settle, 15
// s: several times the silence after which a link counts as lost, so that a
// restart of a host, which takes seconds, moves no share. Growth is at most twofold each
// Settle, so a lasting cut does harm slowly enough to be seen. Skew 1: exact; an
// operator whose balancer pins a workspace's few connections to few hosts
// raises it, at most to the number of hosts.
//
// # Bad input
//
// Counts below zero are zero and absurd ones are bounded, limits of zero or less
// are none, an unknown workspace or a request larger than the whole limit is
// refused without a time to come back, time stands still while the clock steps
// back, and a number of hosts below one leaves the share as it is.
//
// # Usage
//
//	l := beechlimit.New(beechlimit.Settings{}, clockwork.NewRealClock())
//	l.SetLimits(limits)  // at each configuration
//	l.SetEntries(n)      // at each heartbeat
//	switch d := l.Admit(workspace, tokens).(type) {
//	case beechlimit.Admitted:
//		defer d.Grant.Release(usage) // or Cancel, where not run is proved
//	case beechlimit.Refuse: // answer now: not run, come back after d.After
//	}
package beechlimit
