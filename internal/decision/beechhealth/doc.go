// Package beechhealth tells how far each backend server may be used, from what
// its answers look like beside those of its peers of the same model.
//
// # Load it answers
//
// A server that fails, or has become far slower than its peers while its own
// report says otherwise; a fleet that is busy as a whole; a server that flaps.
// Without it every n-th caller waits for the one bad server. With a plain rule
// instead, a busy hour or a bad release ejects the whole fleet, and a server's
// load swings to and fro.
//
// # How it decides
//
//   - Latency is taken for each token of uncached prompt (and a fixed overhead),
//     so that a server with long prompts does not look slow.
//   - A server is compared with the median of its peers, in latency and in the share
//     of failures. What all of them suffer is nobody's fault.
//   - Ejected is the worst first, and never more than a share of a model's servers.
//   - It comes back by probes, what it is sent in one second, then with a
//     weight that grows. It must do well for four times as long as it was out, or
//     its next time out is twice as long.
//
// # Thresholds
//
// Slow 5: a server that holds a hot prefix is busy and two to three times slower
// than its idle peers while it is well; to eject it only moves the hot prefix,
// and the slowness with it. Failed 0.4 above its peers: five or more of the
// last ten. Confirm 3 s: a garbage collection or a load of weights passes in
// that time. Eject 5 s: a restart takes about as long; MaxEject 2 min: a server
// that was mended is back soon enough to be noticed. Probes 3: one answer may
// be luck. SlowStart 10 s: the time in which a cold cache meets its prefixes
// again. MaxEjected 30%: the rest can carry that much more in most hours; of two
// or three servers one may go.
//
// # Bad input
//
// Samples of unknown servers are passed over, times and counts below zero are
// zero and absurd ones are bounded, a model without servers is forgotten, the only
// server of a model is never ejected, and time stands still while the clock steps
// back. Memory is bounded by the servers that are named.
//
// # Usage
//
//	t := beechhealth.New(beechhealth.Settings{}, clockwork.NewRealClock())
//	t.SetServers(model, servers)  // whenever they change; none forgets the model
//	t.Observe(sample)             // at each answer and failure, not at refusals
//	t.Tick()                      // about once a second
//	t.Weight(server)              // implements beechroute.Health, in 30 ns
package beechhealth
