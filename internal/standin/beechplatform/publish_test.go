package beechplatform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/state/beechmanifest"
	"github.com/beechring/beechring/internal/state/beechstore"
)

const watchers = 8 // two in each of four availability zones

// BenchmarkPublishUntilInForce changes one workspace at a time and waits until
// every watcher has applied the change, over HTTP on loopback.
func BenchmarkPublishUntilInForce(b *testing.B) {
	data, err := os.ReadFile("../../../docs/examples/granite-loop.json")
	if err != nil {
		b.Fatal(err)
	}
	for _, workspaces := range []int{8, 9300} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			m, err := beechmanifest.Parse(data)
			if err != nil {
				b.Fatal(err)
			}
			for i := len(m.Workspaces); i < workspaces; i++ {
				w := m.Workspaces[0]
				w.Name = fmt.Sprintf("workspace-%d", i)
				sum := sha256.Sum256([]byte(w.Name))
				w.Keys = []string{hex.EncodeToString(sum[:])}
				m.Workspaces = append(m.Workspaces, w)
			}
			publishUntilInForce(b, m)
		})
	}
}

func publishUntilInForce(b *testing.B, m *beechmanifest.Manifest) {
	s := start(b, Settings{}, beechstore.Settings{})
	clock := clockwork.NewRealClock()
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	holders := make([]*beechmanifest.Holder, watchers)
	for i := range holders {
		holders[i] = beechmanifest.NewHolder()
		w := beechmanifest.NewWatcher(s.store, holders[i], clock, beechmanifest.WatcherSettings{})
		done.Go(func() { _ = w.Serve(ctx) })
	}
	b.Cleanup(done.Wait)
	b.Cleanup(cancel)
	change := func(base uint64) time.Duration {
		m.Workspaces[0].MaxConcurrent++
		began := time.Now()
		if o := beechmanifest.Publish(ctx, s.store, clock, base, m); o != (beechmanifest.Accepted{Generation: base + 1}) {
			b.Fatalf("publish: %T %+v", o, o)
		}
		accepted := time.Since(began)
		for _, h := range holders {
			for {
				changed := h.Changed()
				if h.Generation() > base {
					break
				}
				<-changed
			}
		}
		return accepted
	}
	change(0)
	before := s.platform.Counts()
	b.ResetTimer()
	var accepted time.Duration
	for i := range b.N {
		accepted += change(uint64(i + 1))
	}
	after := s.platform.Counts()
	b.ReportMetric(accepted.Seconds()*1000/float64(b.N), "ms-accepted")
	b.ReportMetric(b.Elapsed().Seconds()*1000/float64(b.N), "ms-in-force")
	b.ReportMetric(float64(after.Writes-before.Writes)/float64(b.N), "writes")
	b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads")
}
