package beechpool

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

const (
	maxTaken   = 1 << 20 // bytes of a response without end that may leave a server: what is read, and what the sockets hold
	maxElapsed = time.Second
)

// endlessServer begins each response with begin and then repeats a piece until its connection is closed.
func endlessServer(t *testing.T, begin, repeat string) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	sent := new(atomic.Int64)
	piece := bytes.Repeat([]byte(repeat), 16<<10/len(repeat))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
				if _, err := c.Read(make([]byte, 4<<10)); err != nil {
					return
				}
				_, err := io.WriteString(c, begin)
				for n := 0; err == nil; sent.Add(int64(n)) {
					n, err = c.Write(piece)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), sent
}

func getRequest(t *testing.T, peer netip.AddrPort) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+peer.String()+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestHeadWithoutEndIsBounded guards against heads that are collected until the caller gives up or the
// memory is used up.
func TestHeadWithoutEndIsBounded(t *testing.T) {
	for name, form := range map[string]struct{ begin, repeat string }{
		"not HTTP":                {"", "x"},
		"status line":             {"HTTP/1.1 200 ", "x"},
		"field":                   {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"fields":                  {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"continued field":         {"HTTP/1.1 200 OK\r\nX: x\r\n", " x\r\n"},
		"interim":                 {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"interim with fields":     {"", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
		"fields after an interim": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"head to another request": {"", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Id: other\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			peer, sent := endlessServer(t, form.begin, form.repeat)
			pool := New(DefaultSettings, clockwork.NewRealClock())
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			begun := time.Now()
			_, err := pool.Exchange(ctx, peer, getRequest(t, peer), Conditions{Matches: func(r *http.Response) bool { return r.Header.Get("X-Id") == "" }})
			took := time.Since(begun)
			var failed *ExchangeError
			is.True(errors.As(err, &failed))
			is.NoErr(ctx.Err())
			is.True(took < maxElapsed)
			time.Sleep(50 * time.Millisecond)
			t.Logf("%d KB sent in %s: %v", sent.Load()>>10, took, err)
			taken := sent.Load()
			is.True(taken < maxTaken+4<<20) // with the kernel's buffers
			time.Sleep(50 * time.Millisecond)
			is.Equal(sent.Load(), taken) // the server has noticed
		})
	}
}

// TestLongHeadIsRead guards against a bound that sound heads exceed.
func TestLongHeadIsRead(t *testing.T) {
	is := is.New(t)
	long := string(bytes.Repeat([]byte("x"), 40<<10))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range 3 {
			w.WriteHeader(http.StatusProcessing)
		}
		w.Header().Set("X-Long", long)
		_, _ = io.WriteString(w, long+long+long)
	})}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	peer := netip.MustParseAddrPort(l.Addr().String())
	pool := New(DefaultSettings, clockwork.NewRealClock())
	for range 3 { // the bound starts anew with each response of a connection
		response, err := pool.Exchange(t.Context(), peer, getRequest(t, peer), Conditions{})
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(len(body), 3*len(long))
		is.Equal(response.Header.Get("X-Long"), long)
	}
	is.Equal(pool.ConnectionsMade(), 1)
}

// TestEndsOfEndlessResponsesAreNoticed guards against ends of an exchange that leave its connection open, so that
// a server goes on.
func TestEndsOfEndlessResponsesAreNoticed(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	for name, test := range map[string]struct {
		begin string
		end   func(pool *Pool, r *http.Request, peer netip.AddrPort)
	}{
		"context ends in the body, nobody reads": {head, func(pool *Pool, r *http.Request, peer netip.AddrPort) {
			ctx, cancel := context.WithCancel(r.Context())
			_, err := pool.Exchange(ctx, peer, r, Conditions{})
			if err == nil {
				time.Sleep(20 * time.Millisecond)
			}
			cancel()
		}},
		"context ends in the body while it is read": {head, func(pool *Pool, r *http.Request, peer netip.AddrPort) {
			ctx, cancel := context.WithCancel(r.Context())
			if response, err := pool.Exchange(ctx, peer, r, Conditions{}); err == nil {
				time.AfterFunc(20*time.Millisecond, cancel)
				_, _ = io.Copy(io.Discard, response.Body)
			}
			cancel()
		}},
		"body closed": {head, func(pool *Pool, r *http.Request, peer netip.AddrPort) {
			if response, err := pool.Exchange(r.Context(), peer, r, Conditions{}); err == nil {
				_, _ = io.CopyN(io.Discard, response.Body, 100<<10)
				_ = response.Body.Close()
			}
		}},
		"answer to another request": {"HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", func(pool *Pool, r *http.Request, peer netip.AddrPort) {
			_, _ = pool.Exchange(r.Context(), peer, r, Conditions{Matches: func(r *http.Response) bool { return r.Header.Get("X-Id") == "" }})
		}},
		"chunk that is none": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", func(pool *Pool, r *http.Request, peer netip.AddrPort) {
			if response, err := pool.Exchange(r.Context(), peer, r, Conditions{}); err == nil {
				_, _ = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
		}},
		"bytes behind a response": {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", func(pool *Pool, r *http.Request, peer netip.AddrPort) {
			if response, err := pool.Exchange(r.Context(), peer, r, Conditions{}); err == nil {
				_, _ = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			time.Sleep(20 * time.Millisecond)
			_, _ = pool.acquire(r.Context(), peer, Conditions{}) // finds the connection of no use
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			peer, sent := endlessServer(t, test.begin, "x")
			test.end(New(DefaultSettings, clockwork.NewRealClock()), getRequest(t, peer), peer)
			time.Sleep(50 * time.Millisecond)
			taken := sent.Load()
			time.Sleep(100 * time.Millisecond)
			is.Equal(sent.Load(), taken)
			is.True(taken > 0)
		})
	}
}

// FuzzResponse has a server send any bytes instead of a response, and close the connection.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{"", "x", "HTTP/1.1 200 OK\r\n\r\nbody", "HTTP/1.1 102 P\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxy", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"} {
		f.Add([]byte(seed))
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = l.Close() })
	next := make(chan []byte, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4<<10))
			_, _ = c.Write(<-next)
			_ = c.Close()
		}
	}()
	peer := netip.MustParseAddrPort(l.Addr().String())
	f.Fuzz(func(t *testing.T, data []byte) {
		pool := New(DefaultSettings, clockwork.NewRealClock())
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		next <- data
		response, err := pool.Exchange(ctx, peer, getRequest(t, peer), Conditions{})
		if ctx.Err() != nil {
			t.Fatalf("%q: no end", data)
		}
		if err != nil {
			return
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if len(body) > len(data) {
			t.Fatalf("%q: a body of %d bytes", data, len(body))
		}
	})
}
