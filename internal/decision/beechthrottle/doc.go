// Package beechthrottle keeps the requests sent to a server below the limit that the server
// names: a number of requests per second, from all gates together.
//
// # Purpose
//
// An overloaded server may name a limit in its responses. A response reaches one gate, but
// the limit applies to the requests of all gates. Gates that are not informed continue as
// before, and if each gate applied the limit on its own, the server would receive many times
// as many requests. The limit may be far below one request per second and gate, so that equal
// shares of it would not let any gate send a request.
//
// # Algorithm
//
// A gate sends what it learns from a response to the other gates at once. Responses may
// arrive out of order. Of two that may have been sent in either order the stricter limit
// applies, until a response arrives whose request was sent after the other response was
// received. A limit is therefore lifted only by a response that is certainly later than the
// one that named it.
//
// Requests are counted by beechquota, with a server in place of a workspace and requests in
// place of tokens: every gate estimates the level of the whole bucket from its own count and
// the other gates' updates. Where a gate's share of what may be sent before the others are
// informed is less than one request, a random draw decides which gates may send. Every request
// sent counts, including repeated ones and those that the server rejects. Requests that found
// no connection are refunded.
//
// # Limits that are no longer confirmed
//
// If a limit has not been named for a while, it is unknown whether it still applies. The
// server is then due for a probe, and the limit is relaxed slowly and to a small degree until a
// response arrives. A server that has restarted has no limit.
//
// # Invalid input
//
// Invalid limits are counted and logged. The last valid limit stays, and is relaxed as one
// that is not confirmed. Updates about a lifetime of the server that has ended, from the
// future, or too old to matter are ignored.
//
// # Usage
//
//	t := beechthrottle.New(host, lifetime, clock, quotaClock, onEvent, onUrgent)
//	switch d := t.Check(server).(type) { // while choosing a server
//	case beechquota.Admitted:
//	case beechquota.Refused: // choose another server, or retry after d.After
//	}
//	t.Acquire(server)                         // when the request is sent
//	t.Refund(server)                          // if it found no connection
//	t.Observe(server, startTime, limit, sent) // for each response
//	update := t.NextUpdate()                  // send it to the other gates, regularly and on onUrgent
//	t.ApplyUpdate(update, source)             // received from another gate
package beechthrottle
