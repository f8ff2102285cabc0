package beechattempt

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechplace"
)

// withdrawals tells whether attempts have been withdrawn, and counts those under way.
type withdrawals struct {
	mu       sync.Mutex
	contexts []context.Context
	underway atomic.Int32
	most     int32
}

// tracks wraps a step.
func (w *withdrawals) tracks(s step) step {
	return func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		w.mu.Lock()
		w.contexts = append(w.contexts, ctx)
		w.mu.Unlock()
		return s(ctx, a)
	}
}

func (w *withdrawals) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, ctx := range w.contexts {
		if isDone(ctx) {
			n++
		}
	}
	return n
}

// hedged returns a call of a resumable stream that may be hedged twice.
func (f *fixture) hedged() *beechcall.Call {
	call := f.call(beechcall.Resumable, true)
	call.Route.MaxPause, call.Route.MaxAttempts = longestPause, 3
	return call
}

// A server never goes on. Another one continues the stream after the last event that the caller has, with the
// headers of the first, which is withdrawn only then.
func TestHedgeContinuesASilentStream(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, 5)
	w := &withdrawals{}
	f.backend.script = []step{w.tracks(func(ctx context.Context, _ beechcall.Attempt) (*beechcall.Answer, error) {
		return &beechcall.Answer{Status: http.StatusOK, Header: http.Header{"Seal": {"first"}}, Body: &silentBody{ctx, strings.NewReader(event(1) + event(2) + "id: 3\nda")}}, nil
	}), func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		is.Equal(a.LastEventID, "2")
		is.Equal(w.count(), 0)
		return f.answersLate(100*time.Millisecond, event(3)+event(4))(ctx, a)
	}}
	start := f.clock.Now()
	c := f.serve(t.Context(), f.hedged())
	is.Equal(c.body, event(1)+event(2)+event(3)+event(4))
	is.True(c.ended)
	is.Equal(c.header.Get("Seal"), "first")
	is.Equal(w.count(), 1)
	is.Equal(len(f.backend.sent), 2)
	is.Equal(f.budget.left, 4)
	is.True(f.clock.Since(start) < pauseFactor*longestPause+200*time.Millisecond)
	is.Equal(f.dispatcher.AttemptEnds(), map[string]int64{"silence": 1, "answered": 1})
	is.Equal(f.dispatcher.Silences(), map[string]int64{string(silenceHedged): 1, string(silenceWon): 1})
}

// A server goes on before the hedge has an event: the hedge is withdrawn, and nothing is held against it.
func TestHedgeIsWithdrawnWhenTheFirstGoesOn(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, 5)
	w := &withdrawals{}
	f.backend.script = []step{f.pauses(event(1), silence, event(2)), w.tracks(f.answersLate(time.Second, event(2)))}
	c := f.serve(t.Context(), f.hedged())
	f.dispatcher.Wait(t.Context())
	is.Equal(c.body, event(1)+event(2))
	is.True(c.ended)
	is.Equal(w.count(), 1)
	is.Equal(f.dispatcher.AttemptEnds()["another was first"], int64(1))
	is.Equal(f.dispatcher.Silences()[string(silenceOver)], int64(1))
	is.Equal(f.dispatcher.activities.silent(0), nil)
}

// A silent server breaks off while the hedge is under way: that becomes the attempt, and no third one is sent.
func TestHedgeBecomesTheAttempt(t *testing.T) {
	for name, end := range map[string]step{"stream": nil, "refused": refuses, "reset": resets} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(8, 5)
			begun := event(1)
			first := func(ctx context.Context, _ beechcall.Attempt) (*beechcall.Answer, error) {
				body := &pausedBody{ctx: ctx, clock: f.clock, data: strings.NewReader(begun), silence: silence, rest: failing{}}
				return &beechcall.Answer{Status: http.StatusOK, Body: body}, nil
			}
			if end != nil {
				begun = ""
				first = func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
					<-f.clock.After(silence)
					return end(ctx, a)
				}
			}
			f.backend.script = []step{first, f.answersLate(1100*time.Millisecond, event(2)), f.answersLate(time.Second, event(2))}
			call := f.hedged()
			call.Route.MaxAttempts = 2
			c := f.serve(t.Context(), call)
			is.Equal(c.body, begun+event(2))
			is.True(c.ended)
			if name != "refused" { // that one leaves an attempt for a second hedge
				is.Equal(len(f.backend.sent), 2)
			}
		})
	}
}

// A request that is not a stream: the hedge has the whole answer first.
func TestHedgeAnswersARequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, 5)
	w := &withdrawals{}
	f.backend.script = []step{w.tracks(f.pauses("half", time.Minute, "")), f.answersLate(100*time.Millisecond, "whole")}
	c := f.serve(t.Context(), f.call(beechcall.Repeatable, false))
	is.Equal(c.body, "whole")
	is.Equal(w.count(), 1)
}

// Errors of servers are better than none, but only when no attempt is left that may do better.
func TestServerErrorIsForwardedWhenNothingIsLeft(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, 5)
	f.backend.script = []step{func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		<-f.clock.After(silence)
		return resets(ctx, a)
	}, answers(http.StatusInternalServerError, "no")}
	c := f.serve(t.Context(), f.call(beechcall.Repeatable, false))
	is.Equal(c.status, http.StatusInternalServerError)
	is.Equal(f.dispatcher.AttemptEnds(), map[string]int64{"server error": 1, "server broke off": 1})
}

// A route that asks for one run is never hedged.
func TestNoHedgeForOneRun(t *testing.T) {
	for _, stream := range []bool{false, true} {
		is := is.New(t)
		f := newFixture(8, 5)
		f.backend.script = []step{f.pauses(event(1), silence, event(2)), answers(http.StatusOK, event(9))}
		call := f.call(beechcall.AtMostOnce, stream)
		call.Route.MaxAttempts = 3
		c := f.serve(t.Context(), call)
		is.Equal(c.body, event(1)+event(2))
		is.Equal(len(f.backend.sent), 1)
	}
}

// A stream that may not be resumed is not hedged once it has begun.
func TestNoHedgeForAStartedStreamThatIsNotResumable(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, 5)
	f.backend.script = []step{f.pauses(event(1), silence, event(2)), answers(http.StatusOK, event(1)+event(2))}
	c := f.serve(t.Context(), f.call(beechcall.Repeatable, true))
	is.Equal(c.body, event(1)+event(2))
	is.Equal(len(f.backend.sent), 1)
}

// A caller departs while two servers work for it: both are withdrawn.
func TestDepartureWithdrawsTheHedgeToo(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, 5)
	w := &withdrawals{}
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	f.backend.script = []step{w.tracks(fallsSilent(event(1))), w.tracks(func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		leave()
		return hangs(ctx, a)
	})}
	f.serve(ctx, f.hedged())
	f.dispatcher.Wait(t.Context())
	is.Equal(w.count(), 2)
	is.Equal(len(f.backend.sent), 2)
}

// The time is up while two servers work.
func TestDeadlineEndsTheHedgeToo(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, 5)
	w := &withdrawals{}
	f.backend.script = []step{w.tracks(func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		<-f.clock.After(silence)
		return refuses(ctx, a)
	}), w.tracks(hangs)}
	call := f.call(beechcall.Repeatable, false)
	call.Route.MaxAttempts = 2
	c := f.serve(t.Context(), call)
	f.dispatcher.Wait(t.Context())
	is.Equal(c.rejection, DeadlineExceeded{}) // not "not executed": the hedge may have been
	is.Equal(w.count(), len(f.backend.sent))
}

// Servers fall silent at the same moment: their streams are not hedged onto one another, and no retry
// is spent.
func TestServersThatFallSilentTogetherGetNoHedges(t *testing.T) {
	for _, sound := range []int{0, 1} {
		t.Run(fmt.Sprint(sound, " sound"), func(t *testing.T) {
			is := is.New(t)
			const streams = 24
			f := newFixture(4+sound, streams)
			f.backend.script = []step{func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
				if a.LastEventID != "" {
					is.Equal(a.Server.ID, "s4")
					return answers(http.StatusOK, event(2))(ctx, a)
				}
				if a.Server.ID == "s4" {
					return answers(http.StatusOK, event(1)+event(2))(ctx, a)
				}
				return f.pauses(event(1), silence, event(2))(ctx, a)
			}}
			var served sync.WaitGroup
			for i := range streams {
				call := f.hedged()
				call.ID = fmt.Sprint("id", i)
				served.Go(func() {
					time.Sleep(time.Duration(i) * 100 * time.Microsecond)
					c := &caller{}
					f.dispatcher.Serve(t.Context(), call, c)
					if c.body != event(1)+event(2) || !c.ended {
						t.Errorf("%s: %q", call.ID, c.body)
					}
				})
			}
			f.advanceUntil(&served)
			if sound == 0 {
				is.Equal(f.budget.left, streams)
				is.Equal(len(f.backend.sent), streams)
			}
		})
	}
}

// emptied reports whether no server is remembered, within the time that timers take to run.
func (s *activities) emptied() bool {
	for range 1000 {
		s.mu.Lock()
		left := len(s.servers)
		s.mu.Unlock()
		if left == 0 {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// advanceUntil advances the clock until all calls are served.
func (f *fixture) advanceUntil(served *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		served.Wait()
	}()
	for !isClosed(done) {
		time.Sleep(200 * time.Microsecond)
		f.clock.Advance(5 * time.Millisecond)
	}
}

// Hedges that cannot be sent after all must not spend the budget that other calls need.
func TestWithdrawnHedgesSpendFewRetries(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, 100)
	f.backend.script = []step{f.pauses(event(1), 4*time.Second, event(2)), func(_ context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		return nil, beechcall.NotSent{Peer: a.Server.Address, Step: "send", Err: beechcall.ErrWithdrawn}
	}}
	c := f.serve(t.Context(), f.hedged())
	is.Equal(c.body, event(1)+event(2))
	is.True(f.budget.left >= 100-8) // of some thirty that a fixed delay would take
}

// No other server is there when the time-out passes, but a little later.
func TestHedgeIsSentOnceThereIsAServer(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 5)
	f.backend.script = []step{fallsSilent(event(1)), answers(http.StatusOK, event(2))}
	f.placer.SetServers(f.servers[:1])
	call := f.hedged()
	c := &caller{}
	var served sync.WaitGroup
	start := f.clock.Now()
	served.Go(func() { f.dispatcher.Serve(t.Context(), call, c) })
	go func() {
		for f.clock.Since(start) < 1500*time.Millisecond {
			time.Sleep(time.Millisecond)
		}
		f.placer.SetServers(f.servers)
	}()
	f.advanceUntil(&served)
	is.Equal(c.body, event(1)+event(2))
	is.True(f.clock.Since(start) < 2500*time.Millisecond)
	is.Equal(f.budget.left, 4)
}

// A server that refuses is followed by another one soon, and not after the next time-out only.
func TestRefusedHedgeIsFollowedByAnother(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, 5)
	f.backend.script = []step{fallsSilent(event(1)), refuses, unreachable, answers(http.StatusOK, event(2))}
	start := f.clock.Now()
	c := f.serve(t.Context(), f.hedged())
	is.Equal(c.body, event(1)+event(2))
	is.True(f.clock.Since(start) < 1500*time.Millisecond)
	is.Equal(len(f.backend.sent), 4)
}

// Servers crash on what a silent call has: it is not sent to one more.
func TestNoHedgeForWhatServersCrashOn(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, 50)
	call := f.hedged()
	f.backend.script = []step{func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		for id := range uint64(6) {
			f.poison.RecordCrash(id, f.clock.Now().Add(time.Duration(id)*time.Second), []beechpoison.Request{requestOf(call)})
		}
		return f.pauses(event(1), silence, event(2))(ctx, a)
	}, answers(http.StatusOK, event(2))}
	c := f.serve(t.Context(), call)
	is.Equal(c.body, event(1)+event(2))
	is.Equal(len(f.backend.sent), 1)
}

// Whatever servers do, a call is at no time executed by more of them than its route allows, events reach the
// caller in order, each once, and a stream that has ended is whole.
func TestHedgedCallsKeepTheirBounds(t *testing.T) {
	for seed := range uint64(120) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 61))
			servers, retries, attempts := 1+random.IntN(6), random.IntN(5), 1+random.IntN(4)
			f := newFixture(servers, retries)
			for _, s := range f.servers {
				f.reachable[s.Address] = random.IntN(4) > 0
			}
			policy := []beechcall.RetryPolicy{beechcall.AtMostOnce, beechcall.Repeatable, beechcall.Resumable}[random.IntN(3)]
			underway := &withdrawals{}
			var executed atomic.Int32
			for range 8 {
				f.backend.script = append(f.backend.script, underway.bounded(f.randomStep(random, &executed)))
			}
			call := f.call(policy, random.IntN(4) > 0)
			call.Route.MaxPause, call.Route.MaxAttempts = longestPause, attempts
			stream := call.Route.Stream
			c := &slowCaller{clock: f.clock, takes: time.Duration(random.IntN(3)*400+1) * time.Millisecond}
			var served sync.WaitGroup
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			leaves := random.IntN(4) == 0
			if leaves {
				stays := f.clock.AfterFunc(time.Duration(random.IntN(3000))*time.Millisecond, leave)
				defer stays.Stop()
			}
			served.Go(func() { f.dispatcher.Serve(ctx, call, c) })
			f.advanceUntil(&served)
			f.dispatcher.Wait(t.Context())
			f.dispatcher.crashes.probes.Wait()
			if most := int(underway.most); most > attempts || policy == beechcall.AtMostOnce && int(executed.Load()) > 1 || int(executed.Load()) > attempts {
				t.Errorf("%d at a time, %d in all, route allows %d", most, executed.Load(), attempts)
			}
			if used := len(f.backend.sent) - 1; used > retries+maxAttempts {
				t.Errorf("%d retries of %d", used, retries)
			}
			whole := ""
			for id := 1; id <= lastOfStream; id++ {
				whole += event(id)
			}
			if stream && c.status == http.StatusOK && (!strings.HasPrefix(whole, c.body) || c.ended == c.broken && !leaves || c.ended && c.body != whole) {
				t.Errorf("ended %v, broken %v: %q", c.ended, c.broken, c.body)
			}
			for _, server := range f.servers {
				if n := f.placer.StartAttempt(call, beechplace.Choice{Server: server}).ServerState().InFlight; n != 1 {
					t.Errorf("%d attempts at %s not ended", n-1, server.ID)
				}
			}
			f.clock.Advance(silenceMemory)
			if !f.dispatcher.activities.emptied() {
				t.Error("attempts that have ended count as under way")
			}
		})
	}
}

const lastOfStream = 4

// bounded counts the attempts under way that may be executed.
func (w *withdrawals) bounded(s step) step {
	return func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		n := w.underway.Add(1)
		w.mu.Lock()
		w.most = max(w.most, n)
		w.mu.Unlock()
		answer, err := s(ctx, a)
		if err != nil {
			w.underway.Add(-1)
			return nil, err
		}
		answer.Body = &countedBody{ReadCloser: answer.Body, closed: sync.OnceFunc(func() { w.underway.Add(-1) })}
		return answer, nil
	}
}

type countedBody struct {
	io.ReadCloser
	closed func()
}

func (b *countedBody) Close() error {
	b.closed()
	return b.ReadCloser.Close()
}

// A hedge has an answer in the moment in which its caller leaves: nothing of it is kept.
func TestHedgeThatWinsTooLateIsEnded(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 5)
	call := f.hedged()
	r := &execution{dispatcher: f.dispatcher, call: call, out: &caller{}, callerCtx: t.Context()}
	var body countedBody
	closed := false
	body.ReadCloser, body.closed = io.NopCloser(strings.NewReader("")), func() { closed = true }
	start := func(i int) *exchange {
		choice := beechplace.Choice{Server: f.servers[i]}
		return &exchange{call: call, choice: choice, placement: f.placer.StartAttempt(call, choice), activity: f.dispatcher.activities.begin(choice.Server.ID), withdraw: func(error) {}}
	}
	first, second := start(0), start(1)
	second.answer = &beechcall.Answer{Body: &body}
	r.beginExchange(t.Context(), first, time.Second)
	r.hedging.winner = second
	r.hedging.close()
	is.True(closed)
	is.Equal(second.placement.ServerState().InFlight, 0)
	is.Equal(len(f.dispatcher.activities.servers), 1) // the first one's, which its sender ends
}

// randomStep returns what a server does: events after the last one of the attempt, with a silence
// somewhere, or a failure.
func (f *fixture) randomStep(random *rand.Rand, executed *atomic.Int32) step {
	kind, at, long := random.IntN(9), random.IntN(lastOfStream+1), time.Duration(random.IntN(30))*100*time.Millisecond
	before := time.Duration(random.IntN(2)*random.IntN(20)) * 100 * time.Millisecond
	return func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		switch kind {
		case 0:
			return unreachable(ctx, a)
		case 1:
			select {
			case <-f.clock.After(before):
			case <-ctx.Done():
			}
			return refuses(ctx, a)
		}
		executed.Add(1)
		select {
		case <-f.clock.After(before):
		case <-ctx.Done():
			return hangs(ctx, a)
		}
		var head, tail strings.Builder
		last := 0
		_, _ = fmt.Sscan(a.LastEventID, &last)
		for id := last + 1; id <= lastOfStream; id++ {
			if id <= at {
				head.WriteString(event(id))
			} else {
				tail.WriteString(event(id))
			}
		}
		rest := io.Reader(strings.NewReader(tail.String()))
		switch kind {
		case 2:
			return resets(ctx, a)
		case 3:
			return answers(http.StatusInternalServerError, "no")(ctx, a)
		case 4:
			rest = failing{}
		case 5:
			long = time.Hour
		}
		return &beechcall.Answer{Status: http.StatusOK, Body: &pausedBody{ctx: ctx, clock: f.clock, data: strings.NewReader(head.String()), silence: long, rest: rest}}, nil
	}
}

// A silent server that all attempts have left must not be taken for sound by the hedges that follow.
func TestSilentServerIsRememberedAfterItsAttemptsHaveLeft(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	s := newActivities(clock)
	a := s.begin("e1")
	s.beginReading(a, clock.Now())
	clock.Advance(time.Second)
	s.markSilent(a)
	a.reading.Add(-1)
	s.end(a)
	is.Equal(s.silent(time.Second), []string{"e1"})
	clock.Advance(silenceMemory - time.Millisecond)
	is.Equal(s.silent(time.Second), []string{"e1"})
	again := s.begin("e1")
	s.heard(again, clock.Now()) // it goes on
	is.Equal(len(s.silent(time.Second)), 0)
	s.end(again)
	clock.Advance(time.Millisecond)
	is.True(s.emptied())
}

// The handling of a second server's answer panics. The process must live, and the stream go on with its
// first server.
func TestHedgeThatPanicsEndsNothingElse(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 5)
	f.backend.script = []step{
		func(ctx context.Context, _ beechcall.Attempt) (*beechcall.Answer, error) {
			body := &pausedBody{ctx: ctx, clock: f.clock, data: strings.NewReader("id: 1\ndata: a\n\n"), silence: silence, rest: strings.NewReader("id: 2\ndata: b\n\n")}
			return &beechcall.Answer{Status: http.StatusOK, Body: body}, nil
		},
		func(context.Context, beechcall.Attempt) (*beechcall.Answer, error) { panic("bad answer") },
	}
	c := f.serve(t.Context(), f.hedged())
	f.dispatcher.Wait(t.Context())
	is.Equal(len(f.backend.sent), 2)
	is.True(c.ended)
	is.True(!c.broken)
	is.Equal(c.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}
