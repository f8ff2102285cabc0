package beechbackend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/standin/beechengine"
	"github.com/beechring/beechring/internal/standin/beechservice"
)

const (
	model  = "advisor@w1"
	prompt = `[{"role":"system","content":"You knit & <count> stitches, with long instructions shared by all members of it."},{"role":"user","content":"which sock?"}]`
	body   = `{"model":"advisor","messages":` + prompt + `,"max_tokens":12,"seed":  7}`
)

func serve(t *testing.T, h http.Handler) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func startEngine(t *testing.T, s beechengine.Settings) (*beechengine.Engine, Engine) {
	t.Helper()
	s.Models = []string{model}
	fake := beechengine.New(s, clockwork.NewRealClock())
	return fake, NewOpenAI(serve(t, fake.Handler()), NewClient(time.Second))
}

func generate(id string) GenerateRequest {
	return GenerateRequest{RequestID: id, Path: "/v1/chat/completions", Body: []byte(body), Salt: "s1", Streamed: true, Model: model}
}

func completeAnswer(t *testing.T) string {
	t.Helper()
	p, err := beechengine.Prompt([]byte(body))
	is.New(t).NoErr(err)
	return beechengine.Answer(model, p, 12)
}

// read returns the text of a stream, its usage and the last error of the reader. If
// stopAfter is not 0, it stops after that many events with text.
func read(t *testing.T, a *Answer, stopAfter int) (string, *Usage, error) {
	t.Helper()
	defer a.Body.Close()
	events := NewEventReader(a.Body, DefaultEventLimit)
	var text strings.Builder
	var usage *Usage
	for n := 0; ; {
		e, err := events.Next()
		if err != nil {
			return text.String(), usage, err
		}
		if e.Done() {
			continue
		}
		c, err := ParseChunk(e.Data)
		is.New(t).NoErr(err)
		text.WriteString(c.Text)
		if c.Usage != nil {
			usage = c.Usage
		}
		if c.Text != "" {
			n++
		}
		if stopAfter > 0 && n == stopAfter {
			return text.String(), usage, nil
		}
	}
}

func TestStreamIsCompleteAndCached(t *testing.T) {
	is := is.New(t)
	fake, engine := startEngine(t, beechengine.Settings{BlockTokens: 4})
	ctx := context.Background()

	a, err := engine.Generate(ctx, generate("r1"))
	is.NoErr(err)
	is.True(a.Streamed)
	text, usage, err := read(t, a, 0)
	is.Equal(err, io.EOF)
	is.Equal(text, completeAnswer(t))
	is.Equal(usage.Cached, 0)
	is.Equal(usage.Output, 12)

	a, err = engine.Generate(ctx, generate("r2"))
	is.NoErr(err)
	_, again, err := read(t, a, 0)
	is.Equal(err, io.EOF)
	is.True(again.Cached > usage.Prompt-8)

	other := generate("r3")
	other.Salt = "s2"
	a, err = engine.Generate(ctx, other)
	is.NoErr(err)
	_, apart, _ := read(t, a, 0)
	is.Equal(apart.Cached, 0) // nothing is shared with another salt

	incarnation, events, err := engine.CacheEvents(ctx, 0)
	is.NoErr(err)
	is.Equal(incarnation, fake.Incarnation())
	is.Equal(len(events), 2*again.Cached/4)
	is.Equal(events[0], CacheEvent{Sequence: 1, Salt: "s1", Hash: events[0].Hash, Tokens: 4, Stored: true})
	is.Equal(len(fake.Journal().Entries), 3)
}

func TestResumeContinuesAfterGivenText(t *testing.T) {
	is := is.New(t)
	_, engine := startEngine(t, beechengine.Settings{TokenTime: time.Millisecond})
	a, err := engine.Generate(context.Background(), generate("r1"))
	is.NoErr(err)
	prefix, _, err := read(t, a, 5)
	is.NoErr(err)

	g := generate("r1")
	g.Resume = prefix
	a, err = engine.Generate(context.Background(), g)
	is.NoErr(err)
	rest, usage, err := read(t, a, 0)
	is.Equal(err, io.EOF)
	is.Equal(prefix+rest, completeAnswer(t))
	is.Equal(usage.Output, 12)

	g.Resume = prefix + "extra "
	a, err = engine.Generate(context.Background(), g)
	is.NoErr(err)
	is.Equal(a.Status, http.StatusBadRequest)
}

// The caller's JSON may contain a salt, a priority or a text to resume, also several
// times and in other spellings. If they reached the engine, a caller could find out by
// timing what another workspace has cached.
func TestCallerCannotSetFieldsOfTheAgent(t *testing.T) {
	is := is.New(t)
	g := generate("r1")
	g.Body = []byte(`{"cache_salt":"x","Cache_Salt":"y","cache\u005fsalt":"z","priority":-9,"resume_text":"a ",` +
		`"stream_options":{"x":1,"include_usage":false},"unknown":{"a":[1, 2,"}"]},"messages":[]}`)
	got, err := completeBody(g)
	is.NoErr(err)
	is.Equal(string(got), `{"cache_salt":"s1","priority":0,"stream":true,"model":"advisor@w1",`+
		`"stream_options":{"include_usage":true,"x":1},"unknown":{"a":[1, 2,"}"]},"messages":[]}`)
}

func TestCrashDuringStreamIsBroken(t *testing.T) {
	is := is.New(t)
	fake, engine := startEngine(t, beechengine.Settings{TokenTime: 5 * time.Millisecond})
	before := fake.Incarnation()
	a, err := engine.Generate(context.Background(), generate("r1"))
	is.NoErr(err)
	fake.Crash(time.Millisecond)
	_, _, err = read(t, a, 0)
	var broken *Broken
	is.True(errors.As(err, &broken))
	is.True(!NotRun(err))
	for fake.Incarnation() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.True(fake.Incarnation() != before)
	is.Equal(fake.Journal().Entries[0].State, beechengine.StateCrashed)
}

func TestNotRunOnlyForNotSentAndRefused(t *testing.T) {
	is := is.New(t)
	fake, engine := startEngine(t, beechengine.Settings{})
	ctx := context.Background()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	gone := netip.MustParseAddrPort(listener.Addr().String())
	listener.Close()
	_, err = NewOpenAI(gone, NewClient(time.Second)).Generate(ctx, generate("r1"))
	var notSent *NotSent
	is.True(errors.As(err, &notSent))
	is.Equal(notSent.Peer, gone)

	fake.Inject(beechengine.Fault{Kind: beechengine.FaultBusy, Count: 1})
	_, err = engine.Generate(ctx, generate("r2"))
	var refused *Refused
	is.True(errors.As(err, &refused))
	is.Equal(refused.Status, http.StatusServiceUnavailable)
	is.Equal(refused.After, time.Second)

	unknown := generate("r3")
	unknown.Model = "advisor@w9"
	_, err = engine.Generate(ctx, unknown)
	is.True(NotRun(err))

	fake.Inject(beechengine.Fault{Kind: beechengine.FaultWrongID, Count: 1})
	_, err = engine.Generate(ctx, generate("r5"))
	is.True(errors.Is(err, ErrWrongRequest))
	is.True(!NotRun(err))

	fake.Inject(beechengine.Fault{Kind: beechengine.FaultFreeze})
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, err = engine.Generate(short, generate("r4"))
	var timeout *Timeout
	is.True(errors.As(err, &timeout))
	fake.Inject(beechengine.Fault{Kind: beechengine.FaultThaw})
}

// A service reads a request and closes the connection without a response. When a
// kept-alive connection closes, net/http retries requests that it considers idempotent,
// and the service would make a booking twice.
func TestTransportDoesNotResendRequests(t *testing.T) {
	is := is.New(t)
	var seen atomic.Int32
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/warm" {
			return
		}
		seen.Add(1)
		if r.URL.Path == "/redirect" {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
			return
		}
		panic(http.ErrAbortHandler)
	}))
	service := NewService(address, "", NewClient(time.Second))
	for i, r := range []RelayRequest{
		{Method: http.MethodPost, Path: "/bookings", Body: []byte("{}")},
		{Method: http.MethodPost, Path: "/bookings"},
		{Method: http.MethodGet, Path: "/bookings"},
		{Method: http.MethodDelete, Path: "/bookings"},
		{Method: http.MethodPost, Path: "/redirect", Body: []byte("{}")},
	} {
		warm, err := service.Relay(context.Background(), RelayRequest{Method: http.MethodGet, Path: "/warm"})
		is.NoErr(err)
		warm.Body.Close()
		a, err := service.Relay(context.Background(), r)
		if err == nil {
			a.Body.Close()
		}
		is.True(!NotRun(err))
		is.Equal(int(seen.Load()), i+1)
	}
}

func TestServiceIsRefusedOnlyByRanHeader(t *testing.T) {
	is := is.New(t)
	fake := beechservice.New(beechservice.Settings{}, clockwork.NewRealClock())
	service := NewService(serve(t, fake.Handler()), "/ready", NewClient(time.Second))
	ctx := context.Background()
	booking := RelayRequest{RequestID: "b1", Method: http.MethodPost, Path: "/bookings", ContentType: "application/json", Body: []byte(`{"field":1}`)}
	is.NoErr(service.Ready(ctx))

	fake.Inject(beechservice.Fault{Kind: beechservice.FaultBusy, Count: 1})
	_, err := service.Relay(ctx, booking)
	is.True(NotRun(err))
	is.Equal(fake.Journal().PerRequestID["b1"], 0)

	fake.Inject(beechservice.Fault{Kind: beechservice.FaultDropReply, Count: 1})
	_, err = service.Relay(ctx, booking)
	is.True(err != nil)
	is.True(!NotRun(err))
	is.Equal(fake.Journal().PerRequestID["b1"], 1)

	a, err := service.Relay(ctx, booking)
	is.NoErr(err)
	defer a.Body.Close()
	is.Equal(a.Status, http.StatusOK)
	is.Equal(fake.Journal().PerBody[beechservice.BodyHash(booking.Body)], 2)
}

func TestEventReader(t *testing.T) {
	is := is.New(t)
	r := NewEventReader(strings.NewReader(": comment\r\ndata: a\r\ndata:b\r\nid: 7\r\n\r\n\nevent: x\ndata: [DONE]\n\n"), 64)
	e, err := r.Next()
	is.NoErr(err)
	is.Equal(string(e.Data), "a\nb")
	is.Equal(e.ID, "7")
	e, err = r.Next()
	is.NoErr(err)
	is.True(e.Done())
	_, err = r.Next()
	is.Equal(err, io.EOF)

	_, err = NewEventReader(strings.NewReader("data: a\n"), 64).Next()
	is.Equal(err, ErrTruncated)
	_, err = NewEventReader(strings.NewReader("data: "+strings.Repeat("x", 10_000)), 64).Next()
	is.True(errors.Is(err, ErrEventTooLong))
	_, err = NewEventReader(strings.NewReader(strings.Repeat("data: xxxxxxxx\n", 100)), 64).Next()
	is.True(errors.Is(err, ErrEventTooLong))
}

func TestReadChunk(t *testing.T) {
	is := is.New(t)
	for data, want := range map[string]Chunk{
		`{"system_fingerprint":"a@w1","choices":[{"delta":{"role":"assistant","content":"caf\u00e9 \"x\" "}},{"delta":{"content":"other"}}],"usage":null}`: {
			Text: `café "x" `, Model: "a@w1", Choices: 2,
		},
		`{ "choices" : [ { "text" : "é" , "finish_reason" : "stop" } ] }`:                                 {Text: "é", Finish: "stop", Choices: 1},
		`{"choices":[{"message":{"content":null},"finish_reason":null}],"system_fingerprint":"fp_1"}`:     {Choices: 1},
		`{"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2,"prompt_tokens_details":null}}`:   {Usage: &Usage{Prompt: 9, Output: 2}},
		`{"usage":{"prompt_tokens":9,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":8}}}`: {Usage: &Usage{Prompt: 9, Cached: 8, Output: 2}},
		`{"error":{"message":"out of memory"}}`:                                                           {Failure: "out of memory"},
		`{"error":"out of memory"}`:                                                                       {Failure: noFailureMessage},
	} {
		got, err := ParseChunk([]byte(data))
		is.NoErr(err)
		is.Equal(got, want)
	}
	for _, data := range []string{"", "x", "[]", `{"choices":[`, `{"choices":{}}`, `{"usage":7}`, `{"choices":[{"text":"\x"}]}`} {
		_, err := ParseChunk([]byte(data))
		is.True(err != nil)
	}
}

// Guards against an error that waits for the deadline of a context with a fake clock.
func TestBrokenConnectionIsReportedBeforeTheDeadline(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	ctx, cancel := clockwork.WithTimeout(context.Background(), clock, time.Second)
	defer cancel()
	peer := netip.MustParseAddrPort("127.0.0.1:9")
	failed := make(chan error, 1)
	go func() { failed <- transportError(ctx, "order", peer, io.ErrUnexpectedEOF) }()
	select {
	case err := <-failed:
		var broken *Broken
		is.True(errors.As(err, &broken))
	case <-time.After(5 * time.Second):
		t.Fatal("no error")
	}
	clock.Advance(time.Second)
	<-ctx.Done()
	var overdue *Timeout
	is.True(errors.As(transportError(ctx, "order", peer, io.ErrUnexpectedEOF), &overdue))
}
