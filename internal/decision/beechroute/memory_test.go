package beechroute

import (
	"runtime"
	"testing"

	"github.com/jonboulle/clockwork"
)

// BenchmarkMemory reports the memory per server, and per prefix with two holders.
func BenchmarkMemory(b *testing.B) {
	const servers, prefixes = 12_000, 10_000
	for b.Loop() {
		before := liveHeap()
		r := testRouter(servers, clockwork.NewRealClock(), fixedHealth{})
		filled := liveHeap()
		b.ReportMetric(float64(filled-before)/servers, "B/server")
		for i := range prefixes {
			for holder := range 2 {
				changes := CacheChanges{List: []CacheChange{{Key: testRequest(i, 0).Levels[1].Key, Tokens: 5800, Held: true}}}
				r.ApplyCacheChanges(testAddress((i+holder)%servers), 1, changes)
			}
		}
		b.ReportMetric(float64(liveHeap()-filled)/prefixes, "B/prefix")
		runtime.KeepAlive(r)
	}
}

// BenchmarkApplyCacheChanges measures the cost of one announced change of a
// server's cache.
func BenchmarkApplyCacheChanges(b *testing.B) {
	const servers = 400
	r := testRouter(servers, clockwork.NewRealClock(), fixedHealth{})
	changes := CacheChanges{List: make([]CacheChange, 4)}
	i := 0
	for b.Loop() {
		i++
		for k := range changes.List {
			changes.List[k] = CacheChange{Key: testRequest(i*len(changes.List)+k, 0).Levels[1].Key, Tokens: 5800, Held: true}
		}
		r.ApplyCacheChanges(testAddress(i%servers), 1, changes)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(i*len(changes.List)), "ns/change")
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
