package beechattempt

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/beechring/beechring/internal/decision/beechretry"
	"github.com/beechring/beechring/internal/request/beechcall"
)

type (
	// oneBudget is one service's budget.
	oneBudget struct{ *beechretry.Budget }

	// endings keeps the results of calls.
	endings struct {
		ignoring
		results []Result
	}
)

func (b oneBudget) RecordRequest(string) { b.Budget.RecordRequest() }

func (b oneBudget) Decide(_ string, o beechretry.Outcome) beechretry.Decision {
	return b.Budget.Decide(o)
}

func (e *endings) ObserveEnd(r Result) { e.results = append(e.results, r) }

// A request is refused with "no more tries", and the log does not say which of the bounds ended it.
func TestLogSaysWhyThereIsNoRetry(t *testing.T) {
	overdue := func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		<-ctx.Done()
		return refuses(ctx, a)
	}
	for _, test := range []struct {
		name    string
		policy  beechcall.RetryPolicy
		stream  bool
		reserve int
		script  []step
		want    string
	}{
		{"budget", beechcall.Repeatable, false, 0, []step{refuses}, "retry budget spent"},
		{"budget, reset", beechcall.Repeatable, false, 0, []step{resets}, "retry budget spent"},
		{"rejected five times", beechcall.Repeatable, false, 20, []step{refuses}, "attempts used up"},
		{"not sent five times", beechcall.Repeatable, false, 20, []step{unreachable}, "attempts used up"},
		{"reset as often as the route allows", beechcall.Repeatable, false, 20, []step{resets}, "attempts used up"},
		{"reset", beechcall.AtMostOnce, false, 20, []step{resets}, "not repeatable"},
		{"refused at the deadline", beechcall.AtMostOnce, false, 20, []step{overdue}, "no time left"},
		{"silent until the deadline", beechcall.AtMostOnce, false, 20, []step{hangs}, "no time left"},
		{"status without proof", beechcall.AtMostOnce, false, 20, []step{answers(http.StatusServiceUnavailable, "")}, "status not proven"},
		{"other answer than a stream", beechcall.Resumable, true, 20, []step{breaks(event(1)), answers(http.StatusNotFound, "")}, "stream not continued"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(8, 0, test.script...)
			budget := beechretry.New(beechretry.Settings{Window: time.Minute, RetryPercent: 1, MaxAttempts: 8}, f.clock, rand.NewPCG(1, 2))
			budget.SetReserve(test.reserve)
			core, logs := observer.New(zapcore.WarnLevel)
			ended := &endings{}
			f.dispatcher.budget, f.dispatcher.observer, f.dispatcher.log = oneBudget{budget}, ended, zap.New(core)
			f.serve(t.Context(), f.call(test.policy, test.stream))
			is.Equal(logs.Len(), 1)
			is.Equal(logs.All()[0].ContextMap()["cause"], test.want)
			is.Equal(ended.results[0].Stop, test.want)
		})
	}
}
