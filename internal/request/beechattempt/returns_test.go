package beechattempt

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/request/beechcall"
)

// fixedReturns decides for the callers of one service only.
type fixedReturns struct {
	service string
	after   time.Duration
}

func (f fixedReturns) After(call *beechcall.Call) (time.Duration, bool) {
	return f.after, call.Service == f.service
}

// A refused caller must be told the time that is decided for its service, and elsewhere the same as
// without such decisions.
func TestRefusedCallerIsToldItsTime(t *testing.T) {
	is := is.New(t)
	for _, service := range []string{"app", "other"} {
		f := newFixture(0, 0, refuses)
		f.dispatcher.SetReturns(fixedReturns{service: service, after: 1234 * time.Millisecond})
		rejection, ok := f.serve(t.Context(), f.call(beechcall.Repeatable, false)).rejection.(NotExecuted)
		is.True(ok)
		if service == "app" {
			is.Equal(rejection.RetryAfter, 1234*time.Millisecond)
		} else {
			is.True(rejection.RetryAfter >= defaultRetryAfter/2 && rejection.RetryAfter < defaultRetryAfter*3/2)
		}
	}
}
