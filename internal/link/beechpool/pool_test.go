package beechpool

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// serveRaw listens on a loopback port and runs script for each connection. It returns the
// address and the number of accepted connections.
func serveRaw(t *testing.T, script func(c net.Conn, r *bufio.Reader)) (netip.AddrPort, *atomic.Int32) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	accepted := &atomic.Int32{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer c.Close()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), accepted
}

func writeResponse(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// readRequestID reads a whole request and returns the value of its Id header.
func readRequestID(r *bufio.Reader) (string, bool) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get("Id"), true
}

func newRequest(id string, body []byte) *http.Request {
	return &http.Request{
		Method: http.MethodPost, URL: &url.URL{Opaque: "/x"}, Host: "h", Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Id": {id}}, ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
}

func exchange(ctx context.Context, p *Pool, peer netip.AddrPort, id string, body []byte) (string, error) {
	response, err := p.Exchange(ctx, peer, newRequest(id, body), Conditions{Matches: func(r *http.Response) bool { return r.Header.Get("Id") == id }})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

func newPool() *Pool { return New(DefaultSettings, clockwork.NewRealClock()) }

func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	peer, accepted := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		for id, ok := readRequestID(r); ok; id, ok = readRequestID(r) {
			writeResponse(c, id, "for "+id)
		}
	})
	p := newPool()
	for i := range 5 {
		id := fmt.Sprint(i)
		body, err := exchange(t.Context(), p, peer, id, []byte("x"))
		is.NoErr(err)
		is.Equal(body, "for "+id)
	}
	is.Equal(accepted.Load(), int32(1))
}

// A server closes a reused connection after it has read the next request, without a
// response. If the pool retried the request by itself, the server could execute it twice,
// and a shipment would be booked twice.
func TestRequestIsNotRetried(t *testing.T) {
	is := is.New(t)
	seen := &atomic.Int32{}
	peer, _ := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		if id, ok := readRequestID(r); ok {
			writeResponse(c, id, "first")
		}
		if _, ok := readRequestID(r); ok {
			seen.Add(1) // read completely, but without a response
		}
	})
	p := newPool()
	_, err := exchange(t.Context(), p, peer, "a", []byte("x"))
	is.NoErr(err)
	_, err = exchange(t.Context(), p, peer, "b", []byte("x"))
	var failed *ExchangeError
	is.True(errors.As(err, &failed))
	is.True(failed.Reused)
	is.Equal(seen.Load(), int32(1))
}

// The server closes a connection while it is idle. The pool must notice this before it
// reuses the connection, or the next request fails.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	peer, accepted := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		if id, ok := readRequestID(r); ok {
			writeResponse(c, id, "one")
		}
	})
	p := newPool()
	for i := range 3 {
		_, err := exchange(t.Context(), p, peer, fmt.Sprint(i), []byte("x"))
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(accepted.Load(), int32(3))
}

// A server responds to an earlier request a second time, just before the response to the
// next request. If the pool took the duplicate for it, a caller would get the response to
// another caller's request.
func TestDuplicateResponseIsDiscarded(t *testing.T) {
	is := is.New(t)
	peer, accepted := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		first, _ := readRequestID(r)
		writeResponse(c, first, "first")
		second, ok := readRequestID(r)
		if !ok {
			return
		}
		writeResponse(c, first, "first again")
		writeResponse(c, second, "second")
		_, _ = readRequestID(r)
	})
	p := newPool()
	_, err := exchange(t.Context(), p, peer, "a", []byte("x"))
	is.NoErr(err)
	body, err := exchange(t.Context(), p, peer, "b", []byte("x"))
	is.NoErr(err)
	is.Equal(body, "second")
	is.Equal(accepted.Load(), int32(1))
}

// A duplicate response arrives on a connection while it is idle. The pool must not reuse
// the connection.
func TestUnsolicitedBytesCloseConnection(t *testing.T) {
	is := is.New(t)
	peer, accepted := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		for id, ok := readRequestID(r); ok; id, ok = readRequestID(r) {
			writeResponse(c, id, "for "+id)
			time.Sleep(5 * time.Millisecond)
			writeResponse(c, id, "again for "+id)
		}
	})
	p := newPool()
	for i := range 3 {
		id := fmt.Sprint(i)
		body, err := exchange(t.Context(), p, peer, id, []byte("x"))
		is.NoErr(err)
		is.Equal(body, "for "+id)
		time.Sleep(30 * time.Millisecond)
	}
	is.Equal(accepted.Load(), int32(3))
}

// A server responds before it has read a long request body, and continues to read the body
// later. The next request must not be sent in place of the rest of the body.
func TestResponseBeforeRequestBodyIsRead(t *testing.T) {
	is := is.New(t)
	rest := make(chan []byte, 1)
	peer, accepted := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		writeResponse(c, request.Header.Get("Id"), "early")
		time.Sleep(50 * time.Millisecond)
		data, _ := io.ReadAll(request.Body)
		if request.Header.Get("Id") == "a" {
			rest <- data
		}
		for id, ok := readRequestID(r); ok; id, ok = readRequestID(r) {
			writeResponse(c, id, "later")
		}
	})
	p := newPool()
	long := bytes.Repeat([]byte("long"), 1<<20)
	body, err := exchange(t.Context(), p, peer, "a", long)
	is.NoErr(err)
	is.Equal(body, "early")
	body, err = exchange(t.Context(), p, peer, "b", []byte("x"))
	is.NoErr(err)
	is.True(body == "later" || body == "early") // on the same connection or on a new one
	got := <-rest
	is.True(len(got) == 0 || bytes.HasPrefix(long, got)) // never bytes of the next request
	is.True(accepted.Load() <= 2)
}

// A response without Content-Length ends when the server closes the connection. If the
// connection is reset instead, the response is incomplete and reading it must fail.
func TestResponseWithoutContentLength(t *testing.T) {
	is := is.New(t)
	reset := &atomic.Bool{}
	peer, _ := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		id, ok := readRequestID(r)
		if !ok {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nwhole", id)
		if reset.Load() {
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
	p := newPool()
	body, err := exchange(t.Context(), p, peer, "a", []byte("x"))
	is.NoErr(err)
	is.Equal(body, "whole")
	reset.Store(true)
	_, err = exchange(t.Context(), p, peer, "b", []byte("x"))
	is.True(err != nil)
}

func TestTruncatedResponse(t *testing.T) {
	is := is.New(t)
	peer, _ := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		if id, ok := readRequestID(r); ok {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 100\r\n\r\nhalf", id)
		}
	})
	_, err := exchange(t.Context(), newPool(), peer, "a", []byte("x"))
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

func TestConnectionRefused(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	peer := netip.MustParseAddrPort(l.Addr().String())
	_ = l.Close()
	_, err = exchange(t.Context(), newPool(), peer, "a", []byte("x"))
	var dial *DialError
	is.True(errors.As(err, &dial))
	is.True(strings.Contains(err.Error(), peer.String()))
}

// The context ends while a server handles the request. The pool must close the connection,
// so that the server can stop working on it.
func TestCancelClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	peer, _ := serveRaw(t, func(_ net.Conn, r *bufio.Reader) {
		_, _ = readRequestID(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := exchange(ctx, newPool(), peer, "a", []byte("x"))
	is.True(errors.Is(err, context.DeadlineExceeded))
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection was not closed within 2 s of the cancellation")
	}
}

func TestMaxConns(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	peer, _ := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		id, _ := readRequestID(r)
		<-release
		writeResponse(c, id, "late")
	})
	p := newPool()
	p.SetLimits(map[netip.AddrPort]int{peer: 1})
	done := make(chan error, 1)
	go func() {
		_, err := exchange(t.Context(), p, peer, "a", []byte("x"))
		done <- err
	}()
	time.Sleep(50 * time.Millisecond)
	_, err := exchange(t.Context(), p, peer, "b", []byte("x"))
	is.True(errors.Is(err, errMaxConns))
	close(release)
	is.NoErr(<-done)
}

func TestKeepAliveTimeout(t *testing.T) {
	is := is.New(t)
	peer, accepted := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		for id, ok := readRequestID(r); ok; id, ok = readRequestID(r) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n", id)
		}
	})
	clock := clockwork.NewFakeClock()
	p := New(DefaultSettings, clock)
	get := func() {
		r := &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{"Id": {"a"}}}
		response, err := p.Exchange(t.Context(), peer, r, Conditions{})
		is.NoErr(err)
		ApplyKeepAlive(response)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	get()
	clock.Advance(600 * time.Millisecond)
	get()
	is.Equal(accepted.Load(), int32(1))
	clock.Advance(800 * time.Millisecond) // past 7/10 of the server's timeout of 1 s
	p.CloseExpired()
	is.Equal(len(p.idle[peer]), 0)
	get()
	is.Equal(accepted.Load(), int32(2))
	is.Equal(p.ConnectionsMade(), 2)
}

// A caller has left before its request is sent on an idle connection.
func TestEndedContextSendsNothing(t *testing.T) {
	is := is.New(t)
	seen := &atomic.Int32{}
	peer, _ := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		for id, ok := readRequestID(r); ok; id, ok = readRequestID(r) {
			if id == "late" {
				seen.Add(1)
			}
			writeResponse(c, id, "")
		}
	})
	p := newPool()
	for i := range 100 {
		_, err := exchange(t.Context(), p, peer, fmt.Sprint(i), []byte("x"))
		is.NoErr(err)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = exchange(ended, p, peer, "late", []byte("x"))
		var notSent *DialError
		is.True(errors.As(err, &notSent))
		is.True(errors.Is(err, context.Canceled))
	}
	time.Sleep(50 * time.Millisecond)
	is.Equal(seen.Load(), int32(0))
}

// A server reads a request only after it was cancelled. It must not take it for a whole request
// whose client has merely stopped sending.
func TestCancelledRequestIsReset(t *testing.T) {
	for name, cancelLate := range map[string]bool{"no answer": false, "answer begun": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cancelled, ended := make(chan struct{}), make(chan error, 1)
			peer, _ := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
				if cancelLate {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nx")
				}
				<-cancelled
				time.Sleep(20 * time.Millisecond)
				_, err := io.Copy(io.Discard, r)
				ended <- err
			})
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(50*time.Millisecond, cancel)
			_, err := exchange(ctx, newPool(), peer, "a", []byte("x"))
			is.True(err != nil)
			close(cancelled)
			is.True(errors.Is(<-ended, syscall.ECONNRESET))
		})
	}
}

// The reader of an answer is occupied elsewhere, such as in a write to its caller, when the caller
// leaves.
func TestCancelledAnswerIsResetWhileNobodyReadsIt(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	peer, _ := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = readRequestID(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nx")
		_, err := r.ReadByte()
		ended <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/x"}, Host: "h", Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}}
	response, err := newPool().Exchange(ctx, peer, r, Conditions{})
	is.NoErr(err)
	cancel()
	select {
	case err := <-ended:
		is.True(err != nil)
	case <-time.After(500 * time.Millisecond):
		t.Error("the request still runs half a second after it was cancelled")
	}
	_ = response.Body.Close()
}

// Guards against copies of earlier responses that nobody can count, or tell the connection of.
func TestDiscardedResponsesAreCounted(t *testing.T) {
	is := is.New(t)
	peer, _ := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		for id, ok := readRequestID(r); ok; id, ok = readRequestID(r) {
			writeResponse(c, "earlier", "")
			writeResponse(c, id, "")
		}
	})
	p := newPool()
	for n := 1; n <= 2; n++ {
		response, err := p.Exchange(t.Context(), peer, newRequest("a", nil), Conditions{Matches: func(r *http.Response) bool { return r.Header.Get("Id") == "a" }})
		is.NoErr(err)
		is.Equal(ConnectionOf(response), Connection{Number: 1, Exchanges: n, Discarded: 1})
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.Equal(p.ResponsesDiscarded(), int64(n))
	}
}
