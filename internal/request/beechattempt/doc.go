// Package beechattempt takes a request from admission to its answer: it asks
// for a server, sends an attempt, judges what came of it, and tries again where
// that is safe and worth it.
//
//	Serve -> admit -> choose -> attempt -> judge -> answer
//
// # What may be tried again
//
// A request that surely did not run, by the server's own word or because
// nothing was sent, goes to another server. One that may have run goes again
// only where its route says that it may be repeated, or, for a stream, resumed
// after its last event. Each try after the first that reaches a server is paid
// for from the gate's share of the retry budget. A request that has run on as
// many servers as its route allows is not tried again.
//
// # What the caller is told
//
// The answer of the server as it is; "not run" only if no attempt may have run;
// otherwise that the outcome is not known, and at the deadline that the time is
// over. A stream that cannot be brought to its end is broken off visibly, so
// that nobody takes it for whole.
//
// # Usage
//
//	core := beechattempt.New(placer, backend, pool, budget, suspects, clock, log)
//	core.Serve(ctx, call, responder) // ctx ends when the caller leaves
package beechattempt
