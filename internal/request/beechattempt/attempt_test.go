package beechattempt

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechretry"
	"github.com/beechring/beechring/internal/decision/beechsaturation"
	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/decision/beechthrottle"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechfresh"
	"github.com/beechring/beechring/internal/request/beechplace"
)

type (
	// backend answers attempts by a script, one entry an attempt; the last goes
	// on.
	backend struct {
		mu     sync.Mutex
		script []func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error)
		sent   []beechcall.Attempt
	}

	// budget allows so many tries.
	budget struct {
		mu   sync.Mutex
		left int
	}

	caller struct {
		mu      sync.Mutex
		refusal Refusal
		status  int
		header  http.Header
		body    string
		ended   bool
		broken  bool
		slow    error
	}

	trusting struct{}
	deaf     struct{}

	// standing says which servers take connections; the others are gone.
	standing map[netip.AddrPort]bool
)

var errReset = errors.New("connection reset")

func (trusting) Weight(netip.AddrPort) float64 { return 1 }

func (deaf) Served(beechcall.Server, string, time.Duration, int, bool) {}
func (deaf) Ended(Ending)                                              {}

func (s standing) Reach(_ context.Context, peer netip.AddrPort) error {
	if s[peer] {
		return nil
	}
	return errReset
}

func (b *budget) Sent(string) {}

func (b *budget) Decide(_ string, o beechretry.Outcome) beechretry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left <= 0 || (o.Ran != beechretry.RanNo && !o.Repeatable) {
		return beechretry.GiveUp{}
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

func (c *caller) Refuse(r Refusal) { c.refusal = r }

func (c *caller) Plain(status int, h http.Header, body []byte) {
	c.status, c.header, c.body = status, h, string(body)
}

func (c *caller) Stream(status int, h http.Header) { c.status, c.header = status, h }

func (c *caller) Event(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body += string(data)
	return c.slow
}

func (c *caller) End()   { c.ended = true }
func (c *caller) Break() { c.broken = true }

type world struct {
	core     *Core
	clock    *clockwork.FakeClock
	backend  *backend
	budget   *budget
	suspects *beechsuspect.Registry
	standing standing
}

type step = func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error)

func newWorld(servers, retries int, script ...step) *world {
	w := &world{clock: clockwork.NewFakeClock(), backend: &backend{script: script}, budget: &budget{left: retries}, standing: standing{}}
	w.suspects = beechsuspect.New(beechsuspect.Settings{}, w.clock)
	placer := beechplace.New(beechplace.Settings{Zone: "a"}, w.clock, trusting{}, beechthrottle.New("gate", 1, beechfresh.Boot{}, w.clock, func(beechthrottle.Event) {}, func() {}), beechsaturation.New(w.clock, func() {}), func(beechcall.Server, int, []uint64, bool) {})
	var list []beechcall.Server
	for i := range servers {
		list = append(list, beechcall.Server{
			ID: fmt.Sprint("s", i), Service: "app", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), Zone: "a", Slots: 4,
		})
	}
	placer.SetServers(list)
	w.core = New(placer, w.backend, w.standing, w.budget, w.suspects, deaf{}, w.clock, zap.NewNop())
	return w
}

func (w *world) call(rule beechcall.Rule, stream bool) *beechcall.Call {
	return &beechcall.Call{
		ID: "id", Service: "app", Method: http.MethodPost, Target: "/x", Deadline: w.clock.Now().Add(5 * time.Second),
		Route: &beechcall.Route{Name: "r", Rule: rule, Stream: stream, Objective: 100 * time.Millisecond, MaxAttempts: 2},
	}
}

// serve answers a call while time goes on.
func (w *world) serve(ctx context.Context, call *beechcall.Call) *caller {
	c := &caller{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.core.Serve(ctx, call, c)
	}()
	for {
		select {
		case <-done:
			w.core.blamer.looks.Wait()
			return c
		case <-time.After(200 * time.Microsecond):
			w.clock.Advance(5 * time.Millisecond)
		}
	}
}

func answers(status int, body string) step {
	return func(context.Context, beechcall.Attempt) (*beechcall.Answer, error) {
		return &beechcall.Answer{Status: status, Header: http.Header{"Seal": {body}}, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

// breaks gives a body that ends in an error.
func breaks(body string) step {
	return func(context.Context, beechcall.Attempt) (*beechcall.Answer, error) {
		return &beechcall.Answer{Status: http.StatusOK, Body: io.NopCloser(io.MultiReader(strings.NewReader(body), failing{}))}, nil
	}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errReset }

func hangs(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
	<-ctx.Done()
	return nil, beechcall.Unknown{Peer: a.Server.Address, Step: "read answer", Err: ctx.Err()}
}

func refuses(_ context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
	return nil, beechcall.NotRun{Peer: a.Server.Address, Status: http.StatusServiceUnavailable}
}

func resets(_ context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
	return nil, beechcall.Unknown{Peer: a.Server.Address, Step: "read answer", Err: errReset}
}

func unreachable(_ context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
	return nil, beechcall.NotSent{Peer: a.Server.Address, Step: "connect", Err: errReset}
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

// The table says, for each rule and each way that a first attempt ends, whether
// there is a second one and what the caller is told.
func TestJudgements(t *testing.T) {
	for _, test := range []struct {
		name  string
		rule  beechcall.Rule
		first step
		tries int
		want  any
	}{
		{"once, refused", beechcall.RuleOnce, refuses, 2, http.StatusOK},
		{"once, unreachable", beechcall.RuleOnce, unreachable, 2, http.StatusOK},
		{"once, reset", beechcall.RuleOnce, resets, 1, Unknown{Reason: "no more tries"}},
		{"once, cut in the answer", beechcall.RuleOnce, breaks("ha"), 1, Unknown{Reason: "no more tries"}},
		{"once, failed", beechcall.RuleOnce, answers(http.StatusInternalServerError, "no"), 1, http.StatusInternalServerError},
		{"once, hangs", beechcall.RuleOnce, hangs, 1, Overdue{}},
		{"repeatable, reset", beechcall.RuleRepeatable, resets, 2, http.StatusOK},
		{"repeatable, cut in the answer", beechcall.RuleRepeatable, breaks("ha"), 2, http.StatusOK},
		{"repeatable, failed", beechcall.RuleRepeatable, answers(http.StatusInternalServerError, "no"), 2, http.StatusOK},
		{"repeatable, over time there", beechcall.RuleRepeatable, answers(http.StatusGatewayTimeout, ""), 1, http.StatusGatewayTimeout},
		{"repeatable, hangs", beechcall.RuleRepeatable, hangs, 2, http.StatusOK},
		{"repeatable, not found there", beechcall.RuleRepeatable, answers(http.StatusNotFound, ""), 1, http.StatusNotFound},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(3, 5, test.first, answers(http.StatusOK, "whole"))
			c := w.serve(t.Context(), w.call(test.rule, false))
			is.Equal(len(w.backend.sent), test.tries)
			if status, ok := test.want.(int); ok {
				is.Equal(c.refusal, nil)
				is.Equal(c.status, status)
			} else {
				is.Equal(c.refusal, test.want)
			}
		})
	}
}

// Each try goes to another server.
func TestTriesGoElsewhere(t *testing.T) {
	is := is.New(t)
	w := newWorld(8, 10, refuses)
	c := w.serve(t.Context(), w.call(beechcall.RuleOnce, false))
	is.Equal(len(w.backend.sent), sendsMost)
	seen := map[string]bool{}
	for _, a := range w.backend.sent {
		is.True(!seen[a.Server.ID])
		seen[a.Server.ID] = true
	}
	refusal, ok := c.refusal.(NotRun)
	is.True(ok)
	is.True(refusal.After > 0)
}

// "Not run" is told only if no attempt may have run.
func TestRefusalAfterARunIsNotCalledNotRun(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 1, resets, refuses)
	c := w.serve(t.Context(), w.call(beechcall.RuleRepeatable, false))
	is.Equal(c.refusal, Unknown{Reason: "no more tries"})
}

func TestBudgetIsKept(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 0, resets)
	w.serve(t.Context(), w.call(beechcall.RuleRepeatable, false))
	is.Equal(len(w.backend.sent), 1)
}

// The budget is spent, so a request whose server is slow keeps its place: a late
// answer is better than none.
func TestPatienceWithoutBudget(t *testing.T) {
	is := is.New(t)
	slow := func(ctx context.Context, _ beechcall.Attempt) (*beechcall.Answer, error) {
		for range 400 {
			if ended(ctx) {
				return nil, beechcall.Unknown{Err: context.Cause(ctx)}
			}
			time.Sleep(100 * time.Microsecond)
		}
		return answers(http.StatusOK, "late")(ctx, beechcall.Attempt{})
	}
	w := newWorld(3, 0, slow)
	c := w.serve(t.Context(), w.call(beechcall.RuleRepeatable, false))
	is.Equal(c.body, "late")
	is.Equal(len(w.backend.sent), 1)
}

// All answers are slow since the fleet is busy. Patience grows with them, so
// that work is not given out twice just when there is too much.
func TestPatienceFollowsAnswers(t *testing.T) {
	is := is.New(t)
	p := newPatience()
	is.Equal(p.of("r", time.Second), 2*time.Second)
	for range 50 {
		p.learn("r", 3*time.Second, 0, time.Unix(1000, 0))
	}
	is.True(p.of("r", time.Second) >= 3*time.Second)
	for range 50 {
		p.learn("r", 10*time.Millisecond, 0, time.Unix(1000, 0))
	}
	is.Equal(p.of("r", time.Second), 2*time.Second)
}

// Engines are full, and answers take several times what is expected. Those
// that would come when their callers have left are refused at once, with a time
// to come back, so that the others come in time.
func TestHopelessCalls(t *testing.T) {
	is := is.New(t)
	p, now := newPatience(), time.Unix(1000, 0)
	is.True(!p.hopeless("r", time.Hour, time.Hour, time.Second, now)) // nothing is known yet
	for range 100 {
		p.learn("r", time.Second, 500*time.Millisecond, now)
	}
	is.True(!p.hopeless("r", 900*time.Millisecond, 900*time.Millisecond, time.Second, now))
	is.True(p.hopeless("r", 1100*time.Millisecond, 600*time.Millisecond, time.Second, now))
	is.True(!p.hopeless("r", 5*time.Second, 400*time.Millisecond, time.Second, now)) // a very long prompt, with little before it
	is.True(!p.hopeless("r", time.Hour, time.Hour, 0, now))                          // no objective, no hurry
	for range 100 {
		p.learn("r", 100*time.Millisecond, 500*time.Millisecond, now)
	}
	is.True(!p.hopeless("r", 1900*time.Millisecond, 1900*time.Millisecond, time.Second, now)) // quicker answers promise nothing
}

// Answers were late for a while, and by that all calls are refused: no answer
// comes by which it could be seen that the engines are idle again. Callers would
// be turned away for good.
func TestRefusalsDoNotFeedOnThemselves(t *testing.T) {
	is := is.New(t)
	p, now := newPatience(), time.Unix(1000, 0)
	for range 200 {
		p.learn("r", 4*time.Second, 500*time.Millisecond, now)
	}
	hopeless := func() bool {
		return p.hopeless("r", 500*time.Millisecond, 400*time.Millisecond, time.Second, now)
	}
	is.True(hopeless())
	now = now.Add(4 * time.Second)
	is.True(!hopeless())
}

// No server may be used: the answer comes soon, with a time to come back.
func TestNoServer(t *testing.T) {
	is := is.New(t)
	w := newWorld(0, 5, refuses)
	call := w.call(beechcall.RuleOnce, false)
	began := w.clock.Now()
	c := w.serve(t.Context(), call)
	refusal, ok := c.refusal.(NotRun)
	is.True(ok)
	is.True(refusal.After > 0 && refusal.After < time.Second)
	is.True(w.clock.Since(began) < 100*time.Millisecond)
}

// A stream breaks off and goes on at another server: none of its events is
// missing or comes twice, and its head is the first server's.
func TestResumedStream(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 5, breaks(event(1)+event(2)+"id: 3\nda"), func(_ context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		is.Equal(a.LastEvent, "2")
		return answers(http.StatusOK, event(3)+event(4))(context.Background(), a)
	})
	c := w.serve(t.Context(), w.call(beechcall.RuleResumable, true))
	is.Equal(c.body, event(1)+event(2)+event(3)+event(4))
	is.True(c.ended)
	is.True(!c.broken)
}

// A stream ends in the middle of an event, as if it were whole.
func TestTornStreamIsNotWhole(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 0, answers(http.StatusOK, event(1)+"id: 2\ndata"))
	c := w.serve(t.Context(), w.call(beechcall.RuleOnce, true))
	is.Equal(c.body, event(1))
	is.True(c.broken)
	is.True(!c.ended)
}

// The rest of a begun stream is asked for elsewhere, and the answer there is another one,
// as of a server that fails. It must not follow the events that the caller has, nor end
// the stream as if it were whole.
func TestOtherAnswerDoesNotEndABegunStream(t *testing.T) {
	is := is.New(t)
	given := event(1) + event(2)
	for _, status := range []int{http.StatusInternalServerError, http.StatusNotFound, http.StatusGatewayTimeout, http.StatusNoContent} {
		w := newWorld(3, 5, breaks(given), answers(status, "sorry"))
		c := w.serve(t.Context(), w.call(beechcall.RuleResumable, true))
		is.True(c.broken)
		is.True(!c.ended)
		is.Equal(c.status, http.StatusOK)
		is.Equal(c.body, given)
	}
	w := newWorld(3, 5, breaks(given), answers(http.StatusInternalServerError, "sorry"), answers(http.StatusOK, event(3)))
	call := w.call(beechcall.RuleResumable, true)
	call.Route.MaxAttempts = 3
	c := w.serve(t.Context(), call)
	is.True(c.ended)
	is.Equal(c.body, given+event(3))
}

// A stream that may not be resumed is never begun twice.
func TestBegunStreamIsNotRepeated(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 5, breaks(event(1)), answers(http.StatusOK, event(1)+event(2)))
	c := w.serve(t.Context(), w.call(beechcall.RuleRepeatable, true))
	is.Equal(len(w.backend.sent), 1)
	is.True(c.broken)
}

func TestCallerThatLeaves(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	w := newWorld(3, 5, func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		cancel()
		return hangs(ctx, a)
	})
	c := w.serve(ctx, w.call(beechcall.RuleRepeatable, false))
	is.Equal(len(w.backend.sent), 1)
	is.Equal(c.refusal, nil)
}

// A request crashes every server that runs it, and its caller sends it again
// and again. After two crashes it is not sent to a third server.
func TestPoison(t *testing.T) {
	is := is.New(t)
	w := newWorld(5, 50, resets)
	for range 4 {
		w.serve(t.Context(), w.call(beechcall.RuleOnce, false))
	}
	is.Equal(len(w.backend.sent), 2)
	c := w.serve(t.Context(), w.call(beechcall.RuleOnce, false))
	_, ok := c.refusal.(NotRun)
	is.True(ok)
}

// A server that lives breaks off its answers for a while, and many callers ask it
// the same. Taken for a request that crashes servers, the question would be
// refused everywhere for minutes after the server is well again.
func TestFailingServerIsNotTheRequestsFault(t *testing.T) {
	is := is.New(t)
	w := newWorld(5, 50, resets, resets, resets, resets, answers(http.StatusOK, "well again"))
	for i := range 5 {
		w.standing[netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)] = true
	}
	for range 4 {
		w.serve(t.Context(), w.call(beechcall.RuleOnce, false))
	}
	is.Equal(w.serve(t.Context(), w.call(beechcall.RuleOnce, false)).body, "well again")
}

// A request waits in an engine whose weights were overtaken. If it began there after
// the operators' bound its caller would get an answer by weights that nobody may use
// any more. It is taken back in time and goes elsewhere, and is to blame for nothing.
func TestRequestIsTakenBackBeforeItsWeightsAreTooOld(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 5, hangs, answers(http.StatusOK, "elsewhere"))
	r := &run{core: w.core, call: w.call(beechcall.RuleRepeatable, false), out: &caller{}, caller: t.Context(), started: w.clock.Now()}
	r.call.Route.Objective = 2 * time.Second // its patience is longer
	choice, ok := w.core.placer.Choose(r.call, nil)
	is.True(ok)
	choice.FirstByteTimeout = 300 * time.Millisecond
	ended := make(chan verdict, 1)
	go func() { ended <- r.attempt(t.Context(), choice) }()
	_ = w.clock.BlockUntilContext(t.Context(), 2) // patience and the bound
	w.clock.Advance(299 * time.Millisecond)
	w.clock.Advance(time.Millisecond)
	is.Equal(<-ended, again)
	is.Equal(w.clock.Since(r.started), choice.FirstByteTimeout)
	_, suspect := w.suspects.Check(r.call.Fingerprint()).(beechsuspect.Allow)
	is.True(suspect)
	choice, _ = w.core.placer.Choose(r.call, r.tried)
	is.Equal(r.attempt(t.Context(), choice), over)
	is.Equal(r.out.(*caller).body, "elsewhere")
}

func TestWholeEvents(t *testing.T) {
	is := is.New(t)
	is.Equal(wholeEvents([]byte("id: 1\ndata: x\n\nid: 2")), len("id: 1\ndata: x\n\n"))
	is.Equal(wholeEvents([]byte("id: 1\r\ndata: x\r\n\r\nid")), len("id: 1\r\ndata: x\r\n\r\n"))
	is.Equal(wholeEvents([]byte("id: 1\n")), 0)
	id, ok := lastEvent([]byte("id: 7\ndata: id: 9\n\nid: 8\ndata: grid: 3\n\n"))
	is.True(ok)
	is.Equal(id, "8")
	_, ok = lastEvent([]byte("data: x\n\n"))
	is.True(!ok)
}

func FuzzWholeEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		end := wholeEvents(data)
		if end < 0 || end > len(data) || wholeEvents(data[end:]) != 0 {
			t.Fatalf("%q: %d", data, end)
		}
		_, _ = lastEvent(data)
	})
}
