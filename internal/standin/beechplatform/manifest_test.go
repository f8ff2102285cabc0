package beechplatform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/state/beechmanifest"
	"github.com/beechring/beechring/internal/state/beechstore"
)

// largeManifest returns a manifest with count workspaces. With thousands of
// them, reading its parts takes a process several seconds of its call budget.
func largeManifest(count int) *beechmanifest.Manifest {
	m := &beechmanifest.Manifest{
		Deployment: "large",
		Targets:    beechmanifest.Targets{FirstToken: beechmanifest.Duration(time.Second), Share: 0.95, WasteWeight: 1, MaxLoads: 3},
		Models:     []beechmanifest.Model{{Name: "advisor", Weights: "1"}},
		Priorities: []string{"usual"},
		Pools:      []beechmanifest.Pool{{Name: "engines", Kind: beechmanifest.KindEngine, Models: []string{"advisor"}, Slots: 8}},
		Services:   []beechmanifest.Service{},
	}
	for i := range count {
		name := fmt.Sprint("workspace-", i)
		sum := sha256.Sum256([]byte(name))
		m.Workspaces = append(m.Workspaces, beechmanifest.Workspace{
			Name: name, Keys: []string{hex.EncodeToString(sum[:])}, Priority: "usual", Weight: 1, RequestsPerMin: 600, TokensPerMin: 600_000, MaxConcurrent: 20,
		})
	}
	return m
}

// A configuration of 9,300 workspaces has more parts than the call budget of a
// process allows it to read at once. A watcher that started over each time the
// budget ran out would never finish, and a process without a configuration
// would never get one.
func TestWatcherReadsManifestLargerThanItsCallBurst(t *testing.T) {
	is := is.New(t)
	const workspaces = 9300
	clock := clockwork.NewRealClock()
	s := start(t, Settings{}, beechstore.Settings{CallsPerSecond: 1000})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	is.Equal(beechmanifest.Publish(ctx, s.store, clock, 0, largeManifest(workspaces)), beechmanifest.Accepted{Generation: 1})
	address := netip.MustParseAddrPort(s.http.Listener.Addr().String())
	reader := beechstore.New(beechstore.Settings{Addresses: []netip.AddrPort{address}}, s.http.Client(), clock)
	holder := beechmanifest.NewHolder()
	configured := holder.Changed()
	go func() {
		_ = beechmanifest.NewWatcher(reader, holder, clock, beechmanifest.WatcherSettings{}).Serve(ctx)
	}()
	select {
	case <-configured:
		is.Equal(holder.Generation(), uint64(1))
	case <-time.After(20 * time.Second):
		t.Fatal("no configuration after 20 s, many times the duration of its reads at the budget's rate")
	}
}

// BenchmarkPublish changes one of 9,300 workspaces, with the call budget of a
// long-running process and with that of the apply command.
func BenchmarkPublish(b *testing.B) {
	for _, calls := range []int{50, 500} {
		b.Run(fmt.Sprint("calls=", calls), func(b *testing.B) { publishOne(b, calls) })
	}
}

func publishOne(b *testing.B, calls int) {
	b.Helper()
	clock := clockwork.NewRealClock()
	s := start(b, Settings{}, beechstore.Settings{})
	address := netip.MustParseAddrPort(s.http.Listener.Addr().String())
	ctx := context.Background()
	m := largeManifest(9300)
	if first := beechmanifest.Publish(ctx, s.store, clock, 0, m); first != (beechmanifest.Accepted{Generation: 1}) {
		b.Fatal(first)
	}
	generation := uint64(1)
	for b.Loop() {
		m.Workspaces[7].RequestsPerMin++
		before := s.platform.Counts()
		operator := beechstore.New(beechstore.Settings{Addresses: []netip.AddrPort{address}, CallsPerSecond: calls}, s.http.Client(), clock)
		if got := beechmanifest.Publish(ctx, operator, clock, generation, m); got != (beechmanifest.Accepted{Generation: generation + 1}) {
			b.Fatal(got)
		}
		generation++
		after := s.platform.Counts()
		b.ReportMetric(float64(after.Reads-before.Reads), "reads")
		b.ReportMetric(float64(after.Writes-before.Writes), "writes")
	}
}
