package beechbackend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// respondInCalm answers by the book: each answer names its request, and a request whose body asks for it is refused.
func respondInCalm(r *http.Request, body string) string {
	id := r.Header.Get(RequestHeader)
	switch {
	case body == "refuse":
		return rawRefusal(id)
	case r.URL.Path == "/ready":
		return rawResponse(http.StatusOK, "", "", "")
	case id == "":
		return rawResponse(http.StatusOK, "", "", "{}")
	default:
		return rawResponse(http.StatusOK, id, "", id)
	}
}

// Guards against a connection for each request, report or refusal where the server sends no copies.
func TestConnectionsAreReusedInCalm(t *testing.T) {
	is := is.New(t)
	s := startCopyingServer(t, respondInCalm)
	s.honest = true
	engine, service := NewOpenAI(s.address, NewClient(time.Second)), NewService(s.address, "/ready", NewClient(time.Second))
	ctx, cancel := context.WithTimeout(t.Context(), copyTimeout)
	defer cancel()
	for i := range maxCarriedIDs {
		_, err := engine.Report(ctx)
		is.NoErr(err)
		_, _, err = engine.CacheEvents(ctx, uint64(i))
		is.NoErr(err)
		is.NoErr(service.Ready(ctx))
		body := "x"
		if i%2 == 0 {
			body = "refuse"
		}
		answer, err := service.Relay(ctx, RelayRequest{RequestID: fmt.Sprint("r", i), Method: http.MethodPost, Path: "/book", Body: []byte(body)})
		if i%2 == 0 {
			is.True(NotRun(err))
			continue
		}
		is.NoErr(err)
		_, err = io.Copy(io.Discard, answer.Body)
		is.NoErr(err)
		is.NoErr(answer.Body.Close())
	}
	is.Equal(s.connections(), 4) // of reports, cache events, readiness checks and requests
}

// Guards against a memory of IDs that grows with each request of a connection.
func TestConnectionIsReplacedWhenItHasCarriedManyIDs(t *testing.T) {
	is := is.New(t)
	s := startCopyingServer(t, respondInCalm)
	s.honest = true
	send := requestSenders(s.address)["service"]
	ctx, cancel := context.WithTimeout(t.Context(), copyTimeout)
	defer cancel()
	for i := range 2*maxCarriedIDs + 1 {
		is.NoErr(send(ctx, fmt.Sprint("r", i)))
	}
	is.Equal(s.connections(), 3)
}

// Guards against an idle connection that a server closed and that fails the next request.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	s := startCopyingServer(t, respondInCalm)
	s.honest, s.closes = true, true
	server := newServerClient(s.address, NewClient(time.Second))
	connections, ok := server.client.Transport.(*connections)
	is.True(ok)
	ctx, cancel := context.WithTimeout(t.Context(), copyTimeout)
	defer cancel()
	for i := range 3 {
		response, err := server.send(ctx, "send", http.MethodPost, "/book", fmt.Sprint("r", i), "", nil, []byte("x"))
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		for idle := connections.idle["request"]; len(idle) > 0 && idle[0].Err() == nil; {
			is.NoErr(ctx.Err())
			time.Sleep(time.Millisecond)
		}
	}
	is.Equal(s.connections(), 3)
}

// Guards against a request that cannot be written, and of which it is not known that it has not run.
func TestRequestWithAnInvalidHeaderIsNotSent(t *testing.T) {
	is := is.New(t)
	s := startCopyingServer(t, respondInCalm)
	service := NewService(s.address, "", NewClient(time.Second))
	ctx, cancel := context.WithTimeout(t.Context(), copyTimeout)
	defer cancel()
	_, err := service.Relay(ctx, RelayRequest{RequestID: "r", Method: http.MethodPost, Path: "/book", Header: http.Header{"X-Note": {"a\x00b"}}})
	var notSent *NotSent
	is.True(errors.As(err, &notSent))
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(s.asked["r"], 0)
}
