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

	"github.com/beechring/beechring/internal/platform/beechmanifest"
	"github.com/beechring/beechring/internal/platform/beechstore"
)

// manyWorkspaces is a manifest whose parts are more than a process's calls of
// some seconds.
func manyWorkspaces(count int) *beechmanifest.Manifest {
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

// A configuration of 9,300 workspaces has more parts than a process may read at
// once within its budget of calls. Given up on and begun anew each time it would
// never be read: a process without a configuration would stay so.
func TestWatcherReadsMorePartsThanItsBudgetAllowsAtOnce(t *testing.T) {
	is := is.New(t)
	const workspaces = 9300
	clock := clockwork.NewRealClock()
	s := start(t, Settings{}, beechstore.Settings{CallsPerSecond: 1000})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	is.Equal(beechmanifest.Publish(ctx, s.store, clock, 0, manyWorkspaces(workspaces)), beechmanifest.Accepted{Generation: 1})
	address := netip.MustParseAddrPort(s.http.Listener.Addr().String())
	reader := beechstore.New(beechstore.Settings{Addresses: []netip.AddrPort{address}}, s.http.Client(), clock)
	holder := beechmanifest.NewHolder()
	taken := holder.Changed()
	go func() {
		_ = beechmanifest.NewWatcher(reader, holder, clock, beechmanifest.WatcherSettings{}).Serve(ctx)
	}()
	select {
	case <-taken:
		is.Equal(holder.Generation(), uint64(1))
	case <-time.After(20 * time.Second):
		t.Fatal("no configuration within many times what its reads take at the budget's rate")
	}
}
