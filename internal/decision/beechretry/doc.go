// Package beechretry decides whether a request that failed or was refused is
// sent again, where and when.
//
// # Load it answers
//
// A server that crashes under many requests, an outage of all servers of a
// model, refusals under saturation. Without it either every crash loses its
// requests, or each request is tried again and again: an outage then meets
// several times its load and does not end, and a booking runs twice.
//
// # How it decides
//
//   - Sent again is only what is proved not to have run, or may be repeated.
//   - Never after the deadline, never more than MaxAttempts.
//   - All retries of an entry host come out of one budget: Percent of its first
//     attempts, and Spare for a quiet host. Refusals leave half of the spare to
//     failures.
//   - With a Window the same is counted over it: retries in any window are at most
//     Percent of the first attempts in it, and Spare. Many hosts that share an
//     operator's bound have little of the spare each, so it is their requests that
//     carry their retries.
//   - A refusal's better server is taken at once; another server at once after a
//     refusal, after a jittered backoff else; the same server only if it is the
//     only one and can serve within MaxBackoff.
//   - What is given up is answered at once, with what is known and when to come
//     back.
//
// # Thresholds
//
// Percent 10: an outage meets at most 1.1 times its load, while crashes under
// an ordinary load, well below a percent of requests, are all retried. Spare 20:
// what one server has in work when it crashes, on an entry host with little
// traffic. MaxAttempts 3: the first, one for a stale view, one for a crash.
// Backoff 50 ms: short against a first token, long enough to spread a server's
// streams. MaxBackoff 500 ms: a caller on a weak link is told to wait itself
// rather than held longer.
//
// # Bad input
//
// An outcome that says nothing of a run counts as unknown, an attempt below 1 as the
// first, a time below 0 as none. Without a window the budget counts
// requests, not time; a clock that steps back only moves deadlines, and what falls
// into a window counts there for longer.
//
// # Usage
//
//	b := beechretry.New(beechretry.Settings{}, clock, rand.NewPCG(seed1, seed2))
//	b.Sent()                            // at each first attempt
//	switch d := b.Decide(outcome).(type) {
//	case beechretry.Retry:              // wait d.After, send to d.Server or let the router choose
//	case beechretry.GiveUp:             // answer d.Ran and d.After
//	}
package beechretry
