package beechattempt

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechplace"
	"github.com/beechring/beechring/internal/request/beechrollout"
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

type (
	// drawnServer answers attempts in the order in which they are sent, as drawn, and knows which of them
	// may have been executed.
	drawnServer struct {
		fixture *backupFixture
		steps   []drawnStep
		onSend  func(n int)

		mu     sync.Mutex
		mayRun []bool // by attempt; also of those under way
	}

	// drawnStep is what becomes of one attempt.
	drawnStep struct {
		kind  string
		after time.Duration // until the server answers or refuses
		then  time.Duration // from its first events to the rest
	}

	// promiseCaller is a caller that looks, when it is told that its request has not run, whether that holds.
	promiseCaller struct {
		caller
		server *drawnServer
		told   int // answers
		broken []string
	}
)

var drawnKinds = []string{
	"not sent", "refused", "refused unmarked", "replaced", "other weights", "withdrawn", "withdrawn late", "no answer", "hangs", "whole", "broken",
	"silent stream", "crash", "refused after events", "not sent after events", "status 429", "status 503", "status 408", "status 421", "status 500", "status 504",
}

func (s *drawnServer) send(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
	s.mu.Lock()
	n := len(s.mayRun)
	s.mayRun = append(s.mayRun, true)
	s.mu.Unlock()
	s.onSend(n)
	answer, err := s.answer(ctx, a, s.steps[min(n, len(s.steps)-1)])
	switch err.(type) {
	case beechcall.NotSent, beechcall.NotExecuted:
		s.mu.Lock()
		s.mayRun[n] = false
		s.mu.Unlock()
	}
	return answer, err
}

func (s *drawnServer) answer(ctx context.Context, a beechcall.Attempt, d drawnStep) (*beechcall.Answer, error) {
	peer, clock := a.Server.Address, s.fixture.clock
	if d.kind == "withdrawn" && a.Withdrawn() {
		return nil, beechcall.NotSent{Peer: peer, Step: "send", Err: beechcall.ErrWithdrawn}
	}
	select {
	case <-clock.After(d.after):
	case <-ctx.Done():
		if d.kind == "not sent" { // its connection was not made yet
			return nil, beechcall.NotSent{Peer: peer, Step: "connect", Err: ctx.Err()}
		}
		return hangs(ctx, a)
	}
	stream := func(first, rest string, end error) (*beechcall.Answer, error) {
		var after io.Reader = strings.NewReader(rest)
		if end != nil {
			after = io.MultiReader(after, readerFunc(func([]byte) (int, error) { return 0, end }))
		}
		return &beechcall.Answer{Status: http.StatusOK, Body: &pausedBody{ctx: ctx, clock: clock, data: strings.NewReader(first), silence: d.then, rest: after}}, nil
	}
	refusal := beechcall.NotExecuted{Peer: peer, Status: http.StatusServiceUnavailable}
	switch d.kind {
	case "not sent":
		return nil, beechcall.NotSent{Peer: peer, Step: "connect", Err: errReset}
	case "refused":
		return nil, refusal
	case "refused unmarked":
		refusal.Unmarked = true
		return nil, refusal
	case "replaced":
		return nil, beechcall.NotExecuted{Peer: peer, Status: http.StatusMisdirectedRequest, Replaced: true, ActualID: "another"}
	case "other weights":
		return nil, beechcall.NotExecuted{Peer: peer, Status: http.StatusMisdirectedRequest, WeightsDiffer: true}
	case "withdrawn", "withdrawn late":
		if d.kind == "withdrawn late" || a.Withdrawn() {
			return nil, beechcall.NotSent{Peer: peer, Step: "send", Err: beechcall.ErrWithdrawn}
		}
		return hangs(ctx, a)
	case "no answer":
		return resets(ctx, a)
	case "hangs":
		return hangs(ctx, a)
	case "whole":
		return stream(event(1)+event(2), event(3), nil)
	case "broken":
		return stream(event(1), event(2), errReset)
	case "crash":
		return &beechcall.Answer{Status: http.StatusOK, Body: &pausedBody{ctx: ctx, clock: clock, data: strings.NewReader(event(1)), silence: runTime, rest: readerFunc(func([]byte) (int, error) {
			s.crash(a.Server)
			return 0, errReset
		})}}, nil
	case "silent stream":
		return &beechcall.Answer{Status: http.StatusOK, Body: &silentBody{ctx, strings.NewReader(event(1))}}, nil
	case "refused after events":
		return stream(event(1), "", refusal)
	case "not sent after events":
		return stream("", "", beechcall.NotSent{Peer: peer, Step: "connect", Err: errReset})
	}
	var status int
	if _, err := fmt.Sscanf(d.kind, "status %d", &status); err != nil {
		panic(err)
	}
	return answers(status, "body")(ctx, a)
}

// crash has a server end, and its keeper notice.
func (s *drawnServer) crash(server beechcall.Server) {
	f := s.fixture
	<-f.dispatcher.copies.ended()
	f.report(server, server.Born, 1)
	f.clock.Advance(10 * time.Millisecond)
	f.probes.set(server.Address, syscall.ECONNREFUSED)
	f.placer.UpdateState(beechplace.State{
		Number: uint32(f.clock.Now().UnixMilli()), Address: server.Address, Born: server.Born, Weights: map[string]uint64{backupModel: 1}, Phase: beechrollout.Exited,
	})
}

// ran reports whether any attempt so far may have been executed.
func (s *drawnServer) ran() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.mayRun, true)
}

// Reject implements Responder.
func (c *promiseCaller) Reject(r Rejection) {
	c.told++
	switch r.(type) {
	case NotExecuted, QuotaExceeded:
		if c.server.ran() {
			c.broken = append(c.broken, fmt.Sprintf("rejected with %+v", r))
		}
	}
	c.caller.Reject(r)
}

// Respond implements Responder.
func (c *promiseCaller) Respond(status int, h http.Header, body []byte) {
	c.told++
	if slices.Contains(notRunStatuses, status) && c.server.ran() {
		c.broken = append(c.broken, fmt.Sprintf("answered with status %d", status))
	}
	c.caller.Respond(status, h, body)
}

// Hedges, backups, refusals of every kind, answers that break off and callers that leave overlap. Whatever
// the order, a caller is told that its request has not run only if no attempt at it may have been
// executed, those under way included.
func TestNotRunIsTrueBesideHedgesAndBackups(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		form := rapid.SampledFrom([]string{"any", "crash", "refused late"}).Draw(t, "form")
		policy := rapid.SampledFrom([]beechcall.RetryPolicy{beechcall.AtMostOnce, beechcall.Repeatable, beechcall.Resumable}).Draw(t, "policy")
		stream := policy == beechcall.Resumable || rapid.Bool().Draw(t, "stream")
		durations := []time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond, time.Second}
		var steps []drawnStep
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			steps = append(steps, drawnStep{
				kind:  rapid.SampledFrom(drawnKinds).Draw(t, "kind"),
				after: rapid.SampledFrom(durations).Draw(t, "after"),
				then:  rapid.SampledFrom(durations).Draw(t, "then"),
			})
		}
		f := newBackupFixture()
		f.budget.left = rapid.IntRange(0, 4).Draw(t, "retries")
		deadline := rapid.SampledFrom([]time.Duration{400 * time.Millisecond, 4 * time.Second}).Draw(t, "deadline")
		model := rapid.Bool().Draw(t, "model")
		attempts := rapid.IntRange(1, 3).Draw(t, "attempts")
		switch form {
		case "crash": // the run may go on at its backup
			policy, stream, model, deadline = beechcall.AtMostOnce, true, true, 4*time.Second
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "crashing")].kind = "crash"
		case "refused late": // hedges are under way
			policy, attempts, f.budget.left = rapid.SampledFrom([]beechcall.RetryPolicy{beechcall.Repeatable, beechcall.Resumable}).Draw(t, "repeatable"), 3, 4
			steps[0].kind, steps[0].after = rapid.SampledFrom([]string{"refused", "not sent", "replaced"}).Draw(t, "first"), time.Second
		}
		s := &drawnServer{fixture: f, steps: steps}
		c := &promiseCaller{server: s}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		crashes := rapid.Bool().Draw(t, "engines crash")
		leaves := rapid.IntRange(0, 9).Draw(t, "leaves") // with which attempt the caller does
		seen := rapid.Bool().Draw(t, "seen")
		s.onSend = func(n int) {
			switch {
			case n == leaves && seen:
				c.departed.Store(true)
			case n == leaves:
				cancel()
			}
			if crashes {
				f.probes.set(f.servers[n%len(f.servers)].Address, syscall.ECONNREFUSED)
			}
		}
		f.backend.script = []step{s.send}
		call := f.call(policy, stream)
		call.Deadline = f.clock.Now().Add(deadline)
		call.Route.MaxAttempts, call.Route.MaxPause = attempts, longestPause
		if model {
			call.Model, call.PromptTokens, call.OutputTokens = backupModel, 800, 120
		}
		mayHaveRun := f.serveUntilAnswered(ctx, call, c)
		f.dispatcher.Wait(context.Background())
		if len(c.broken) > 0 && (policy == beechcall.AtMostOnce || c.rejection != nil) {
			t.Fatalf("%v, though it may have run: %+v", c.broken, steps)
		}
		if mayHaveRun == 0 && s.ran() {
			t.Fatalf("counted as not executed, though it may have run: %+v", steps)
		}
		if c.told > 1 {
			t.Fatalf("answered %d times", c.told)
		}
		counts[fmt.Sprintf("%T", c.rejection)]++
		counts["hedged"] += int(f.dispatcher.Silences()[string(silenceHedged)])
		if len(f.backend.copiedTo) > 0 {
			counts["copied"]++
		}
		if f.observed.results[0].Backup.Used {
			counts["went on at a backup"]++
		}
	})
	t.Log(counts)
}

// serveUntilAnswered answers a call while the fake clock advances, and returns the number of attempts that
// may have been executed.
func (f *backupFixture) serveUntilAnswered(ctx context.Context, call *beechcall.Call, out Responder) int {
	done := make(chan int, 1)
	go func() { done <- f.dispatcher.Serve(ctx, call, out) }()
	for {
		select {
		case n := <-done:
			f.dispatcher.crashes.probes.Wait()
			return n
		case <-time.After(100 * time.Microsecond):
			f.clock.Advance(20 * time.Millisecond)
		}
	}
}
