package beechattempt

import (
	"context"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/decision/beechsurvival"
	"github.com/beechring/beechring/internal/request/beechcall"
)

func (f *fixture) poisonCall(policy beechcall.RetryPolicy, id string) *beechcall.Call {
	call := f.call(policy, true)
	call.ID, call.Body = id, []byte(id)
	call.Parts = []beechcall.Part{{ID: "bad", Tokens: 10}, {ID: id, Tokens: 10}}
	call.Route.MaxAttempts = 3
	return call
}

// crashBefore records crashes under the part at earlier moments.
func (f *fixture) crashBefore(moments int) {
	for n := range moments {
		f.poison.RecordCrash(uint64(100+n), f.clock.Now(), []beechpoison.Request{{Traits: traitsOf(f.poisonCall(beechcall.Repeatable, string(rune('a'+n))))[:1]}, {Workspace: 1, Traits: traitsOf(f.poisonCall(beechcall.Repeatable, "x"))[:1]}})
		f.clock.Advance(time.Second)
	}
}

// A request has crashed a server, and is retried before that is known.
func TestRequestThatCrashedAServerIsNotRetried(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, 5, breaks(""))
	f.crashBefore(1)
	c := f.serve(t.Context(), f.poisonCall(beechcall.Repeatable, "one"))
	is.Equal(len(f.backend.sent), 1)
	_, unknown := c.rejection.(OutcomeUnknown)
	is.True(unknown)
	c = f.serve(t.Context(), f.poisonCall(beechcall.Repeatable, "two"))
	is.Equal(len(f.backend.sent), 1)
	refused, ok := c.rejection.(NotExecuted)
	is.True(ok)
	is.True(refused.RetryAfter > 5*time.Second)
}

// A trial crashes its server. Neither it nor another request is sent to a second one.
func TestTrialIsNotRetried(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, 5, breaks(""))
	f.crashBefore(2)
	f.clock.Advance(10 * time.Second)
	f.serve(t.Context(), f.poisonCall(beechcall.Repeatable, "trial"))
	is.Equal(len(f.backend.sent), 1)
	f.clock.Advance(time.Minute)
	c := f.serve(t.Context(), f.poisonCall(beechcall.Repeatable, "later"))
	is.Equal(len(f.backend.sent), 1)
	_, refused := c.rejection.(NotExecuted)
	is.True(refused)
}

// A request has been chosen a server and waits for a connection when servers crash on its part
// elsewhere.
func TestRequestIsLookedAtAgainBeforeItIsSent(t *testing.T) {
	is := is.New(t)
	var f *fixture
	f = newFixture(2, 5, func(_ context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		f.crashBefore(2)
		if !a.Withdrawn() {
			t.Error("sent")
		}
		return nil, beechcall.NotSent{Peer: a.Server.Address, Step: "send", Err: beechcall.ErrWithdrawn}
	})
	c := f.serve(t.Context(), f.poisonCall(beechcall.Repeatable, "waiting"))
	is.Equal(len(f.backend.sent), 1)
	_, refused := c.rejection.(NotExecuted)
	is.True(refused)
}

// refusing is a prober to whom servers refuse connections.
type refusing struct{}

func (refusing) Probe(context.Context, netip.AddrPort) error { return syscall.ECONNREFUSED }

// An unframed answer ends in order as its server crashes: it is not whole, and goes to another server
// where it may.
func TestUnframedAnswerOfACrashedServer(t *testing.T) {
	for _, policy := range []beechcall.RetryPolicy{beechcall.Repeatable, beechcall.AtMostOnce} {
		is := is.New(t)
		f := newFixture(2, 5, unframed(answers(http.StatusOK, "half")), answers(http.StatusOK, "whole"))
		f.dispatcher.crashes.prober, f.dispatcher.survivals = refusing{}, beechsurvival.New(lifetimes{f.placer, f.backend, refusing{}}, f.clock)
		c := f.serve(t.Context(), f.call(policy, false))
		if policy == beechcall.Repeatable {
			is.Equal(c.body, "whole")
			continue
		}
		_, unknown := c.rejection.(OutcomeUnknown)
		is.True(unknown)
	}
}

// Guards against half of an answer of a leaving server that exits being taken for whole.
func TestUnframedAnswerOfALeavingServerThatExits(t *testing.T) {
	for _, policy := range []beechcall.RetryPolicy{beechcall.Repeatable, beechcall.AtMostOnce} {
		is := is.New(t)
		half := unframed(answers(http.StatusOK, "half"))
		f := newFixture(2, 5, func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
			answer, err := half(ctx, a)
			answer.Leaving = true
			return answer, err
		}, answers(http.StatusOK, "whole"))
		f.dispatcher.survivals = beechsurvival.New(lifetimes{f.placer, f.backend, refusing{}}, f.clock)
		c := f.serve(t.Context(), f.call(policy, false))
		if policy == beechcall.Repeatable {
			is.Equal(c.body, "whole")
			continue
		}
		_, unknown := c.rejection.(OutcomeUnknown)
		is.True(unknown)
	}
}

func unframed(s step) step {
	return func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		answer, err := s(ctx, a)
		answer.Unframed = true
		return answer, err
	}
}
