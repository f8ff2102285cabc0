// Package beechsaturation lets gates inform each other which servers are full.
//
// # Purpose
//
// A server without a keeper says that it is full in the response that rejects a request, and
// only the gate that sent the request receives that. Each gate would then find out on its own,
// again and again: with many gates, most requests would go to the full server first. Each of
// these costs its caller the time of an attempt, and counts against the retry budget.
//
// # Algorithm
//
// A gate whose request was rejected informs the others at once, unless it already knows that
// the server is full. A server counts as full for defaultFullTime, or for the time it asked
// for. The default is longer if the server was full the last time too, and both are bounded.
// Each gate adds a random part, so that one of them is the first to try again and the others
// learn from it. All gates together therefore probe a full server about as often as a single
// gate would.
//
// A server that counts as full may still be used, as the last choice. Package beechbackoff has
// the servers that have asked this gate itself for no requests. If a full one were excluded and
// all servers of a service were full, capacity that becomes free would stay unused until the
// entry ends.
//
// All gates together send a bounded number of updates, however many servers are full. What is
// not sent costs an attempt.
//
// # Invalid input
//
// Implausible times are bounded. Entries for unknown servers take little memory and expire.
//
// # Usage
//
//	t := beechsaturation.New(clock, onUpdate)
//	t.Rejected(server, retryAfter) // the server rejected a request
//	t.Answered(server, sent)       // the server processed a request that was sent then
//	if t.IsFull(server) { ... }    // while choosing a server
//	update := t.NextUpdate()       // when onUpdate is called: send it to the other gates
//	t.ApplyUpdate(update)          // received from another gate
package beechsaturation
