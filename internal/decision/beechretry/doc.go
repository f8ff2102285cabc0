// Package beechretry decides whether a failed or rejected request is retried, where
// and when.
//
// # Why
//
// A server may crash while it runs many requests, all servers of a model may fail,
// and saturated servers reject requests. Without retries, every crash loses its
// requests. With unlimited retries, an outage receives several times its normal
// load and does not end, and a booking may run twice.
//
// # Algorithm
//
//   - A request is retried only if it provably did not run, or is repeatable.
//   - It is never retried after its deadline, nor sent more than MaxAttempts times.
//   - All retries of an entry host are taken from one budget: RetryPercent of its
//     first attempts, and a Reserve for hosts with little traffic. Rejections leave
//     half of the reserve to failures.
//   - With a Window, both are counted over time: the retries in any window are at
//     most RetryPercent of the first attempts in it, plus the Reserve. When many
//     hosts share a limit on retries, each has little of the reserve, so retries
//     must be earned by the host's requests.
//   - The server that a rejection recommends is tried at once. Another server is
//     tried at once after a rejection, and after a jittered backoff otherwise. The
//     same server is tried again only if it is the only one and can serve within
//     MaxBackoff.
//   - A request that is given up is answered at once, with what is known about
//     whether it ran, and when to retry.
//
// # Default settings
//
//   - RetryPercent is 10: an outage receives at most 1.1 times its normal load,
//     while crashes under ordinary load, which affect well below one percent of
//     requests, are all retried.
//   - Reserve is 20: the number of requests that run on one server when it crashes,
//     for an entry host with little traffic.
//   - MaxAttempts is 3: the first attempt, one more for an outdated view of the
//     servers, and one more for a crash.
//   - BaseBackoff is 50 ms: short compared with the time to a first token, and long
//     enough to spread the requests of a crashed server.
//   - MaxBackoff is 500 ms: a caller on a weak link is told when to retry rather
//     than kept waiting longer.
//
// # Invalid input
//
// An outcome that does not say whether the attempt ran counts as unknown. An
// attempt number below 1 is treated as 1, and a retry time below 0 as none. Without
// a window, the budget counts requests rather than time, so a clock that steps back
// only shifts deadlines. With a window, attempts already counted then stay in it
// for longer.
//
// # Usage
//
//	b := beechretry.New(beechretry.Settings{}, clock, rand.NewPCG(seed1, seed2))
//	b.RecordRequest()                   // on each first attempt
//	switch d := b.Decide(outcome).(type) {
//	case beechretry.Retry:              // wait d.Delay, send to d.Server or let the router choose
//	case beechretry.GiveUp:             // answer with d.Ran and d.RetryAfter
//	}
package beechretry
