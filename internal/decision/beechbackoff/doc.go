// Package beechbackoff keeps track of servers that have asked this process to send them
// nothing for a time, by rejecting a request with a Retry-After.
//
// # Purpose
//
// A rejection without a time is a hint about load, which a newer report may replace. A time is
// a request to one client, and only the server knows why it asks: it may be overloaded while
// its load reports show an idle machine. So the time binds this process until it is over, and
// neither a load report nor an answer to another request ends it.
//
// # Algorithm
//
// The latest end that a server has named counts; a later rejection cannot shorten it. A restart
// of the server ends it, since the new lifetime has asked for nothing.
//
// The time is kept by the steady clock, so a suspended host waits for longer. It is kept for IDs
// that are not listed at the moment: a server's entry may vanish and return while the store is
// unavailable.
//
// # Invalid input
//
// Times that are not positive are ignored, and longer ones than MaxTime are shortened to it.
//
// # Usage
//
//	t := beechbackoff.New(clock)
//	t.Record(server, after)                // a server rejected a request and named a time
//	if t.Remaining(server) > 0 { ... }     // while choosing a server, and again before sending
//	t.Forget(server)                       // the server has restarted
package beechbackoff
