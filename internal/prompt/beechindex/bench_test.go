package beechindex

import (
	"fmt"
	"runtime"
	"testing"
)

const benchSalt = "workspace/model@1"

// blockEvent returns an event for an engine's blocks in turn: each is stored in
// the first round and evicted in the next.
func blockEvent(sequence uint64, blocks int) Event {
	n := int(sequence-1) % blocks
	return Event{
		Sequence: sequence, Salt: benchSalt, Hash: fmt.Sprint("block-", n),
		Tokens: 16 * (1 + n%400), Stored: int(sequence-1)/blocks%2 == 0,
	}
}

// BenchmarkApply measures the time in which an agent processes one of its
// engine's cache events.
func BenchmarkApply(b *testing.B) {
	const blocks, batch = 32 << 10, 64
	x := New(Settings{})
	x.StartIncarnation(1)
	events := make([]Event, batch)
	sequence := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		for i := range events {
			sequence++
			events[i] = blockEvent(sequence, blocks)
		}
		b.StartTimer()
		x.Apply(1, events)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(sequence), "ns/event")
}

// BenchmarkMemory fills an index and reports the memory per entry and of the
// whole index.
func BenchmarkMemory(b *testing.B) {
	const entries = 12 << 10
	for b.Loop() {
		before := liveHeap()
		x := New(Settings{})
		x.StartIncarnation(1)
		for i := range entries {
			key := Key{1: byte(i), 2: byte(i >> 8), 3: 7}
			x.Learn(Reply{Incarnation: 1, Salt: benchSalt, Levels: []Level{{Key: key, Tokens: 64}, {Key: Key{9}, Tokens: 80}}, Prompt: 80, Cached: 64})
		}
		grown := float64(liveHeap() - before)
		b.ReportMetric(grown/float64(x.Counts().Entries), "B/entry")
		b.ReportMetric(grown, "B")
		runtime.KeepAlive(x)
	}
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
