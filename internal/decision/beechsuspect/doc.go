// Package beechsuspect finds the one request that crashes each engine that runs
// it, and stops it after two.
//
// # Load it answers
//
// Now and then a single request crashes its engine. The engine's whole batch is
// lost with it, the system or the caller sends all of it again, and the next
// engine crashes. Without this package one caller's request takes down the
// fleet, one engine after the other, while each batch is recomputed.
//
// # How it decides
//
//   - What was running at a crash is suspect, by fingerprint of workspace and body.
//   - A suspect runs beside no other suspect, so that a second crash names it.
//   - One that finishes is cleared.
//   - One that crashes again is refused for a time, which doubles with each crash
//     after that.
//   - Processes tell each other with heartbeats; the later event counts.
//
// A crash is counted once, however many processes report it: the count is one
// more than was known when the request was let run. Copies that were all let
// run before the first crash was known count as one crash together.
//
// # Thresholds
//
// Two crashes: with one, a batch of innocents would be refused; with three, one
// more engine crashes for each poison. Refuse 5 min: callers' retries end well
// before, and an operator has seen the log. Keep 30 min: a caller that sends a
// nightly batch again after its own backoff still meets the suspicion. Max 1,024: over
// thirty batches of 32, in 64 KB or so.
//
// # Bad input
//
// Fingerprint 0 is none and never suspect; records without crashes or older than Keep
// are passed over, ages below zero are zero, counts are bounded, and time stands
// still while the clock steps back.
//
// # Usage
//
//	r := beechsuspect.New(beechsuspect.Settings{}, clockwork.NewRealClock())
//	switch v := r.Check(fingerprint).(type) { // before each attempt
//	case beechsuspect.Clear:
//	case beechsuspect.Alone: // mark it so for the queue
//	case beechsuspect.Refuse: // answer now: not run, come back after v.After
//	}
//	r.Tried(fingerprint, crashes) // what came with a request, before Check
//	r.Finished(fingerprint)      // at each whole answer
//	r.Crashed(fingerprints)      // what was running when an engine crashed
//	heartbeat = r.News()         // r.List() for a process that starts
//	r.Merge(records)
package beechsuspect
