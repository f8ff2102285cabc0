package beechattempt

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/beechring/beechring/internal/request/beechcall"
)

// silentBody has data, and then nothing until its context ends.
type silentBody struct {
	ctx  context.Context
	data io.Reader
}

func (b *silentBody) Read(p []byte) (int, error) {
	if n, err := b.data.Read(p); err == nil {
		return n, nil
	}
	<-b.ctx.Done()
	return 0, context.Cause(b.ctx)
}

func (b *silentBody) Close() error { return nil }

// fallsSilent returns an answer that begins and does not go on.
func fallsSilent(body string) step {
	return func(ctx context.Context, _ beechcall.Attempt) (*beechcall.Answer, error) {
		return &beechcall.Answer{Status: http.StatusOK, Body: &silentBody{ctx, strings.NewReader(body)}}, nil
	}
}

// A stream is broken off, and neither log nor metrics say who ended it, after how long a silence, and what
// was tried instead.
func TestLogSaysWhatEndedAStream(t *testing.T) {
	for _, test := range []struct {
		name    string
		policy  beechcall.RetryPolicy
		script  []step
		endedBy string
		tried   int
		broken  string
	}{
		{"server, no retry", beechcall.AtMostOnce, []step{breaks(event(1))}, "server broke off", 0, "server broke off, not repeatable"},
		{"server, retry refused", beechcall.Resumable, []step{breaks(event(1)), refuses}, "server broke off", 2, "server broke off, retry budget spent"},
		{"deadline", beechcall.AtMostOnce, []step{fallsSilent(event(1))}, "deadline", 0, "deadline, no time left"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(8, 2, test.script...)
			core, logs := observer.New(zapcore.InfoLevel)
			f.dispatcher.log = zap.New(core)
			c := f.serve(t.Context(), f.call(test.policy, true))
			is.True(c.broken)
			line := logs.FilterMessage("stream broken off").All()[0].ContextMap()
			is.Equal(line["endedBy"], test.endedBy)
			is.Equal(line["by"], f.backend.sent[0].Server.ID)
			is.Equal(len(line["tried"].([]any)), test.tried)
			is.Equal(f.dispatcher.StreamsBroken(), map[string]int64{test.broken: 1})
			is.Equal(f.dispatcher.AttemptEnds()[test.endedBy], int64(1))
			is.Equal(f.dispatcher.AttemptEnds()["turned away"], int64(test.tried))
		})
	}
}

// Callers leave since servers are silent, and nothing says so.
func TestResultTellsTheSilence(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 0, fallsSilent(event(1)))
	ended := &endings{}
	f.dispatcher.observer = ended
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	c := &caller{}
	begun := f.clock.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.dispatcher.Serve(ctx, f.call(beechcall.AtMostOnce, true), c)
	}()
	for !isClosed(done) {
		f.clock.Advance(5 * time.Millisecond)
		time.Sleep(200 * time.Microsecond)
		if f.clock.Since(begun) > minPauseTimeout {
			leave()
		}
	}
	is.Equal(ended.results[0].Outcome, OutcomeLeft)
	is.True(ended.results[0].Silence >= minPauseTimeout/2)
	is.Equal(f.dispatcher.AttemptEnds()["caller left"], int64(1))
}
