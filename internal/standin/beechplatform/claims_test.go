package beechplatform

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/state/beechrecord"
	"github.com/beechring/beechring/internal/state/beechstore"
)

// BenchmarkClaims measures callers that claim and finish requests in a closed
// loop over HTTP on loopback, at the platform's rates. Both claims and outcomes
// count as writes.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			benchmarkClaims(b, callers)
		})
	}
}

func benchmarkClaims(b *testing.B, callers int) {
	s := start(b, Settings{}, beechstore.Settings{})
	r := beechrecord.New(s.store, clockwork.NewRealClock(), beechrecord.Settings{})
	b.Cleanup(r.Close)
	ctx := context.Background()
	body := beechrecord.BodySum{1}
	var (
		mu    sync.Mutex
		waits []time.Duration
		fails int
		wait  sync.WaitGroup
	)
	each := max(1, b.N/callers)
	b.ResetTimer()
	began := time.Now()
	for c := range callers {
		wait.Go(func() {
			for n := range each {
				key := beechrecord.Key{Workspace: "bench", Name: fmt.Sprintf("%d-%d", c, n)}
				asked := time.Now()
				granted, ok := r.Claim(ctx, key, body, "request").(beechrecord.Granted)
				took := time.Since(asked)
				if ok {
					_ = r.Finish(ctx, key, granted.Token, beechrecord.Ran{Status: 200, Body: []byte(`{"ok":true}`)})
				}
				mu.Lock()
				waits = append(waits, took)
				if !ok {
					fails++
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	seconds := time.Since(began).Seconds()
	counts := s.platform.Counts()
	slices.Sort(waits)
	b.ReportMetric(float64(len(waits)-fails)/seconds, "claims/s")
	b.ReportMetric(float64(len(waits)-fails)/float64(max(1, counts.Writes)), "claims/write")
	b.ReportMetric(float64(counts.Writes)/seconds, "writes/s")
	b.ReportMetric(float64(waits[len(waits)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(waits[len(waits)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(fails), "refused")
}
