// Package beechplace chooses the backend server for a request when gates send
// directly to inference engines.
//
// Prompts have long shared prefixes whose KV cache is held by engines, or can be
// fetched from another engine or from a remote KV cache store for a hundredth of
// the cost of computing it again. Engines stop serving to load new weights, crash,
// hang or leave. A gate knows the requests of other gates only from the reports of the
// keepers, the agents on the engines' hosts. Sending each request to the least loaded
// engine would repeat the prefill of shared prefixes until engines do little else;
// sending by hash alone would queue all requests for a popular prefix at one engine.
//
// A choice minimizes a predicted cost in milliseconds:
//
//	time in queue + own prefill, with repeated prefill of shared tokens weighted extra
//	+ engine utilization + other zone + outdated weights + poor health or recent errors
//
// Each chain of shared prompt parts has a home engine, selected over all zones by
// rendezvous hashing, so that gates which see a prefix for the first time at once
// agree without communicating. Gates remember where they sent a part, learn from
// keepers where other gates sent it and which parts engines evicted, and tell the
// engine to fetch it from another engine or from a KV cache store.
//
// Load reports lag, so requests that this gate has sent since a report are added to
// it.
//
// # Limits
//
// Some servers announce how many requests per second they accept from all gates
// together (beechthrottle). A server at its limit is skipped; if all are, the
// caller is told when to retry.
//
// # Weights
//
// An engine that its keeper takes out of service gets no new requests. Outdated
// weights cost nothing for a short time after newer ones are announced, then a
// penalty, and are excluded before the operators' bound.
//
// # Usage
//
//	p := beechplace.New(settings, clock, health, limits, overloaded, backoff, announce)
//	p.SetServers(servers); p.SetConfiguration(c); p.SetLatestVersion(model, version)
//	choice, ok := p.Choose(call, tried)
//	attempt := p.StartAttempt(call, choice)
//	p.StillUsable(choice)       // just before sending
//	attempt.AcquireLimit()      // the same; false if the server reached its limit
//	attempt.ObserveLimit(limit) // response headers arrived
//	attempt.FirstByte()         // the first byte of the body arrived
//	attempt.Done(outcome)
package beechplace
