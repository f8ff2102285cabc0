// Package beechindex is an agent's picture of what its engine's prompt cache
// holds.
//
// The agent's queue predicts a request's first token from the share of its prompt
// that is cached, and entry hosts send a request where its prefix is. The engine's
// own word comes in two forms, neither enough alone. A reply's usage says exactly
// how much of one prompt was cached, at one moment. Cache events say what was stored
// and evicted since, but they name blocks by hashes of the engine's own, come late,
// and get lost. So the index learns levels from replies, ties them to the run of
// blocks that was stored for them, and lets the eviction of any of those blocks take
// the level away.
//
// What goes wrong without care: an entry that outlives its engine, its weights or
// its workspace promises cache that does not exist, and every first token
// predicted from it is late. Therefore every entry is keyed by the cache salt
// (workspace, model, adapter, weights) and belongs to one incarnation of the
// engine. A new incarnation empties the index; what arrives later from an ended one
// is dropped. A hole in the events' sequence makes everything learned before it
// unknown, since any of it may have been evicted, until a reply confirms it or its
// blocks are stored again.
//
// Changes tells entry hosts, by heartbeat, which levels have come and gone. A
// level counts as held from the moment a request that will bring it waits, since
// otherwise two entry hosts prefill one prefix at two servers while the first of
// them waits; and it is not called gone while a request that waits will bring it
// back. The last level of a prompt, the caller's own question, is not told.
//
// # Usage
//
//	index := beechindex.New(beechindex.Settings{MaxBytes: 8 << 20})
//	index.Begin(report.Incarnation)
//	index.Apply(report.Incarnation, events)
//
//	index.Queued(chain.Salt, levels)
//	tokens, known := index.Cached(chain.Salt, levels)
//	index.Learn(beechindex.Reply{Incarnation: 7, Salt: chain.Salt, Levels: levels, Prompt: 900, Cached: 640})
//	index.Left(chain.Salt, levels)
//
//	changes, next := index.Changes(next) // for each link's heartbeat
//
// An Index is safe for concurrent use and reads no clock.
package beechindex
