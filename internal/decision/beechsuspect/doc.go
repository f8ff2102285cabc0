// Package beechsuspect finds requests that crash each engine that runs them (poison requests),
// and refuses them after two crashes.
//
// # Purpose
//
// Occasionally a single request crashes its engine. All requests in the engine's batch are lost
// with it and retried by the system or by their callers, and the next engine crashes. Without
// this package one caller's request could take down all engines of the fleet, one after the
// other, while each batch is computed again.
//
// # Algorithm
//
//   - All requests that were running at a crash become suspects, identified by a fingerprint of
//     workspace and body.
//   - A suspect never runs together with another one, so that a second crash identifies it.
//   - A suspect that finishes is cleared.
//   - Crashes for which something else is blamed that the suspect does not have do not count.
//   - A suspect that crashes again is refused for a time, which doubles with each further crash.
//   - Processes exchange records with heartbeats; the later event applies.
//
// A crash is counted once, however many processes report it: the new count is one more than was
// known when the request was allowed to run. Copies of a request that were all allowed to run
// before the first crash was known count as one crash together.
//
// # Thresholds
//
// Two crashes: with one, a batch of harmless requests would be refused; with three, each poison
// request would crash one more engine. RefusalTime 5 min: callers' retries end well before, and
// an operator has seen the log. Retention 30 min: a caller that sends a nightly batch again after
// its own backoff is still recognized. MaxRecords 1,024: more than thirty batches of 32, in about
// 64 KB.
//
// # Invalid input
//
// Fingerprint 0 means none and is never suspect. Records without crashes, or older than Retention,
// are ignored. Negative ages count as zero, and crash counts are bounded. If the clock steps back,
// time stands still until it has caught up.
//
// # Usage
//
//	r := beechsuspect.New(beechsuspect.Settings{}, clockwork.NewRealClock())
//	switch v := r.Check(fingerprint, explained).(type) { // before each attempt
//	case beechsuspect.Allow:
//	case beechsuspect.Isolate: // mark the request as isolated for the queue
//	case beechsuspect.Refuse: // respond now: not run, retry after v.After
//	}
//	r.RecordAttempt(fingerprint, crashes) // values received with a request, before Check
//	r.RecordSuccess(fingerprint)          // for each complete answer
//	r.RecordCrash(fingerprints)           // requests that were running when an engine crashed
//	heartbeat = r.RecentChanges()         // r.List() for a process that starts
//	r.Merge(records)                      // received from another process
package beechsuspect
