// Package beechsaturation has gates tell one another which servers are full.
//
// # Load it answers
//
// A server without a keeper says that it is full with the answer that turns a request away,
// and only the gate that sent it hears that. Every gate then finds out by itself, again and
// again: with many gates most requests go to the full server first. Each of them is an
// attempt that its caller waits for, and that the retry budget pays for.
//
// # How it decides
//
// A gate whose request was turned away tells the others at once, unless it has heard of that
// server already. A server is believed to be full for fullFor, or as long as it asked for,
// longer where it was full the last time too, but never for long. Each gate adds a random
// part: one of them is the first to ask again, and the others hear from it. So a full
// server is asked about as often by all gates as it would be by one.
//
// A server that is believed to be full may still be used. It is the last choice, not
// excluded: where all servers of a service are full, room that becomes free would
// otherwise stay empty until the belief ends.
//
// All gates together send a bounded number of words, however many servers are full. What is
// not told costs an attempt.
//
// # Bad input
//
// Times that make no sense are cut. Words on servers that are not known take little memory
// and end by themselves.
//
// # Usage
//
//	r := beechsaturation.New(clock, news)
//	r.TurnedAway(server, retryAfter) // by its answer
//	r.Took(server, sent)             // an answer to a request that was sent then
//	if r.Knows(server) { ... }        // while choosing
//	word := r.Word()                 // when news is called: tell the other gates
//	r.Hear(word)                     // another gate's
package beechsaturation
