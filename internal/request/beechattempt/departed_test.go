package beechattempt

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/request/beechcall"
)

// serveUntil answers a call whose caller departs, unknown to its context, once the dispatcher's
// clock has advanced by after. It returns how the call ended.
func (f *fixture) serveUntil(t *testing.T, call *beechcall.Call, after time.Duration) (*caller, Result) {
	c, observed := &caller{}, &endings{}
	f.dispatcher.observer = observed
	start := f.clock.Now()
	if after == 0 {
		c.departed.Store(true)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.dispatcher.Serve(t.Context(), call, c)
	}()
	for {
		select {
		case <-done:
			return c, observed.results[0]
		case <-time.After(200 * time.Microsecond):
			f.clock.Advance(5 * time.Millisecond)
			if f.clock.Since(start) >= after {
				c.departed.Store(true)
			}
		}
	}
}

// The caller's close is known to its socket before it is known to the context.
func TestNothingIsSentForADepartedCaller(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, 5, answers(http.StatusOK, "whole"))
	c, result := f.serveUntil(t, f.call(beechcall.Repeatable, false), 0)
	is.Equal(len(f.backend.sent), 0)
	is.Equal(c.status, 0)
	is.Equal(result.Outcome, OutcomeLeft)
	is.Equal(result.Progress, NotSent)
}

// The caller departs while the call waits for a server to become available.
func TestDepartureWhileWaitingForAServer(t *testing.T) {
	is := is.New(t)
	f := newFixture(0, 5, answers(http.StatusOK, "whole"))
	call := f.call(beechcall.Repeatable, false)
	call.Route.Objective = 10 * time.Second
	c, result := f.serveUntil(t, call, 100*time.Millisecond)
	is.Equal(len(f.backend.sent), 0)
	is.Equal(c.rejection, nil)
	is.Equal(result.Outcome, OutcomeLeft)
	is.True(result.Duration < 200*time.Millisecond)
}

// The caller departs while the connection to a server is made.
func TestDepartureWhileConnecting(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, 5, func(_ context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		for !a.Withdrawn() {
			time.Sleep(time.Millisecond)
		}
		return nil, beechcall.NotSent{Peer: a.Server.Address, Step: "send", Err: beechcall.ErrWithdrawn}
	})
	_, result := f.serveUntil(t, f.call(beechcall.AtMostOnce, false), 50*time.Millisecond)
	is.Equal(len(f.backend.sent), 1)
	is.Equal(result.Outcome, OutcomeLeft)
	is.Equal(result.Attempts, 0)
}

// The caller departs while its first attempt fails, or hangs for as long as a retry would need.
func TestNoRetryForADepartedCaller(t *testing.T) {
	for name, first := range map[string]step{"resets": resets, "hangs": hangs, "refuses": refuses, "fails": answers(http.StatusInternalServerError, "no")} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(3, 5, func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
				for !a.Withdrawn() {
					time.Sleep(time.Millisecond)
				}
				return first(ctx, a)
			}, answers(http.StatusOK, "whole"))
			_, result := f.serveUntil(t, f.call(beechcall.Repeatable, false), 50*time.Millisecond)
			is.Equal(len(f.backend.sent), 1)
			is.Equal(f.budget.left, 5)
			is.Equal(result.Outcome, OutcomeLeft)
		})
	}
}

// A deadline that passes before an attempt is written says nothing of its server.
func TestWithdrawnAttemptIsNotHeldAgainstItsServer(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 5, func(_ context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		return nil, beechcall.NotSent{Peer: a.Server.Address, Step: "send", Err: beechcall.ErrWithdrawn}
	}, answers(http.StatusOK, "whole"))
	c := f.serve(t.Context(), f.call(beechcall.AtMostOnce, false))
	is.Equal(c.status, http.StatusOK)
}
