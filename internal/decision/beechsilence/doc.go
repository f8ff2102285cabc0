// Package beechsilence tells a server that is silent for a moment from one that is
// gone.
//
// A process asks a server for its state again and again. A server that is sound may
// fall silent for a second or two and go on: taken for gone, it loses what it is
// doing, although nothing else may be able to do it. So a question without an answer
// in time only begins a silence. The server is gone when its silence is clearly longer,
// or at once when a question fails in another way, as with a refused connection.
//
// Only the time in which an answer could have been read counts as silence. If this
// process itself was stopped, a question takes longer than it may, and what is beyond
// is not the server's.
//
// # Usage
//
//	w := beechsilence.New(beechsilence.Settings{Limit: time.Second, Patience: 2500 * time.Millisecond})
//	asked := clock.Now()
//	// ask, for w.Limit() at most
//	w.Missed(asked, clock.Now(), timedOut) // or w.Answered()
//	if w.State() == beechsilence.Gone { ... }
package beechsilence
