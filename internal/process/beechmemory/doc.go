// Package beechmemory paces the garbage collector by an amount of garbage instead of
// a percentage of the heap.
//
// An entry host or agent is either nearly idle with a heap of a few megabytes, or
// holds thousands of open streams. By default Go lets garbage grow as large as the
// live heap. With a small heap this causes a collection every few milliseconds under
// load, which raises the tail latency of the first token; with thousands of streams
// each stream takes twice the memory that it needs. No single percentage fits both, so
// the pacer recomputes it from the live heap.
//
// # Usage
//
//	pacer := beechmemory.New(clock)
//	err := pacer.Serve(ctx) // until the context ends
package beechmemory
