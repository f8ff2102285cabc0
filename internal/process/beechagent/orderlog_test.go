package beechagent

import (
	"context"
	"errors"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/beechring/beechring/internal/process/beechbackend"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/state/beechfence"
	"github.com/beechring/beechring/internal/state/beechstore"
)

// Guards against a log line that names a time of writing for an order that never left.
func TestOrderThatDidNotLeaveHasNoTimeOfWriting(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	store := beechstore.NewFake(clock)
	e := startOrderedEngine(t)
	client := e.client()
	guard := beechfence.New(store, clock, e.address, beechfence.Settings{})
	trace := &orderTrace{clock: clock}
	s := &stop{at: beforeFirstByte, run: func() { e.takeOver(t, clock, store) }}
	err := guard.Order(t.Context(), func(ctx context.Context, fence uint64) error {
		return client.Order(trace.attach(s.traced(ctx)), beechbackend.Order{Fence: fence, Load: firstHolderOnceUp})
	})
	var expired beechfence.LeaseExpired
	is.True(errors.As(err, &expired))
	is.Equal(len(e.seen()), 1) // the newer holder's
	core, lines := observer.New(zap.InfoLevel)
	a := &Agent{settings: &beechsettings.Agent{Backend: e.address}, log: zap.New(core)}
	a.logOrder("load", firstHolderOnceUp, guard, trace, err)
	fields := lines.All()[0].ContextMap()
	t.Log(fields)
	for _, name := range []string{"sendAt", "connectedAt", "writtenAt"} {
		_, ok := fields[name]
		is.True(!ok)
	}
	is.True(trace.written.Load() != nil) // what the HTTP client said
}
