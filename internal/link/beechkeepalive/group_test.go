package beechkeepalive

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
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

// receive reads a whole response.
func (c caller) receive() (*http.Response, error) {
	response, err := http.ReadResponse(c.responses, nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
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
