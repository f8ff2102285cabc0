// Package beechindex tracks which prompt prefixes an engine has in its prompt cache.
//
// An agent predicts a request's time to first token from the cached share of its
// prompt, and entry hosts route a request to a server that has its prefix cached.
// Engines report their cache in two forms, neither of which is sufficient alone.
// The usage in a reply says exactly how much of one prompt was cached, at one
// moment. Cache events say what was stored and evicted since, but they identify
// blocks by hashes of the engine's own, arrive late, and may be lost. The index
// therefore learns levels of a prompt's prefix chain from replies and assigns to
// them the blocks that were stored for the prompt. When any of these blocks is
// evicted, the level is no longer cached.
//
// An entry that outlives its engine, weights or workspace claims a cached prefix
// that does not exist, and every first token predicted from it is late. Therefore
// each entry is keyed by the cache salt (workspace, model, adapter, weights) and
// belongs to one incarnation of the engine. A new incarnation empties the index, and
// whatever arrives later from an ended one is dropped. After a gap in the sequence
// of events, everything learned before is unknown, because any of it may have been
// evicted, until a reply confirms it or its blocks are stored again.
//
// Changes reports to entry hosts, with heartbeats, which levels have become cached
// or were evicted. A level already counts as held while a request that will store it
// is waiting; otherwise two entry hosts would have the same prefix computed on two
// servers. Nor is a level reported as evicted while a waiting request will store it
// again. The last level of a prompt, the caller's own question, is not reported.
//
// # Usage
//
//	index := beechindex.New(beechindex.Settings{MaxBytes: 8 << 20})
//	index.StartIncarnation(report.Incarnation)
//	index.Apply(report.Incarnation, events)
//
//	index.AddWaiting(chain.Salt, levels)
//	tokens, known := index.CachedTokens(chain.Salt, levels)
//	index.Learn(beechindex.Reply{Incarnation: 7, Salt: chain.Salt, Levels: levels, Prompt: 900, Cached: 640})
//	index.RemoveWaiting(chain.Salt, levels)
//
//	changes, next := index.Changes(next) // for each link's heartbeat
//
// An Index is safe for concurrent use and does not read a clock.
package beechindex
