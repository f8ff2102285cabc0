package beechrecord

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkCompactClaim measures the cost of a claim in a closed segment:
// bytes in the service and in the memory of the shard's owner.
func BenchmarkCompactClaim(b *testing.B) {
	const segments, claims = 100, 500
	var closed []*cachedSegment
	bytes := 0
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for n := range segments {
		s := segment{Opened: time.Unix(0, 0), Next: newSegmentID()}
		for i := range claims {
			key := Key{Workspace: "w", Name: fmt.Sprintf("%d-%d", n, i)}
			s.Entries = append(s.Entries, entry{
				Key: key.id().String(), Body: BodySum{1}.encode(), Token: newToken(), Request: "request-0123456789",
				Outcome: &outcome{Status: 200, Type: "application/json", Body: []byte(`{"ok":true}`), Complete: true},
			})
		}
		data, err := encodeSegment(s)
		if err != nil {
			b.Fatal(err)
		}
		bytes += len(data)
		closed = append(closed, newCachedSegment(newSegmentID(), 1, s, len(data)).compacted())
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	missing := Key{Name: "missing"}.id().String()
	b.ResetTimer()
	for range b.N {
		for _, s := range closed {
			if s.contains(missing) {
				b.Fatal("found a missing key")
			}
		}
	}
	b.ReportMetric(float64(bytes)/(segments*claims), "service-B/claim")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(segments*claims), "memory-B/claim")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*segments), "ns/segment")
}
