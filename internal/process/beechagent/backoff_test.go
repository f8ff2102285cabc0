package beechagent

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechbackend"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/state/beechstore"
)

// newBackoffAgent returns an agent with a live backend server, without its background tasks except
// the scheduler.
func newBackoffAgent(t *testing.T) *Agent {
	t.Helper()
	clock := clockwork.NewRealClock()
	a, err := New(&beechsettings.Agent{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Common: beechsettings.Common{Admin: netip.MustParseAddrPort("127.0.0.1:0")}},
		Dependencies{Clock: clock, Log: zap.NewNop(), Store: beechstore.NewFake(clock)})
	if err != nil {
		t.Fatal(err)
	}
	a.backend.setReport(beechbackend.Report{Incarnation: 1, Slots: 4})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = a.scheduler.serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done; _ = a.listener.Close(); a.records.Close() })
	return a
}

// A backend server rejects a request and asks for none within two seconds. Neither new requests nor
// those that waited in the agent's queue may be sent to it, until it has restarted.
func TestBackendThatAsksForBackoffGetsNoRequests(t *testing.T) {
	is := is.New(t)
	a := newBackoffAgent(t)
	ctx := context.Background()
	deadline := a.clock.Now().Add(time.Minute)
	refused := &attempt{agent: a, generation: newTestGeneration(a.clock, "refused", 0)}
	_ = refused.failureReply(ctx, &beechbackend.Refused{Status: http.StatusServiceUnavailable, After: 2 * time.Second})

	reply, ok := a.admit(ctx, beechlink.Peer{}, &beechwire.Request{ID: "new"}, nil).(beechlink.RefusedReply)
	is.True(ok)
	is.Equal(reply.Refused.Reason, beechwire.ReasonBusy)
	is.True(reply.Refused.AfterMillis > 1000)

	queued := newTestGeneration(a.clock, "queued", 0)
	is.True(a.start(ctx, queued, deadline, func(error) {}) == nil)

	a.observeRestart(1)
	started := a.start(ctx, newTestGeneration(a.clock, "after", 0), deadline, func(error) {})
	is.True(started != nil)
	a.running.remove(started.id)
}
