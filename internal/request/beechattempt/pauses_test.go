package beechattempt

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/request/beechcall"
)

// pausingBody sends an event for each pause, after it.
type pausingBody struct {
	clock  *clockwork.FakeClock
	pauses []time.Duration
}

func (b *pausingBody) Read(p []byte) (int, error) {
	if len(b.pauses) == 0 {
		return 0, io.EOF
	}
	b.clock.Advance(b.pauses[0])
	b.pauses = b.pauses[1:]
	return copy(p, "id: 1\ndata: x\n\n"), nil
}

func pausing(f *fixture, pauses ...time.Duration) step {
	return func(context.Context, beechcall.Attempt) (*beechcall.Answer, error) {
		return &beechcall.Answer{Status: http.StatusOK, Body: io.NopCloser(&pausingBody{f.clock, pauses})}, nil
	}
}

// Streams that pause for too long are late to their callers although all events arrive.
func TestTooLongPausesAreCounted(t *testing.T) {
	const short, long = 300 * time.Millisecond, 500 * time.Millisecond
	for _, test := range []struct {
		name    string
		longest time.Duration
		pauses  []time.Duration
		want    map[string]int64
	}{
		{"none", 400 * time.Millisecond, []time.Duration{short, short, short}, map[string]int64{}},
		{"first event late", 400 * time.Millisecond, []time.Duration{long, short, short}, map[string]int64{}},
		{"one", 400 * time.Millisecond, []time.Duration{short, long, short}, map[string]int64{"r unexplained": 1}},
		{"a stream counts once", 400 * time.Millisecond, []time.Duration{short, long, long}, map[string]int64{"r unexplained": 1}},
		{"no longest pause", 0, []time.Duration{short, long}, map[string]int64{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, 0)
			f.backend.script = []step{pausing(f, test.pauses...)}
			call := f.call(beechcall.AtMostOnce, true)
			call.Route.MaxPause = test.longest
			f.serve(t.Context(), call)
			is.Equal(f.dispatcher.LongPauses(), test.want)
		})
	}
}
