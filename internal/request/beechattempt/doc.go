// Package beechattempt serves a request from admission to its answer: it chooses
// a server, sends an attempt, and retries failed attempts where that is safe and
// worthwhile.
//
//	Serve -> choose -> attempt -> forward the answer or handle the failure
//
// # Retries
//
// A request that was certainly not executed, because the server says so or
// nothing was sent, goes to another server. One that may have been executed is
// sent again only if its route declares it repeatable or, for a stream, resumable
// after its last event. Every retry that reaches a server is taken from the
// gate's share of the retry budget. A request that has been executed on as many
// servers as its route allows is not retried.
//
// # Answers
//
// The caller gets the server's answer unchanged. Without one it is told "not
// executed" only if no attempt may have been executed, that the deadline has
// passed if it has, and otherwise that the outcome is unknown. A stream that
// cannot be completed is visibly aborted, so that no caller takes it for complete.
//
// # Usage
//
//	dispatcher := beechattempt.New(placer, backend, pool, budget, suspects, poison, admission, observer, clock, log)
//	dispatcher.Serve(ctx, call, responder) // ctx ends when the caller disconnects
package beechattempt
