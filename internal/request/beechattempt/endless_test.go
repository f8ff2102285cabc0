package beechattempt

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/request/beechcall"
)

const (
	garbageBytes = 4 << 20 // of an endless body, after which it is silent
	maxTaken     = 1 << 20 // of these that may be read
	dripInterval = 20 * time.Millisecond
)

// endlessBody has some data first and then repeats a piece, at once or one each interval, until its context ends.
type endlessBody struct {
	ctx      context.Context
	clock    clockwork.Clock
	first    io.Reader
	piece    string
	interval time.Duration // 0: at once, garbageBytes altogether
	taken    *atomic.Int64
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if n, err := b.first.Read(p); err == nil {
		return n, nil
	}
	if b.interval == 0 && b.taken.Load() >= garbageBytes {
		<-b.ctx.Done()
	}
	if b.interval > 0 {
		select {
		case <-b.clock.After(b.interval):
		case <-b.ctx.Done():
		}
	}
	if isDone(b.ctx) {
		return 0, context.Cause(b.ctx)
	}
	n := copy(p, b.piece)
	if b.interval == 0 {
		for n < len(p) {
			n += copy(p[n:], b.piece)
		}
	}
	b.taken.Add(int64(n))
	return n, nil
}

func (b *endlessBody) Close() error { return nil }

// neverEnds returns an answer that has some data and then repeats a piece without end.
func (f *fixture) neverEnds(data, piece string, interval time.Duration, taken *atomic.Int64) step {
	return func(ctx context.Context, _ beechcall.Attempt) (*beechcall.Answer, error) {
		return &beechcall.Answer{Status: http.StatusOK, Body: &endlessBody{ctx: ctx, clock: f.clock, first: strings.NewReader(data), piece: piece, interval: interval, taken: taken}}, nil
	}
}

// garbage is what a server may send without end where events are due.
var garbage = map[string]string{"no line end": "x", "an event without end": "data: x\n", "lines without fields": "xxxxx\n\n", "blank lines": "\n", "unknown fields": "x: y\n\n"}

// TestEndlessStreamIsBounded guards against a stream's bytes that are kept and searched without a bound
// since they form no event.
func TestEndlessStreamIsBounded(t *testing.T) {
	for name, piece := range garbage {
		for begin, data := range map[string]string{"first": "", "after an event": event(1)} {
			t.Run(name+", "+begin, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(8, 5)
				taken := new(atomic.Int64)
				f.backend.script = []step{f.neverEnds(data, piece, 0, taken), answers(http.StatusOK, event(2)+event(3))}
				call := f.call(beechcall.Resumable, true)
				call.Route.MaxPause, call.Route.MaxAttempts = longestPause, 3
				c := f.serve(t.Context(), call)
				is.True(c.body == data+event(2)+event(3))
				is.True(c.ended)
				is.True(taken.Load() < maxTaken)
				is.Equal(f.dispatcher.Crashes()["servers"], int64(0)) // though it cannot be reached
			})
		}
	}
}

// TestBytesWithoutEventsAreSilence guards against a server that is waited for since it sends bytes, though
// none of them is an event.
func TestBytesWithoutEventsAreSilence(t *testing.T) {
	for name, piece := range garbage {
		for begin, data := range map[string]string{"first": "", "after an event": event(1)} {
			t.Run(name+", "+begin, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(8, 5)
				f.backend.script = []step{f.neverEnds(data, piece, dripInterval, new(atomic.Int64)), answers(http.StatusOK, event(2)+event(3))}
				call := f.call(beechcall.Resumable, true)
				call.Route.MaxPause, call.Route.MaxAttempts = longestPause, 3
				begun := f.clock.Now()
				c := f.serve(t.Context(), call)
				is.True(c.body == data+event(2)+event(3))
				is.True(c.ended)
				is.True(f.clock.Since(begun) < 3*time.Second)
			})
		}
	}
}

// TestServerThatSendsNoEventsIsSilentToOthers guards against hedges of other calls to a server whose streams have
// bytes and no events.
func TestServerThatSendsNoEventsIsSilentToOthers(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 0)
	f.backend.script = []step{f.neverEnds(event(1), "x", dripInterval, new(atomic.Int64))}
	call := f.call(beechcall.Resumable, true)
	call.Route.MaxPause = longestPause
	ctx, leave := context.WithCancel(t.Context())
	c := &caller{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.dispatcher.Serve(ctx, call, c)
	}()
	const quiet = 400 * time.Millisecond
	for begun := f.clock.Now(); f.clock.Since(begun) < quiet+200*time.Millisecond; {
		time.Sleep(200 * time.Microsecond)
		f.clock.Advance(5 * time.Millisecond)
	}
	silent := f.dispatcher.activities.silent(quiet)
	leave()
	<-done
	is.Equal(silent, []string{"s0"})
}

// TestEndlessAnswerThatMayRunOnceIsUnknown guards against a refusal that says not run for a request whose server
// has sent bytes without end.
func TestEndlessAnswerThatMayRunOnceIsUnknown(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, 5)
	f.backend.script = []step{f.neverEnds("", "x", 0, new(atomic.Int64)), answers(http.StatusOK, event(1))}
	call := f.call(beechcall.AtMostOnce, true)
	c := f.serve(t.Context(), call)
	is.Equal(len(f.backend.sent), 1)
	_, unknown := c.rejection.(OutcomeUnknown)
	is.True(unknown)
}

// TestSoundStreamInPiecesIsWhole guards against bounds and time-outs that a slow sound server meets.
func TestSoundStreamInPiecesIsWhole(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 0)
	want := ": comment\r\n\r\n" + event(1) + "event: x\r\ndata: y\r\n\r\n" + "data\n\n" + "retry: 5\n\n" + event(2) + "data: " + strings.Repeat("x", 100<<10) + "\n\n"
	f.backend.script = []step{func(context.Context, beechcall.Attempt) (*beechcall.Answer, error) {
		return &beechcall.Answer{Status: http.StatusOK, Body: io.NopCloser(&smallReads{strings.NewReader(want), 7})}, nil
	}}
	call := f.call(beechcall.Resumable, true)
	call.Deadline = f.clock.Now().Add(time.Hour)
	c := f.serve(t.Context(), call)
	is.Equal(len(c.body), len(want))
	is.Equal(c.body, want)
	is.True(c.ended)
}

// smallReads returns a few bytes at a time.
type smallReads struct {
	io.Reader
	n int
}

func (r *smallReads) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(len(p), r.n)]) }
