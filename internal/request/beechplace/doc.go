// Package beechplace chooses the backend server for a request when gates send
// straight to engines.
//
// The load it answers: prompts whose long shared parts are cached in engines,
// or can be fetched from an engine or from the store of kept KV cache for a
// hundredth of what reading them again costs; engines that go dark to load new
// weights, crash, hang or leave; gates that see one another only through what
// engines and keepers say. Sent to the least loaded engine, each request reads
// its shared parts again and the engines are busy with that alone. Sent by hash
// alone, the engine of a hot part keeps its callers waiting.
//
// Each choice is by predicted cost in milliseconds:
//
//	wait for prompts ahead + own reading, weighed more than its time, since it holds up others
//	+ fill of the engine + another zone + weights that were overtaken + doubts about the server
//
// A chain of shared parts has one home over all zones by rendezvous hashing, so
// that gates which meet it in the same moment agree without a word. Gates
// remember where they sent a part last, hear from keepers where others did and
// what engines dropped, and name an engine that holds it, or the store of kept
// KV cache, as the place to fetch from.
//
// Load reports lag, so what this gate has sent since is added to them.
//
// # Limits
//
// Some servers name how many requests a second they take from all gates together
// (beechthrottle). One that has had them is passed over; where all have, the caller is
// told when to come back.
//
// # Weights
//
// An engine that its keeper takes out of the choice gets no new work. Old
// weights cost nothing for a moment after newer ones were named, then a
// penalty, and are out of the question before the operators' bound.
//
// # Usage
//
//	p := beechplace.New(settings, clock, health, limits, full, announce)
//	p.SetServers(servers); p.SetConfiguration(c); p.Named(model, version)
//	choice, ok := p.Choose(call, tried)
//	ticket := p.Sent(call, choice)
//	ticket.Send()           // now
//	ticket.Said(limit)      // an answer came
//	ticket.First()          // the first byte came
//	ticket.Done(outcome)
package beechplace
