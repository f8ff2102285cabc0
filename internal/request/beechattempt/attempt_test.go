package beechattempt

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechadmission"
	"github.com/beechring/beechring/internal/decision/beechbackoff"
	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/decision/beechretry"
	"github.com/beechring/beechring/internal/decision/beechsaturation"
	"github.com/beechring/beechring/internal/decision/beechsurvival"
	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/decision/beechthrottle"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechfresh"
	"github.com/beechring/beechring/internal/request/beechplace"
)

type (
	// backend answers attempts by a script with one step per attempt; the last step
	// repeats.
	backend struct {
		mu     sync.Mutex
		script []func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error)
		sent   []beechcall.Attempt

		copiedTo []netip.AddrPort // engines that got copies
		noCopies bool             // none can be made
		handle   string           // of all copies; empty: one for each call
		dropped  []string         // copies, as peer/handle

		dropsHeld chan struct{} // copies are freed once it is closed; nil: at once
	}

	// budget grants a number of retries.
	budget struct {
		mu   sync.Mutex
		left int
	}

	caller struct {
		mu        sync.Mutex
		rejection Rejection
		status    int
		header    http.Header
		body      string
		ended     bool
		broken    bool
		sendErr   error
		departed  atomic.Bool // its connection is closed, and the context does not tell yet
	}

	fullyUsable struct{}
	ignoring    struct{}

	// reachable lists the servers that accept connections; the others are down.
	reachable map[netip.AddrPort]bool
)

var errReset = errors.New("connection reset")

func (fullyUsable) Weight(netip.AddrPort) float64 { return 1 }

func (ignoring) ObserveAttempt(beechcall.Server, string, time.Duration, int, bool) {}
func (ignoring) ObserveSend(*beechcall.Call, beechcall.Server, time.Duration)      {}
func (ignoring) ObserveStart(*beechcall.Call)                                      {}
func (ignoring) ObserveEnd(Result)                                                 {}

func (s reachable) Probe(_ context.Context, peer netip.AddrPort) error {
	if s[peer] {
		return nil
	}
	return errReset
}

func (b *budget) RecordRequest(string) {}

func (b *budget) Decide(_ string, o beechretry.Outcome) beechretry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left <= 0 || (o.Ran != beechretry.RanNo && !o.Repeatable) {
		return beechretry.GiveUp{Exhausted: b.left <= 0}
	}
	b.left--
	return beechretry.Retry{}
}

func (b *backend) Send(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
	b.mu.Lock()
	step := b.script[min(len(b.sent), len(b.script)-1)]
	b.sent = append(b.sent, a)
	b.mu.Unlock()
	return step(ctx, a)
}

func (b *backend) CopyRun(_ context.Context, server netip.AddrPort, callID string, to netip.AddrPort) (beechcall.CopyName, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.copiedTo = append(b.copiedTo, to)
	if b.noCopies {
		return beechcall.CopyName{}, errReset
	}
	return beechcall.CopyName{Source: server, Handle: cmp.Or(b.handle, "copy-"+callID)}, nil
}

func (b *backend) DropCopy(_ context.Context, peer netip.AddrPort, name beechcall.CopyName) error {
	if b.dropsHeld != nil {
		<-b.dropsHeld
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropped = append(b.dropped, peer.String()+"/"+name.Handle)
	return nil
}

func (b *backend) Identify(context.Context, netip.AddrPort, beechcall.Service) (beechsurvival.Lifetime, error) {
	return beechsurvival.Lifetime{}, errReset
}

func (c *caller) Reject(r Rejection) { c.rejection = r }

func (c *caller) Respond(status int, h http.Header, body []byte) {
	c.status, c.header, c.body = status, h, string(body)
}

func (c *caller) StartStream(status int, h http.Header) { c.status, c.header = status, h }

func (c *caller) SendEvents(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body += string(data)
	return c.sendErr
}

func (c *caller) EndStream()     { c.ended = true }
func (c *caller) AbortStream()   { c.broken = true }
func (c *caller) Departed() bool { return c.departed.Load() }

func (c *caller) SinceHeard() (time.Duration, bool) { return 0, false }

type fixture struct {
	dispatcher *Dispatcher
	clock      *clockwork.FakeClock
	backend    *backend
	budget     *budget
	suspects   *beechsuspect.Registry
	poison     *beechpoison.Tracker
	reachable  reachable
	placer     *beechplace.Placer
	servers    []beechcall.Server
}

type step = func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error)

func newFixture(servers, retries int, script ...step) *fixture {
	f := &fixture{clock: clockwork.NewFakeClock(), backend: &backend{script: script}, budget: &budget{left: retries}, reachable: reachable{}}
	f.suspects = beechsuspect.New(beechsuspect.Settings{}, f.clock)
	f.poison = beechpoison.New(f.clock, func(uint64) int { return 0 }, func() {})
	placer := beechplace.New(beechplace.Settings{Zone: "a"}, f.clock, fullyUsable{}, beechthrottle.New("gate", 1, beechfresh.BootClock{}, f.clock, func(beechthrottle.Event) {}, func() {}), beechsaturation.New(f.clock, func() {}), beechbackoff.New(f.clock), func(beechcall.Server, int, []uint64, bool) {})
	var list []beechcall.Server
	for i := range servers {
		list = append(list, beechcall.Server{
			ID: fmt.Sprint("s", i), Service: "app", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), Zone: "a", Slots: 4, Software: "v1",
		})
	}
	placer.SetServers(list)
	f.placer, f.servers = placer, list
	f.dispatcher = New(placer, f.backend, f.reachable, f.budget, f.suspects, f.poison, beechadmission.New(beechadmission.Auto, f.clock), ignoring{}, f.clock, zap.NewNop())
	return f
}

// setSoftware has the servers run these versions in turn.
func (f *fixture) setSoftware(versions ...string) {
	servers := slices.Clone(f.servers)
	for i := range servers {
		servers[i].Software = versions[i%len(versions)]
	}
	f.placer.SetServers(servers)
}

func (f *fixture) call(policy beechcall.RetryPolicy, stream bool) *beechcall.Call {
	return &beechcall.Call{
		ID: "id", Service: "app", Method: http.MethodPost, Target: "/x", Deadline: f.clock.Now().Add(5 * time.Second),
		Route: &beechcall.Route{Name: "r", RetryPolicy: policy, Stream: stream, Objective: 100 * time.Millisecond, MaxAttempts: 2},
	}
}

// serve answers a call while the fake clock advances.
func (f *fixture) serve(ctx context.Context, call *beechcall.Call) *caller {
	c := &caller{}
	f.serveTo(ctx, call, c)
	return c
}

// serveTo answers a call to a caller while the fake clock advances.
func (f *fixture) serveTo(ctx context.Context, call *beechcall.Call, c *caller) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.dispatcher.Serve(ctx, call, c)
	}()
	for {
		select {
		case <-done:
			f.dispatcher.crashes.probes.Wait()
			return
		case <-time.After(200 * time.Microsecond):
			f.clock.Advance(5 * time.Millisecond)
		}
	}
}

func answers(status int, body string) step {
	return func(context.Context, beechcall.Attempt) (*beechcall.Answer, error) {
		return &beechcall.Answer{Status: status, Header: http.Header{"Seal": {body}}, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

// breaks returns an answer whose body ends in an error.
func breaks(body string) step {
	return func(context.Context, beechcall.Attempt) (*beechcall.Answer, error) {
		return &beechcall.Answer{Status: http.StatusOK, Body: io.NopCloser(io.MultiReader(strings.NewReader(body), failing{}))}, nil
	}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errReset }

func hangs(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
	<-ctx.Done()
	return nil, beechcall.OutcomeUnknown{Peer: a.Server.Address, Step: "read answer", Err: ctx.Err()}
}

func refuses(_ context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
	return nil, beechcall.NotExecuted{Peer: a.Server.Address, Status: http.StatusServiceUnavailable}
}

func resets(_ context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
	return nil, beechcall.OutcomeUnknown{Peer: a.Server.Address, Step: "read answer", Err: errReset}
}

func unreachable(_ context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
	return nil, beechcall.NotSent{Peer: a.Server.Address, Step: "connect", Err: errReset}
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

// For each retry policy and each way a first attempt can end: how many attempts are made, and what
// the caller is told.
func TestRetriesAndAnswers(t *testing.T) {
	for _, test := range []struct {
		name     string
		policy   beechcall.RetryPolicy
		first    step
		attempts int
		want     any
	}{
		{"once, refused", beechcall.AtMostOnce, refuses, 2, http.StatusOK},
		{"once, unreachable", beechcall.AtMostOnce, unreachable, 2, http.StatusOK},
		{"once, reset", beechcall.AtMostOnce, resets, 1, OutcomeUnknown{Reason: "no more tries"}},
		{"once, cut in the answer", beechcall.AtMostOnce, breaks("ha"), 1, OutcomeUnknown{Reason: "no more tries"}},
		{"once, failed", beechcall.AtMostOnce, answers(http.StatusInternalServerError, "no"), 1, http.StatusInternalServerError},
		{"once, hangs", beechcall.AtMostOnce, hangs, 1, DeadlineExceeded{}},
		{"repeatable, reset", beechcall.Repeatable, resets, 2, http.StatusOK},
		{"repeatable, cut in the answer", beechcall.Repeatable, breaks("ha"), 2, http.StatusOK},
		{"repeatable, failed", beechcall.Repeatable, answers(http.StatusInternalServerError, "no"), 2, http.StatusOK},
		{"repeatable, over time there", beechcall.Repeatable, answers(http.StatusGatewayTimeout, ""), 1, http.StatusGatewayTimeout},
		{"repeatable, hangs", beechcall.Repeatable, hangs, 2, http.StatusOK},
		{"repeatable, not found there", beechcall.Repeatable, answers(http.StatusNotFound, ""), 1, http.StatusNotFound},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(3, 5, test.first, answers(http.StatusOK, "whole"))
			c := f.serve(t.Context(), f.call(test.policy, false))
			is.Equal(len(f.backend.sent), test.attempts)
			if status, ok := test.want.(int); ok {
				is.Equal(c.rejection, nil)
				is.Equal(c.status, status)
			} else {
				is.Equal(c.rejection, test.want)
			}
		})
	}
}

// Each retry goes to another server.
func TestRetriesUseOtherServers(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, 10, refuses)
	c := f.serve(t.Context(), f.call(beechcall.AtMostOnce, false))
	is.Equal(len(f.backend.sent), maxAttempts)
	seen := map[string]bool{}
	for _, a := range f.backend.sent {
		is.True(!seen[a.Server.ID])
		seen[a.Server.ID] = true
	}
	rejection, ok := c.rejection.(NotExecuted)
	is.True(ok)
	is.True(rejection.RetryAfter > 0)
}

// The caller is told "not executed" only if no attempt may have been executed.
func TestOutcomeIsUnknownIfAnyAttemptMayHaveExecuted(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, 1, resets, refuses)
	c := f.serve(t.Context(), f.call(beechcall.Repeatable, false))
	is.Equal(c.rejection, OutcomeUnknown{Reason: "no more tries"})
}

func TestNoRetryWithoutBudget(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, 0, resets)
	f.serve(t.Context(), f.call(beechcall.Repeatable, false))
	is.Equal(len(f.backend.sent), 1)
}

// Without budget for a retry, an attempt on a slow server is not cancelled: a late answer is
// better than none.
func TestNoTimeoutWithoutBudget(t *testing.T) {
	is := is.New(t)
	slow := func(ctx context.Context, _ beechcall.Attempt) (*beechcall.Answer, error) {
		for range 400 {
			if isDone(ctx) {
				return nil, beechcall.OutcomeUnknown{Err: context.Cause(ctx)}
			}
			time.Sleep(100 * time.Microsecond)
		}
		return answers(http.StatusOK, "late")(ctx, beechcall.Attempt{})
	}
	f := newFixture(3, 0, slow)
	c := f.serve(t.Context(), f.call(beechcall.Repeatable, false))
	is.Equal(c.body, "late")
	is.Equal(len(f.backend.sent), 1)
}

// All answers are slow because the fleet is busy. The time-out grows with them, so that work
// is not doubled just when there is too much of it.
func TestTimeoutFollowsAnswers(t *testing.T) {
	is := is.New(t)
	p := newRouteTimeouts()
	is.Equal(p.firstByte("r", time.Second), 2*time.Second)
	for range 50 {
		p.observe("r", 3*time.Second, 0, time.Unix(1000, 0))
	}
	is.True(p.firstByte("r", time.Second) >= 3*time.Second)
	for range 50 {
		p.observe("r", 10*time.Millisecond, 0, time.Unix(1000, 0))
	}
	is.Equal(p.firstByte("r", time.Second), 2*time.Second)
}

// Engines are full, and answers take several times as long as expected. Calls that would be
// answered after their callers have left are rejected at once, with a time to retry, so that
// the others are answered in time.
func TestCallsExpectedTooLate(t *testing.T) {
	is := is.New(t)
	p, now := newRouteTimeouts(), time.Unix(1000, 0)
	is.True(!p.expectedTooLate("r", time.Hour, time.Hour, time.Second, now)) // no statistics yet
	for range 100 {
		p.observe("r", time.Second, 500*time.Millisecond, now)
	}
	is.True(!p.expectedTooLate("r", 900*time.Millisecond, 900*time.Millisecond, time.Second, now))
	is.True(p.expectedTooLate("r", 1100*time.Millisecond, 600*time.Millisecond, time.Second, now))
	is.True(!p.expectedTooLate("r", 5*time.Second, 400*time.Millisecond, time.Second, now)) // a very long prompt with little queued ahead of it
	is.True(!p.expectedTooLate("r", time.Hour, time.Hour, 0, now))                          // no objective
	for range 100 {
		p.observe("r", 100*time.Millisecond, 500*time.Millisecond, now)
	}
	is.True(!p.expectedTooLate("r", 1900*time.Millisecond, 1900*time.Millisecond, time.Second, now)) // faster answers than expected do not raise the bound
}

// After a time of late answers all calls are rejected, so no answer comes that would show that
// the engines are idle again. Without the decay, callers would be rejected forever.
func TestSlowdownDecaysWithoutAnswers(t *testing.T) {
	is := is.New(t)
	p, now := newRouteTimeouts(), time.Unix(1000, 0)
	for range 200 {
		p.observe("r", 4*time.Second, 500*time.Millisecond, now)
	}
	tooLate := func() bool {
		return p.expectedTooLate("r", 500*time.Millisecond, 400*time.Millisecond, time.Second, now)
	}
	is.True(tooLate())
	now = now.Add(4 * time.Second)
	is.True(!tooLate())
}

// No server may be used: the rejection comes soon, with a time to retry.
func TestNoServer(t *testing.T) {
	is := is.New(t)
	f := newFixture(0, 5, refuses)
	call := f.call(beechcall.AtMostOnce, false)
	began := f.clock.Now()
	c := f.serve(t.Context(), call)
	rejection, ok := c.rejection.(NotExecuted)
	is.True(ok)
	is.True(rejection.RetryAfter > 0 && rejection.RetryAfter < time.Second)
	is.True(f.clock.Since(began) < 100*time.Millisecond)
}

// A stream breaks off and continues on another server: no event is missing or repeated, and
// the headers are the first server's.
func TestResumedStream(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, 5, breaks(event(1)+event(2)+"id: 3\nda"), func(_ context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		is.Equal(a.LastEventID, "2")
		return answers(http.StatusOK, event(3)+event(4))(context.Background(), a)
	})
	c := f.serve(t.Context(), f.call(beechcall.Resumable, true))
	is.Equal(c.body, event(1)+event(2)+event(3)+event(4))
	is.True(c.ended)
	is.True(!c.broken)
}

// A stream that ends in the middle of an event is aborted, not ended as if it were complete.
func TestStreamEndingInsideEventIsAborted(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, 0, answers(http.StatusOK, event(1)+"id: 2\ndata"))
	c := f.serve(t.Context(), f.call(beechcall.AtMostOnce, true))
	is.Equal(c.body, event(1))
	is.True(c.broken)
	is.True(!c.ended)
}

// A started stream is to be resumed on another server, which answers with something else, such
// as an error. That answer must not follow the events that the caller has, nor end the stream as
// if it were complete.
func TestErrorAnswerDoesNotEndStartedStream(t *testing.T) {
	is := is.New(t)
	sent := event(1) + event(2)
	for _, status := range []int{http.StatusInternalServerError, http.StatusNotFound, http.StatusGatewayTimeout, http.StatusNoContent} {
		f := newFixture(3, 5, breaks(sent), answers(status, "sorry"))
		c := f.serve(t.Context(), f.call(beechcall.Resumable, true))
		is.True(c.broken)
		is.True(!c.ended)
		is.Equal(c.status, http.StatusOK)
		is.Equal(c.body, sent)
	}
	f := newFixture(3, 5, breaks(sent), answers(http.StatusInternalServerError, "sorry"), answers(http.StatusOK, event(3)))
	call := f.call(beechcall.Resumable, true)
	call.Route.MaxAttempts = 3
	c := f.serve(t.Context(), call)
	is.True(c.ended)
	is.Equal(c.body, sent+event(3))
}

// A stream that may not be resumed is never started twice.
func TestStartedStreamIsNotRepeated(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, 5, breaks(event(1)), answers(http.StatusOK, event(1)+event(2)))
	c := f.serve(t.Context(), f.call(beechcall.Repeatable, true))
	is.Equal(len(f.backend.sent), 1)
	is.True(c.broken)
}

func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	f := newFixture(3, 5, func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		cancel()
		return hangs(ctx, a)
	})
	c := f.serve(ctx, f.call(beechcall.Repeatable, false))
	is.Equal(len(f.backend.sent), 1)
	is.Equal(c.rejection, nil)
}

// A request crashes every server that executes it, and its caller repeats it. After two crashes
// it is not sent to a third server.
func TestCrashingRequestIsRejected(t *testing.T) {
	is := is.New(t)
	f := newFixture(5, 50, resets)
	for range 4 {
		f.serve(t.Context(), f.call(beechcall.AtMostOnce, false))
	}
	is.Equal(len(f.backend.sent), 2)
	c := f.serve(t.Context(), f.call(beechcall.AtMostOnce, false))
	_, ok := c.rejection.(NotExecuted)
	is.True(ok)
}

// A running server cuts its answers off for a while, and many callers send it the same request.
// If the request counted as one that crashes servers, it would be rejected everywhere for
// minutes after the server has recovered.
func TestFailingServerDoesNotMakeRequestSuspect(t *testing.T) {
	is := is.New(t)
	f := newFixture(5, 50, resets, resets, resets, resets, answers(http.StatusOK, "has recovered"))
	for i := range 5 {
		f.reachable[netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)] = true
	}
	for range 4 {
		f.serve(t.Context(), f.call(beechcall.AtMostOnce, false))
	}
	is.Equal(f.serve(t.Context(), f.call(beechcall.AtMostOnce, false)).body, "has recovered")
}

// A request waits in an engine whose weights have been superseded. If it started after they
// expire, its caller would get an answer from weights that may not be used any more. It is
// cancelled in time, sent elsewhere, and not counted as a suspect.
func TestRequestIsCancelledBeforeWeightsExpire(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 5, hangs, answers(http.StatusOK, "elsewhere"))
	r := &execution{dispatcher: f.dispatcher, call: f.call(beechcall.Repeatable, false), out: &caller{}, callerCtx: t.Context(), started: f.clock.Now()}
	r.call.Route.Objective = 2 * time.Second // its time-out is longer
	choice, ok := f.dispatcher.placer.Choose(r.call, nil)
	is.True(ok)
	choice.FirstByteTimeout = 300 * time.Millisecond
	ended := make(chan verdict, 1)
	go func() { ended <- r.attempt(t.Context(), choice) }()
	_ = f.clock.BlockUntilContext(t.Context(), 2) // the time-out and the start deadline
	f.clock.Advance(299 * time.Millisecond)
	f.clock.Advance(time.Millisecond)
	is.Equal(<-ended, tryAgain)
	is.Equal(f.clock.Since(r.started), choice.FirstByteTimeout)
	_, unsuspected := f.suspects.Check(r.call.Fingerprint(), 0).(beechsuspect.Allow)
	is.True(unsuspected)
	choice, _ = f.dispatcher.placer.Choose(r.call, r.triedServers)
	is.Equal(r.attempt(t.Context(), choice), finished)
	is.Equal(r.out.(*caller).body, "elsewhere")
}

func TestWholeEvents(t *testing.T) {
	is := is.New(t)
	is.Equal(wholeEvents([]byte("id: 1\ndata: x\n\nid: 2")), len("id: 1\ndata: x\n\n"))
	is.Equal(wholeEvents([]byte("id: 1\r\ndata: x\r\n\r\nid")), len("id: 1\r\ndata: x\r\n\r\n"))
	is.Equal(wholeEvents([]byte("id: 1\n")), 0)
	id, ok := lastEventID([]byte("id: 7\ndata: id: 9\n\nid: 8\ndata: grid: 3\n\n"))
	is.True(ok)
	is.Equal(id, "8")
	_, ok = lastEventID([]byte("data: x\n\n"))
	is.True(!ok)
}

func FuzzWholeEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		end := wholeEvents(data)
		if end < 0 || end > len(data) || wholeEvents(data[end:]) != 0 {
			t.Fatalf("%q: %d", data, end)
		}
		_, _ = lastEventID(data)
	})
}

// A server asks for no requests in its answer to a call whose caller has just left. The next call
// must not be sent there.
func TestBackoffIsKnownThoughTheCallerHasLeft(t *testing.T) {
	is := is.New(t)
	ctx, leave := context.WithCancel(context.Background())
	f := newFixture(1, 0, func(_ context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		leave()
		return nil, beechcall.NotExecuted{Peer: a.Server.Address, Status: http.StatusServiceUnavailable, Backoff: time.Minute}
	})
	f.serve(ctx, f.call(beechcall.AtMostOnce, false))
	c := f.serve(context.Background(), f.call(beechcall.AtMostOnce, false))
	is.Equal(len(f.backend.sent), 1)
	refusal, ok := c.rejection.(NotExecuted)
	is.True(ok)
	is.True(refusal.RetryAfter > time.Second)
}

// The server's entry names other software just before the first event of its answer arrives: nobody
// knows which version generated it.
func TestAnswerOfChangedSoftwareIsNotForwarded(t *testing.T) {
	is := is.New(t)
	var f *fixture
	changed := func(context.Context, beechcall.Attempt) (*beechcall.Answer, error) {
		f.setSoftware("v2")
		return &beechcall.Answer{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(event(2) + event(3)))}, nil
	}
	f = newFixture(3, 5, breaks(event(1)), changed)
	c := f.serve(t.Context(), f.call(beechcall.Resumable, true))
	is.Equal(c.body, event(1))
	is.True(c.broken)
	is.Equal(len(f.backend.sent), 2)
}

// A stream that breaks off is continued by servers of its version only.
func TestBrokenStreamIsContinuedByItsVersion(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, 10, breaks(event(1)), unreachable, unreachable, answers(http.StatusOK, event(2)))
	f.setSoftware("v1", "v2")
	call := f.call(beechcall.Resumable, true)
	call.Route.MaxAttempts = 5
	c := f.serve(t.Context(), call)
	is.Equal(c.body, event(1)+event(2))
	for _, a := range f.backend.sent {
		is.Equal(a.Server.Software, call.Origin.Software)
	}
	is.Equal(len(f.backend.sent), 4)
}
