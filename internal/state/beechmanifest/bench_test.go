package beechmanifest

import (
	"runtime"
	"testing"
)

// BenchmarkConfigurationMemory reports how much memory a configuration of 9,300 workspaces takes in
// each process, and how many values it takes in the platform's key-value service.
func BenchmarkConfigurationMemory(b *testing.B) {
	const workspaces = 9300
	data, err := Encode(canonical(manifestOfSize(workspaces)))
	if err != nil {
		b.Fatal(err)
	}
	parts, err := split(canonical(manifestOfSize(workspaces)))
	if err != nil {
		b.Fatal(err)
	}
	largest := 0
	for _, p := range parts {
		largest = max(largest, len(p.data))
	}
	for b.Loop() {
		before := liveHeap()
		h := NewHolder()
		if ok, err := h.Offer(1, append([]byte(nil), data...)); !ok {
			b.Fatal(err)
		}
		b.ReportMetric(float64(liveHeap()-before)/workspaces, "B/workspace")
		runtime.KeepAlive(h)
	}
	b.ReportMetric(float64(len(data))/workspaces, "encoded-B/workspace")
	b.ReportMetric(float64(len(parts)), "parts")
	b.ReportMetric(float64(largest), "largest-part-B")
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
