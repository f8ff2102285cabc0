package beechending

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/beechring/beechring/internal/link/beechsocket"
)

type (
	// testServer serves one handler behind a door.
	testServer struct {
		address string
		door    *Door
		logs    *observer.ObservedLogs
		ended   chan struct{} // one value for each handler that has ended
	}

	handler func(w *Request, r *http.Request)
)

func newTestServer(t *testing.T, handle handler) *testServer {
	t.Helper()
	core, logs := observer.New(zapcore.InfoLevel)
	log := zap.New(core)
	s := &testServer{logs: logs, door: NewDoor(log, clockwork.NewRealClock(), func() uint64 { return 8 }, func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }), ended: make(chan struct{}, 100)}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	server := &http.Server{
		ReadHeaderTimeout: time.Minute, ErrorLog: zap.NewStdLog(log), ConnContext: beechsocket.ConnContext,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer func() { s.ended <- struct{}{} }()
			request := s.door.Begin(w, r)
			defer request.End()
			request.ID, request.Route, request.Version = "r1", "pick", 7
			handle(request, r)
		}),
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// send sends a request and returns its connection.
func (s *testServer) send(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, "GET /pick/x HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return c
}

// receive returns the status and body of a response, or an error if it is not whole.
func receive(c net.Conn) (*http.Response, string, error) {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// TestEnd guards against requests that end without a whole answer and without a word why.
func TestEnd(t *testing.T) {
	for _, c := range []struct {
		name     string
		handle   handler
		cause    Cause // empty: whole
		progress string
	}{
		{"answered", func(w *Request, _ *http.Request) { w.WriteHeader(http.StatusOK) }, "", ""},
		{"refused", func(w *Request, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, "", ""},
		{"stream", func(w *Request, _ *http.Request) {
			w.BeginStream()
			_, _ = w.Write([]byte("event"))
			w.Complete()
		}, "", ""},
		{"nothing", func(_ *Request, _ *http.Request) {}, NoAnswer, "head read"},
		{"nothing after it was read", func(w *Request, _ *http.Request) { w.WholeRequestRead() }, NoAnswer, "request read"},
		{"stream broken off", func(w *Request, _ *http.Request) {
			w.BeginStream()
			_, _ = w.Write([]byte("event"))
			w.BreakOff()
		}, StreamBroken, "answer begun"},
		{"stream without an end", func(w *Request, _ *http.Request) {
			w.BeginStream()
			_, _ = w.Write([]byte("event"))
		}, StreamBroken, "answer begun"},
		{"stream that tells its failure", func(w *Request, _ *http.Request) {
			w.BeginStream()
			_, _ = w.Write([]byte("event: error"))
			w.TellFailure()
		}, StreamBroken, "answer begun"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t, c.handle)
			response, body, err := receive(s.send(t))
			<-s.ended
			is.Equal(err == nil, c.cause == "" || c.cause == NoAnswer || body == "event: error")
			if c.cause == NoAnswer {
				is.Equal(response.StatusCode, http.StatusInternalServerError)
				is.True(response.Close)
			}
			lines := s.logs.FilterMessage("request ended without a whole answer").All()
			if c.cause == "" {
				is.Equal(len(lines), 0)
				is.Equal(len(s.door.Values()), 0)
				return
			}
			is.Equal(s.door.Count(c.cause), int64(1))
			is.Equal(len(lines), 1)
			fields := lines[0].ContextMap()
			is.Equal(fields["request"], "r1")
			is.Equal(fields["route"], "pick")
			is.Equal(fields["cause"], string(c.cause))
			is.Equal(fields["progress"], c.progress)
			is.Equal(fields["configuration"], uint64(7))
			is.Equal(fields["now"], uint64(8))
		})
	}
}

// TestCallerThatLeft guards against departures that are counted as faults.
func TestCallerThatLeft(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, func(_ *Request, r *http.Request) { <-r.Context().Done() })
	_ = s.send(t).Close()
	<-s.ended
	is.Equal(s.door.Values(), map[string]int64{string(CallerClosed): 1})
	is.Equal(s.logs.FilterMessage("caller left before the end of its answer").Len(), 1)
}

// TestCallerBelievedGone guards against contexts that end although the callers are there, and nobody can tell.
func TestCallerBelievedGone(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, func(w *Request, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		cancel()
		w.http = r.WithContext(ctx)
	})
	response, _, err := receive(s.send(t))
	<-s.ended
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusInternalServerError)
	is.Equal(s.door.Values(), map[string]int64{string(CallerCanceled): 1})
	is.Equal(s.logs.FilterMessage("request ended without a whole answer").Len(), 1)
}

// TestPanic guards against a caller that gets neither an answer nor a refusal since its handler panics,
// and against a failure that bears what was prepared for an answer.
func TestPanic(t *testing.T) {
	for _, c := range []struct {
		name   string
		handle handler
		status int // 0: an incomplete response
	}{
		{"before it was read", func(_ *Request, _ *http.Request) { panic("fault") }, http.StatusInternalServerError},
		{"with headers prepared", func(w *Request, _ *http.Request) {
			w.WholeRequestRead()
			w.Header().Set("Seal", "of an answer")
			panic("fault")
		}, http.StatusInternalServerError},
		{"with a body begun", func(w *Request, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
			panic("fault")
		}, 0},
		{"in a stream", func(w *Request, _ *http.Request) {
			w.BeginStream()
			_, _ = io.WriteString(w, "event")
			_ = http.NewResponseController(w).Flush()
			panic("fault")
		}, 0},
		{"after a whole answer", func(w *Request, _ *http.Request) {
			_, _ = io.WriteString(w, "answer")
			w.Complete()
			panic("fault")
		}, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t, c.handle)
			response, _, err := receive(s.send(t))
			<-s.ended
			is.Equal(err == nil, c.status != 0)
			if c.status != 0 {
				is.Equal(response.StatusCode, c.status)
				is.Equal(response.Header.Get("Seal"), "")
				is.Equal(response.Close, c.status != http.StatusOK)
			}
			is.Equal(s.door.Values(), map[string]int64{string(Panic): 1})
			lines := s.logs.FilterMessage("handler panicked").All()
			is.Equal(len(lines), 1)
			is.Equal(lines[0].ContextMap()["panic"], "fault")
			is.True(strings.Contains(lines[0].ContextMap()["stack"].(string), "ending_test.go"))
		})
	}
}

// TestManyEndsAtOnce guards against a log line for each of thousands of callers that leave at once.
func TestManyEndsAtOnce(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, func(_ *Request, _ *http.Request) {})
	const requests = 100
	for range requests {
		s.send(t)
	}
	for range requests {
		<-s.ended
	}
	is.Equal(s.door.Count(NoAnswer), int64(requests))
	lines := s.logs.FilterMessage("request ended without a whole answer").Len()
	is.True(lines < requests)
	is.Equal(int64(lines)+s.door.DroppedLines().Value(), int64(requests))
}
