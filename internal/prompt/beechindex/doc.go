// Package beechindex is an agent's picture of what its engine's prompt cache
// holds.
//
// The agent's queue predicts a request's first token from the share of its prompt
// that is cached, and tells entry hosts so. The engine's own word comes in two
// forms, neither enough alone. A reply's usage says exactly how much of one prompt
// was cached, at one moment. Cache events say what was stored and evicted since,
// but they name blocks by hashes of the engine's own, come late, and get lost. So
// the index learns levels from replies, ties them to the blocks stored for them,
// and lets evictions of those blocks take them away.
//
// What goes wrong without care: an entry that outlives its engine, its weights or
// its workspace promises cache that does not exist, and every first token
// predicted from it is late. Therefore every entry is keyed by the cache salt
// (workspace, model, adapter, weights) and belongs to one incarnation of the
// engine. A new incarnation empties the index; what arrives later from an ended one
// is dropped. A hole in the events' sequence makes everything learned before it
// unknown, since any of it may have been evicted, until a reply or an event
// confirms it.
//
// # Usage
//
//	index := beechindex.New(beechindex.Settings{MaxBytes: 8 << 20})
//	index.Begin(report.Incarnation)
//	index.Apply(report.Incarnation, events)
//	index.Learn(beechindex.Reply{Incarnation: 7, Salt: chain.Salt, Levels: levels, Prompt: 900, Cached: 640})
//	tokens, known := index.Cached(chain.Salt, levels)
//
// An Index is safe for concurrent use and reads no clock.
package beechindex
