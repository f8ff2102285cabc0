package beechagent

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/state/beechfence"
)

// orderTrace records how far an order to the backend server got. The HTTP client sets the
// times from its own goroutines.
type orderTrace struct {
	clock     clockwork.Clock
	connected atomic.Pointer[time.Time]
	written   atomic.Pointer[time.Time]
}

// attach returns a context whose HTTP request is recorded.
func (o *orderTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { o.record(&o.connected) },
		WroteRequest: func(httptrace.WroteRequestInfo) { o.record(&o.written) },
	})
}

func (o *orderTrace) record(at *atomic.Pointer[time.Time]) {
	now := o.clock.Now()
	at.Store(&now)
}

// logOrder logs the fencing number of an order, when it was read and when the order left.
// A process that is paused between the two sends an order that is older than it looks. The
// times of an attempt whose bytes did not leave are omitted: the HTTP client reports a request as
// written before it flushes its buffer.
func (a *Agent) logOrder(kind, model string, guard *beechfence.Guard, trace *orderTrace, err error) {
	t := guard.LastTiming()
	fields := []zap.Field{
		beechlog.Step(kind), beechlog.Peer(a.settings.Backend), zap.String("model", model), zap.Uint64("fence", t.Number),
		zap.Time("readAt", t.ReadAt),
	}
	if !t.SentAt.IsZero() {
		fields = append(fields, zap.Time("sendAt", t.SentAt),
			zap.Timep("connectedAt", trace.connected.Load()), zap.Timep("writtenAt", trace.written.Load()))
	}
	if err != nil {
		a.log.Warn("order not given", append(fields, zap.Error(err))...)
		return
	}
	a.log.Info("order given", fields...)
}
