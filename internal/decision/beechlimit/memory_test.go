package beechlimit

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/jonboulle/clockwork"
)

// BenchmarkMemory reports the memory that one workspace's limits take on an entry
// host.
func BenchmarkMemory(b *testing.B) {
	const workspaces = 9300
	limits := make(map[string]Limit, workspaces)
	for i := range workspaces {
		limits[fmt.Sprint("workspace ", i)] = Limit{Requests: 600, Tokens: 600_000, Concurrent: 20}
	}
	for b.Loop() {
		before := liveHeap()
		l := New(Settings{}, clockwork.NewRealClock())
		l.SetLimits(limits)
		b.ReportMetric(float64(liveHeap()-before)/workspaces, "B/workspace")
		runtime.KeepAlive(l)
	}
}

// BenchmarkSetLimits measures the cost of one configuration change.
func BenchmarkSetLimits(b *testing.B) {
	limits := map[string]Limit{}
	for i := range 9300 {
		limits[fmt.Sprint("workspace ", i)] = Limit{Requests: 600, Tokens: 600_000, Concurrent: 20}
	}
	l := New(Settings{}, clockwork.NewRealClock())
	for b.Loop() {
		l.SetLimits(limits)
	}
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
