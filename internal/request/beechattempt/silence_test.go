package beechattempt

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechsurvival"
	"github.com/beechring/beechring/internal/request/beechcall"
)

type (
	// pausedBody has some data, is silent for a time and then has the rest.
	pausedBody struct {
		ctx     context.Context
		clock   clockwork.Clock
		data    io.Reader
		silence time.Duration
		rest    io.Reader
		paused  bool
	}

	// slowCaller takes a time to accept each event.
	slowCaller struct {
		caller
		clock clockwork.Clock
		takes time.Duration
	}

	// alternative is what a call may find when its server is silent.
	alternative struct {
		name     string
		servers  int
		software []string // versions of the servers, in turn
		retries  int
		attempts int // that the route allows
		second   step
	}
)

// silence is longer than the time-outs of the routes below, and shorter than their callers wait.
const (
	silence      = 1200 * time.Millisecond
	longestPause = 250 * time.Millisecond
)

func (b *pausedBody) Read(p []byte) (int, error) {
	if n, err := b.data.Read(p); err == nil {
		return n, nil
	}
	if !b.paused {
		b.paused = true
		select {
		case <-b.clock.After(b.silence):
		case <-b.ctx.Done():
		}
	}
	if isDone(b.ctx) {
		return 0, context.Cause(b.ctx)
	}
	return b.rest.Read(p)
}

func (b *pausedBody) Close() error { return nil }

func (c *slowCaller) SendEvents(data []byte) error {
	<-c.clock.After(c.takes)
	return c.caller.SendEvents(data)
}

// pauses returns an answer that is silent in its middle.
func (f *fixture) pauses(data string, silence time.Duration, rest string) step {
	return func(ctx context.Context, _ beechcall.Attempt) (*beechcall.Answer, error) {
		return &beechcall.Answer{Status: http.StatusOK, Body: &pausedBody{ctx: ctx, clock: f.clock, data: strings.NewReader(data), silence: silence, rest: strings.NewReader(rest)}}, nil
	}
}

// answersLate returns an answer that begins after a time.
func (f *fixture) answersLate(after time.Duration, body string) step {
	return func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		select {
		case <-f.clock.After(after):
			return answers(http.StatusOK, body)(ctx, a)
		case <-ctx.Done():
			return hangs(ctx, a)
		}
	}
}

// alternatives are those that do not replace a silent server.
func alternatives() []alternative {
	return []alternative{
		{"refuses", 8, nil, 5, 3, refuses},
		{"answers 500", 8, nil, 5, 3, answers(http.StatusInternalServerError, "no")},
		{"silent too", 8, nil, 5, 3, hangs},
		{"silent after its headers", 8, nil, 5, 3, fallsSilent("")},
		{"not to be reached", 8, nil, 5, 3, unreachable},
		{"resets", 8, nil, 5, 3, resets},
		{"breaks off at once", 8, nil, 5, 3, breaks("")},
		{"ends in its first event", 8, nil, 5, 3, answers(http.StatusOK, "id: 2\ndat")},
		{"none", 1, nil, 5, 3, refuses},
		{"no retry left", 8, nil, 0, 3, answers(http.StatusOK, event(2))},
		{"no attempt left", 8, nil, 5, 1, answers(http.StatusOK, event(2))},
		{"two allowed, refuses", 8, nil, 5, 2, refuses},
		{"two allowed, silent too", 8, nil, 5, 2, hangs},
	}
}

func (a alternative) fixture(first func(f *fixture) step) *fixture {
	f := newFixture(a.servers, a.retries)
	f.reachable = reachable{}
	for _, s := range f.servers {
		f.reachable[s.Address] = true
	}
	f.dispatcher.crashes.prober, f.dispatcher.survivals = f.reachable, beechsurvival.New(lifetimes{f.placer, f.backend, f.reachable}, f.clock)
	if len(a.software) > 0 {
		f.setSoftware(a.software...)
	}
	f.backend.script = []step{first(f), a.second}
	return f
}

// A server is silent in the middle of a stream for less than its caller waits. The gate gives the
// stream up for a continuation that it does not get, and the caller has half an answer.
func TestSilentServerGoesOnIfNothingReplacesIt(t *testing.T) {
	cases := append(alternatives(), alternative{"other software", 2, []string{"v1", "v2"}, 5, 3, answers(http.StatusOK, event(2))},
		alternative{"answers 404", 8, nil, 5, 3, answers(http.StatusNotFound, "not here")})
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := test.fixture(func(f *fixture) step { return f.pauses(event(1), silence, event(2)+event(3)) })
			call := f.call(beechcall.Resumable, true)
			call.Route.MaxPause, call.Route.MaxAttempts = longestPause, test.attempts
			c := f.serve(t.Context(), call)
			is.Equal(c.body, event(1)+event(2)+event(3))
			is.True(c.ended)
			is.True(!c.broken)
		})
	}
}

// The software of the server that would go on with a stream changes just before its first event.
func TestSilentServerGoesOnIfItsReplacementChanges(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, 5)
	f.backend.script = []step{f.pauses(event(1), silence, event(2)+event(3)), func(ctx context.Context, a beechcall.Attempt) (*beechcall.Answer, error) {
		f.setSoftware("v2")
		return answers(http.StatusOK, event(2)+event(3))(ctx, a)
	}}
	call := f.call(beechcall.Resumable, true)
	call.Route.MaxPause, call.Route.MaxAttempts = longestPause, 3
	c := f.serve(t.Context(), call)
	is.Equal(c.body, event(1)+event(2)+event(3))
	is.True(c.ended)
}

// A server is silent before its answer begins, for longer than the time-out. The gate gives it up, and the
// caller is told that there is no answer just before it would have had one.
func TestSilentServerAnswersIfNothingReplacesIt(t *testing.T) {
	for name, policy := range map[string]beechcall.RetryPolicy{"resumable": beechcall.Resumable, "repeatable": beechcall.Repeatable} {
		for _, test := range alternatives() {
			if policy == beechcall.Repeatable && (strings.HasPrefix(test.name, "ends") || strings.HasPrefix(test.name, "breaks")) {
				continue // whole answers there
			}
			t.Run(name+", "+test.name, func(t *testing.T) {
				is := is.New(t)
				stream := policy == beechcall.Resumable
				want := event(1)
				f := test.fixture(func(f *fixture) step { return f.answersLate(silence, want) })
				call := f.call(policy, stream)
				call.Route.MaxPause, call.Route.MaxAttempts = longestPause, test.attempts
				if test.name == "silent after its headers" && !stream {
					f.backend.script[1] = fallsSilent("half an")
				}
				c := f.serve(t.Context(), call)
				is.Equal(c.rejection, nil)
				is.Equal(c.status, http.StatusOK)
				is.Equal(c.body, want)
			})
		}
	}
}

// A whole answer stands still in its middle, and what is to replace it fails.
func TestSilentAnswerGoesOnIfNothingReplacesIt(t *testing.T) {
	for _, test := range alternatives()[:6] {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := test.fixture(func(f *fixture) step { return f.pauses("half ", silence, "and half") })
			call := f.call(beechcall.Repeatable, false)
			call.Route.MaxAttempts = test.attempts
			c := f.serve(t.Context(), call)
			is.Equal(c.rejection, nil)
			is.Equal(c.body, "half and half")
		})
	}
}

// A caller is slow to read. Its server has long sent more, and is taken for silent.
func TestSlowCallerDoesNotMakeItsServerSilent(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, 5)
	f.backend.script = []step{func(ctx context.Context, _ beechcall.Attempt) (*beechcall.Answer, error) {
		return &beechcall.Answer{Status: http.StatusOK, Body: &eventBody{ctx: ctx, events: []string{event(1), event(2), event(3)}}}, nil
	}, answers(http.StatusOK, event(2))}
	call := f.call(beechcall.Resumable, true)
	call.Route.MaxPause = longestPause
	c := &slowCaller{clock: f.clock, takes: silence}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.dispatcher.Serve(t.Context(), call, c)
	}()
	for !isClosed(done) {
		time.Sleep(200 * time.Microsecond)
		f.clock.Advance(5 * time.Millisecond)
	}
	is.Equal(len(f.backend.sent), 1)
	is.Equal(f.budget.left, 5)
	is.Equal(c.body, event(1)+event(2)+event(3))
	is.True(c.ended)
}

// eventBody has an event for each read until its context ends.
type eventBody struct {
	ctx    context.Context
	events []string
}

func (b *eventBody) Read(p []byte) (int, error) {
	switch {
	case isDone(b.ctx):
		return 0, context.Cause(b.ctx)
	case len(b.events) == 0:
		return 0, io.EOF
	}
	n := copy(p, b.events[0])
	b.events = b.events[1:]
	return n, nil
}

func (b *eventBody) Close() error { return nil }

// A process stands still for longer than its time-outs, and its timers run before it has read what came
// meanwhile.
func TestLateTimerLooksForDataFirst(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, 5)
	arrived, asked := make(chan string), make(chan struct{}, 1)
	f.backend.script = []step{func(ctx context.Context, _ beechcall.Attempt) (*beechcall.Answer, error) {
		return &beechcall.Answer{Status: http.StatusOK, Body: &channelBody{ctx: ctx, arrived: arrived, asked: asked}}, nil
	}, answers(http.StatusOK, event(2))}
	call := f.call(beechcall.Resumable, true)
	call.Route.MaxPause = longestPause
	c := &caller{}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var served sync.WaitGroup
	served.Go(func() { f.dispatcher.Serve(ctx, call, c) })
	arrive := func(data string) {
		select {
		case arrived <- data:
		case <-ctx.Done():
		}
	}
	await(ctx, asked)
	arrive(event(1))
	await(ctx, asked)
	f.clock.Advance(3 * time.Second)
	time.Sleep(20 * time.Millisecond) // the timers' callbacks run
	arrive(event(2))
	await(ctx, asked)
	close(arrived)
	served.Wait()
	is.Equal(len(f.backend.sent), 1)
	is.Equal(f.budget.left, 5)
	is.Equal(c.body, event(1)+event(2))
	is.True(c.ended)
}

func await(ctx context.Context, told <-chan struct{}) {
	select {
	case <-told:
	case <-ctx.Done():
	}
}

// channelBody has the data that arrives on a channel, and tells when it waits for more.
type channelBody struct {
	ctx     context.Context
	arrived chan string
	asked   chan struct{}
}

func (b *channelBody) Read(p []byte) (int, error) {
	select {
	case b.asked <- struct{}{}:
	case <-b.ctx.Done():
	}
	select {
	case data, ok := <-b.arrived:
		if !ok {
			return 0, io.EOF
		}
		return copy(p, data), nil
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	}
}

func (b *channelBody) Close() error { return nil }
