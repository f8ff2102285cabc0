// Package beechhealth detects outliers among backend servers: it decides how much
// traffic each server may receive by comparing its latency and failures with those
// of its peers for the same model.
//
// # Why
//
// A server may fail, or become far slower than its peers while its own load report
// looks normal; the whole fleet may be busy; a server may flap. Without outlier
// detection, every n-th caller waits for the one bad server. With fixed thresholds
// instead, a busy hour or a bad release ejects the whole fleet, and a server's load
// oscillates.
//
// # Algorithm
//
//   - Latency is measured per token of uncached prompt (plus a fixed overhead), so
//     that a server that receives long prompts does not look slow.
//   - A server is compared with the median of its peers, in latency and in failure
//     rate. A problem that affects all of them ejects none.
//   - The worst outlier is ejected first, and never more than a given percentage of
//     a model's servers.
//   - An ejected server returns after probing, which judges the requests that it is
//     sent within one second, and then with a weight that grows. Each ejection
//     lasts twice as long as the previous one, unless the server has worked well
//     for four times the length of the previous ejection.
//
// # Default settings
//
//   - MaxLatencyRatio is 5: a server that holds a hot prefix is busy, and two to
//     three times slower than its idle peers while healthy. Ejecting it would only
//     move the hot prefix, and the slowness with it.
//   - MaxExcessFailures is 0.4 above the peers: five or more of the last ten
//     requests.
//   - ConfirmationTime is 3 s: longer than a garbage collection or a load of
//     weights.
//   - EjectionTime is 5 s: about the length of a restart.
//   - MaxEjectionTime is 2 min: a repaired server returns soon enough that its
//     return is noticed.
//   - ProbeCount is 3: a single good answer may be luck.
//   - SlowStart is 10 s: the time in which a cold cache is filled with its prefixes
//     again.
//   - MaxEjectedPercent is 30: at most hours the remaining servers can carry that
//     much more load. Of two or three servers, one may be ejected.
//
// # Invalid input
//
// Samples of unknown servers are ignored. Negative times and counts are treated as
// zero, and excessive ones are capped. A model without servers is forgotten. The
// only server of a model is never ejected. If the clock steps back, time stands
// still until it has caught up. Memory use is bounded by the number of servers set.
//
// # Usage
//
//	t := beechhealth.New(beechhealth.Settings{}, clockwork.NewRealClock())
//	t.SetServers(model, servers)  // on each change; an empty list forgets the model
//	t.Observe(sample)             // for each answer and failure, not for rejections
//	t.Tick()                      // about once per second
//	t.Weight(server)              // implements beechroute.Health, in 30 ns
package beechhealth
