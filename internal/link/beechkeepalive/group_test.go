package beechkeepalive

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/link/beechsocket"
)

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// start serves a handler until the test ends and returns the address.
func start(t *testing.T, g *Group, server *http.Server) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server.ConnState = g.ConnState
	go func() { _ = server.Serve(g.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// caller is a caller's end of a connection.
type caller struct {
	*net.TCPConn
	responses *bufio.Reader
}

func dial(t *testing.T, address string) caller {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return caller{TCPConn: c.(*net.TCPConn), responses: bufio.NewReader(c)}
}

func (c caller) send(text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// receive reads a whole response, which must be 200.
func (c caller) receive() (*http.Response, error) {
	response, err := http.ReadResponse(c.responses, nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return response, errors.New(response.Status)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal(what)
}

// awaitReading waits until the connections of a group wait for requests.
func awaitReading(t *testing.T, g *Group, count int) {
	t.Helper()
	waitFor(t, "connections do not wait for requests", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		reading := 0
		for c := range g.conns {
			c.mu.Lock()
			if c.reading {
				reading++
			}
			c.mu.Unlock()
		}
		return reading == count
	})
}

// Nobody can tell why a connection ended under a caller's request.
func TestClosingsAreCountedByCause(t *testing.T) {
	for _, c := range []struct {
		name   string
		want   Cause
		unread int
		act    func(c caller, server *http.Server)
	}{
		{"caller closes", CallerLeft, 0, func(c caller, _ *http.Server) { _ = c.send(get); _, _ = c.receive(); _ = c.Close() }},
		{"nothing sent", NoRequest, 0, func(caller, *http.Server) {}},
		{"partial head", PartialHead, 0, func(c caller, _ *http.Server) { _ = c.send(get[:10]) }},
		{"last response", AfterResponse, 0, func(c caller, _ *http.Server) { _ = c.send("GET /last HTTP/1.1\r\nHost: h\r\n\r\n") }},
		{"last response, more sent", AfterResponse, len(get) - 1, func(c caller, _ *http.Server) {
			_ = c.send("GET /last HTTP/1.1\r\nHost: h\r\n\r\n")
			time.Sleep(10 * time.Millisecond)
			_ = c.send(get)
		}},
		{"broken off before the response", Unanswered, 0, func(c caller, _ *http.Server) { _ = c.send("GET /abort HTTP/1.1\r\nHost: h\r\n\r\n") }},
		{"server closed", Stopped, 0, func(c caller, s *http.Server) {
			_ = c.send(get)
			_, _ = c.receive()
			time.Sleep(50 * time.Millisecond)
			_ = s.Close()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			closings := make(chan Closing, 1)
			g := New(Settings{IdleTimeout: func() time.Duration { return time.Minute }, HeadTimeout: 100 * time.Millisecond, Closed: func(c Closing) { closings <- c }}, clockwork.NewRealClock())
			server := &http.Server{ReadHeaderTimeout: 100 * time.Millisecond, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/last":
					time.Sleep(100 * time.Millisecond)
					w.Header().Set("Connection", "close")
				case "/abort":
					panic(http.ErrAbortHandler)
				}
			})}
			c.act(dial(t, start(t, g, server)), server)
			waitFor(t, "connection is not closed", func() bool { return len(g.Counts().Closed) > 0 })
			is.Equal(g.Counts().Closed, map[Cause]int64{c.want: 1})
			if c.unread == 0 {
				is.Equal(len(g.Counts().Unread), 0)
				return
			}
			is.Equal(g.Counts().Unread, map[Cause]int64{c.want: 1})
			closing := <-closings
			is.Equal(closing.Cause, c.want)
			is.Equal(closing.Unread, c.unread) // net/http has read one byte to notice a departure
			is.True(closing.Heard >= 0)
		})
	}
}

// pipeListener returns one connection.
type pipeListener struct {
	net.Listener
	near net.Conn
}

func (l pipeListener) Accept() (net.Conn, error) { return l.near, nil }

// limit is an idle timeout that changes.
type limit struct{ atomic.Int64 }

func newLimit(d time.Duration) *limit {
	l := &limit{}
	l.set(d)
	return l
}

func (l *limit) set(d time.Duration) { l.Store(int64(d)) }
func (l *limit) get() time.Duration  { return time.Duration(l.Load()) }

// idleConn is a connection that waits for its second request, and the result of that wait.
type idleConn struct {
	*conn
	far   net.Conn
	ended atomic.Bool
	err   error
}

// becomeIdle returns a connection of a group that has just had a response.
func becomeIdle(t *testing.T, g *Group) *idleConn {
	t.Helper()
	near, far := net.Pipe()
	accepted, err := g.Listen(pipeListener{near: near}).Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &idleConn{conn: accepted.(*conn), far: far}
	g.ConnState(c.conn, http.StateActive)
	c.wait(g)
	return c
}

// wait waits for the next request as net/http does.
func (c *idleConn) wait(g *Group) {
	g.ConnState(c.conn, http.StateIdle)
	_ = c.SetReadDeadline(time.Time{})
	c.ended.Store(false)
	go func() {
		_, c.err = c.Read(make([]byte, 64))
		c.ended.Store(true)
	}()
}

func (c *idleConn) endedAfter(d time.Duration) bool {
	time.Sleep(d)
	synctest.Wait()
	return c.ended.Load()
}

// Operators change the idle timeout at runtime. With the initial timeout, a connection could
// be closed just as a caller sends a request, and the caller could not know whether the
// request was read.
func TestIdleTimeoutFollowsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limit := newLimit(10 * time.Second)
		g := New(Settings{IdleTimeout: limit.get, HeadTimeout: time.Second}, clockwork.NewRealClock())
		c := becomeIdle(t, g)
		limit.set(30 * time.Second)
		is.True(!c.endedAfter(8 * time.Second))
		_, err := c.far.Write([]byte("G")) // used again
		is.NoErr(err)
		synctest.Wait()
		is.NoErr(c.err)
		g.ConnState(c.conn, http.StateActive)
		time.Sleep(time.Minute) // a long response does not count as idle
		c.wait(g)
		is.True(!c.endedAfter(29 * time.Second))
		is.True(c.endedAfter(2 * time.Second))
		is.True(errors.Is(c.err, os.ErrDeadlineExceeded))
		is.NoErr(c.Close())
		g.ConnState(c.conn, http.StateClosed)
		is.Equal(len(g.conns), 0)
		is.Equal(g.Counts().Closed, map[Cause]int64{Idle: 1})
	})
}

// A timeout that is changed while a connection is idle holds for it, from the change on.
func TestIdleTimeoutThatChangesWhileIdle(t *testing.T) {
	for _, c := range []struct {
		name                string
		before, after, open time.Duration // open: from the change
		told                bool
	}{
		{"raised", 10 * time.Second, 30 * time.Second, 25 * time.Second, false},
		{"raised and told", 10 * time.Second, 30 * time.Second, 30 * time.Second, true},
		{"lowered", 30 * time.Second, 10 * time.Second, 10 * time.Second, true},
		{"lowered below what it has waited", 30 * time.Second, 3 * time.Second, 3 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				limit := newLimit(c.before)
				g := New(Settings{IdleTimeout: limit.get, HeadTimeout: time.Second}, clockwork.NewRealClock())
				idle := becomeIdle(t, g)
				is.True(!idle.endedAfter(5 * time.Second))
				limit.set(c.after)
				if c.told {
					g.Refresh()
				}
				is.True(!idle.endedAfter(c.open))
				is.True(idle.endedAfter(time.Second))
				is.NoErr(idle.Close())
			})
		})
	}
}

// A connection that keeps no request back must not hold up the end of the process.
func TestDrainEndsConnectionsWithoutRequests(t *testing.T) {
	is := is.New(t)
	g := New(Settings{IdleTimeout: func() time.Duration { return time.Minute }, HeadTimeout: time.Minute}, clockwork.NewRealClock())
	address := start(t, g, &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
	kept := dial(t, address)
	is.NoErr(kept.send(get))
	_, err := kept.receive()
	is.NoErr(err)
	fresh := dial(t, address)
	awaitReading(t, g, 2)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.NoErr(g.Drain(ctx))
	is.Equal(g.Counts().Closed, map[Cause]int64{Drained: 2})
	_, err = fresh.receive()
	is.True(err != nil)
	_, err = net.Dial("tcp4", address)
	is.True(err != nil)
}

// The time for draining is over while a request is under way.
func TestDrainGivesUpWithItsContext(t *testing.T) {
	is := is.New(t)
	g := New(Settings{IdleTimeout: func() time.Duration { return time.Minute }, HeadTimeout: time.Minute}, clockwork.NewRealClock())
	begun := make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
	})}
	c := dial(t, start(t, g, server))
	is.NoErr(c.send(get))
	<-begun
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.Equal(g.Drain(ctx), context.DeadlineExceeded)
	is.NoErr(server.Close())
	is.Equal(g.Counts().Closed, map[Cause]int64{Stopped: 1})
}

// A caller that sends a second request before the response to the first gets both, also while the
// server drains.
func TestPipelinedRequestIsServed(t *testing.T) {
	for _, second := range []string{"in one segment", "during the first", "during the first, in pieces"} {
		for range 50 {
			is := is.New(t)
			g := New(Settings{IdleTimeout: func() time.Duration { return 0 }, HeadTimeout: time.Minute}, clockwork.NewRealClock())
			begun := make(chan struct{}, 2)
			c := dial(t, start(t, g, &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				begun <- struct{}{}
				time.Sleep(2 * time.Millisecond)
			})}))
			if second == "in one segment" {
				is.NoErr(c.send(get + get))
				<-begun
			} else {
				is.NoErr(c.send(get))
				<-begun
				is.NoErr(c.send(get[:9]))
				if second == "during the first" {
					is.NoErr(c.send(get[9:]))
				}
			}
			drained := make(chan error, 1)
			go func() { drained <- g.Drain(t.Context()) }()
			_, err := c.receive()
			is.NoErr(err)
			if second == "during the first, in pieces" {
				time.Sleep(5 * time.Millisecond)
				is.NoErr(c.send(get[9:]))
			}
			_, err = c.receive()
			is.NoErr(err)
			_ = c.Close()
			is.NoErr(<-drained)
		}
	}
}

// The idle timeout of a connection ends although a part of its next request arrived with the first.
func TestHeadThatBeganWithTheRequestBeforeIsServed(t *testing.T) {
	is := is.New(t)
	g := New(Settings{IdleTimeout: func() time.Duration { return 0 }, HeadTimeout: time.Minute}, clockwork.NewRealClock())
	c := dial(t, start(t, g, &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}))
	is.NoErr(c.send(get + get[:9]))
	_, err := c.receive()
	is.NoErr(err)
	time.Sleep(idleMargin + 200*time.Millisecond)
	is.NoErr(c.send(get[9:]))
	_, err = c.receive()
	is.NoErr(err)
}

// A caller that sends less than net/http waits for holds its connection for ever.
func TestHeadThatDoesNotArriveEndsItsConnection(t *testing.T) {
	for _, sent := range []int{1, 3, 4, 20} {
		is := is.New(t)
		g := New(Settings{IdleTimeout: func() time.Duration { return time.Minute }, HeadTimeout: 100 * time.Millisecond}, clockwork.NewRealClock())
		c := dial(t, start(t, g, &http.Server{ReadHeaderTimeout: 100 * time.Millisecond, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}))
		is.NoErr(c.send(get))
		_, err := c.receive()
		is.NoErr(err)
		awaitReading(t, g, 1)
		is.NoErr(c.send(get[:sent]))
		waitFor(t, "connection is not closed", func() bool { return g.Counts().Closed[PartialHead] == 1 })
	}
}

// stalled keeps the server from reading the next request until it is closed.
type stalled struct {
	net.Listener
	released chan struct{}
}

type stalledConn struct {
	*net.TCPConn
	released chan struct{}
	idle     atomic.Bool
}

func (l stalled) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stalledConn{TCPConn: c.(*net.TCPConn), released: l.released}, nil
}

func (c *stalledConn) Read(data []byte) (int, error) {
	if c.idle.Load() {
		<-c.released
	}
	return c.TCPConn.Read(data)
}

// A process that stood still must not close a connection under TLS on which a request has arrived.
func TestRequestUnderTLSThatArrivedInTimeIsServed(t *testing.T) {
	is := is.New(t)
	g := New(Settings{IdleTimeout: func() time.Duration { return 0 }, HeadTimeout: time.Minute}, clockwork.NewRealClock())
	released := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }))
	server.Listener = g.Listen(stalled{server.Listener, released})
	server.Config.ReadHeaderTimeout = time.Minute
	server.Config.ConnState = func(c net.Conn, state http.ConnState) {
		g.ConnState(c, state)
		if state == http.StateIdle {
			find(c).Conn.(*stalledConn).idle.Store(true)
		}
	}
	server.StartTLS()
	defer server.Close()
	c, err := tls.Dial("tcp4", server.Listener.Addr().String(), &tls.Config{InsecureSkipVerify: true})
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(20 * time.Second)))
	responses := bufio.NewReader(c)
	time.AfterFunc(idleMargin+200*time.Millisecond, func() { close(released) })
	for i := range 2 {
		if i > 0 {
			awaitReading(t, g, 1)
		}
		_, err = io.WriteString(c, get)
		is.NoErr(err)
		response, err := http.ReadResponse(responses, nil)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), "served")
	}
}

// Work for a caller that has left is withdrawn only if its departure is noticed.
func TestDepartureIsNoticedBelow(t *testing.T) {
	is := is.New(t)
	watcher, err := beechsocket.NewWatcher(clockwork.NewRealClock())
	is.NoErr(err)
	defer watcher.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = watcher.Run(ctx) }()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	g := New(Settings{IdleTimeout: func() time.Duration { return time.Minute }, HeadTimeout: time.Minute}, clockwork.NewRealClock())
	departed, ended := make(chan struct{}), make(chan bool, 1)
	server := &http.Server{ConnState: g.ConnState, ConnContext: beechsocket.ConnContext, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/wait") {
			return
		}
		beechsocket.AfterDeparture(r.Context(), func() { close(departed) })
		<-departed
		ended <- beechsocket.Departed(r.Context())
	})}
	go func() { _ = server.Serve(g.Listen(watcher.Listen(l))) }()
	defer server.Close()
	c := dial(t, l.Addr().String())
	is.NoErr(c.send(get))
	_, err = c.receive()
	is.NoErr(err)
	is.NoErr(c.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n" + get)) // bytes beyond it hide the departure from net/http
	time.Sleep(20 * time.Millisecond)
	is.NoErr(c.Close())
	is.True(<-ended)
	waitFor(t, "connection is not closed", func() bool { return g.Counts().Closed[CallerLeft] == 1 })
}
