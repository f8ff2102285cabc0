package beechattempt

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechadmission"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// events is a body with an event for each read.
type events struct{ left int }

func (e *events) Read(p []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	e.left--
	return copy(p, "id: 1\ndata: x\n\n"), nil
}

func (e *events) Close() error { return nil }

type discards struct{ caller }

func (d *discards) SendEvents([]byte) error { return nil }

// BenchmarkEvents forwards the events of streams whose servers are never silent.
func BenchmarkEvents(b *testing.B) {
	for name, policy := range map[string]beechcall.RetryPolicy{"resumable": beechcall.Resumable, "once": beechcall.AtMostOnce} {
		b.Run(name, func(b *testing.B) {
			const perStream = 1000
			f := newFixture(4, 5, func(context.Context, beechcall.Attempt) (*beechcall.Answer, error) {
				return &beechcall.Answer{Status: http.StatusOK, Body: &events{left: perStream}}, nil
			})
			clock := clockwork.NewRealClock()
			d := New(f.placer, f.backend, f.reachable, f.budget, f.suspects, f.poison, beechadmission.New(beechadmission.Auto, clock), ignoring{}, clock, zap.NewNop())
			b.ReportAllocs()
			for b.Loop() {
				f.backend.sent = f.backend.sent[:0]
				call := f.call(policy, true)
				call.Deadline, call.Route.MaxPause = time.Now().Add(time.Minute), longestPause
				d.Serve(b.Context(), call, &discards{})
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/perStream, "ns/event")
		})
	}
}
