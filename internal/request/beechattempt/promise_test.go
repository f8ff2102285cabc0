package beechattempt

import (
	"context"
	"net/http"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/beechring/beechring/internal/request/beechcall"
)

// notRunStatuses tell a caller that its request has not run and never
// will, so that it may be sent again.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// Whatever servers answer, a caller whose request may not be repeated is told that it has not run
// only if no server may have run it. Otherwise it sends the booking again, and it is made twice.
func TestNotRunIsOnlySaidWhereItIsTrue(t *testing.T) {
	type outcome struct {
		name   string
		mayRun bool
		step   step
	}
	outcomes := []outcome{
		{"not sent", false, func(context.Context, beechcall.Attempt) (*beechcall.Answer, error) {
			return nil, beechcall.NotSent{Err: errReset}
		}},
		{"turned away", false, func(context.Context, beechcall.Attempt) (*beechcall.Answer, error) {
			return nil, beechcall.NotExecuted{Status: http.StatusServiceUnavailable}
		}},
		{"another lifetime", false, func(context.Context, beechcall.Attempt) (*beechcall.Answer, error) {
			return nil, beechcall.NotExecuted{Status: http.StatusMisdirectedRequest, Replaced: true}
		}},
		{"no answer", true, func(context.Context, beechcall.Attempt) (*beechcall.Answer, error) {
			return nil, beechcall.OutcomeUnknown{Step: "read", Err: errReset}
		}},
		{"broken answer", true, breaks("half")},
	}
	for _, status := range append([]int{http.StatusOK, http.StatusInternalServerError, http.StatusGatewayTimeout}, notRunStatuses...) {
		outcomes = append(outcomes, outcome{http.StatusText(status), true, answers(status, "body")})
	}
	rapid.Check(t, func(t *rapid.T) {
		drawn := rapid.SliceOfN(rapid.IntRange(0, len(outcomes)-1), 1, 6).Draw(t, "outcomes")
		var script []step
		for _, i := range drawn {
			script = append(script, outcomes[i].step)
		}
		f := newFixture(4, rapid.IntRange(0, 4).Draw(t, "retries"), script...)
		stream := rapid.Bool().Draw(t, "stream")
		call := f.call(beechcall.AtMostOnce, stream)
		c := f.serve(context.Background(), call)
		mayHaveRun := false
		for n := range f.backend.sent {
			mayHaveRun = mayHaveRun || outcomes[drawn[min(n, len(drawn)-1)]].mayRun
		}
		_, refused := c.rejection.(NotExecuted)
		_, overQuota := c.rejection.(QuotaExceeded)
		if mayHaveRun && (refused || overQuota || slices.Contains(notRunStatuses, c.status)) {
			t.Fatalf("status %d, rejection %v, though a server may have run it", c.status, c.rejection)
		}
		var unknown OutcomeUnknown
		if rejection, ok := c.rejection.(OutcomeUnknown); ok {
			unknown = rejection
		}
		if !mayHaveRun && unknown != (OutcomeUnknown{}) {
			t.Fatalf("outcome unknown (%s), though no server has run it", unknown.Reason)
		}
	})
}
