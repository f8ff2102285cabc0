package beechkeepalive

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/link/beechsocket"
)

// hold answers a request once it is released, and reads its body before.
type hold struct{ release chan struct{} }

func (h hold) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(time.Minute))
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	_ = control.SetReadDeadline(time.Time{})
	if r.URL.Path == "/held" {
		<-h.release
	}
	w.WriteHeader(http.StatusOK)
}

func (g *Group) open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// Guards against connections that take all descriptors, and against closing those that callers need.
func TestConnectionsAreResetInOrderOfNeed(t *testing.T) {
	is := is.New(t)
	const most = 7
	clock := clockwork.NewRealClock()
	g := New(Settings{IdleTimeout: func() time.Duration { return time.Minute }, HeadTimeout: time.Minute, MaxOpen: most}, clock)
	h := hold{make(chan struct{})}
	address := start(t, g, &http.Server{Handler: h, ReadHeaderTimeout: time.Minute})
	count := 0
	next := func(text string) caller {
		c := dial(t, address)
		is.NoErr(c.send(text))
		count++
		waitFor(t, "connection", func() bool { return g.open() == min(count, most) })
		time.Sleep(5 * time.Millisecond) // until its bytes are read
		return c
	}
	alive := func(c caller) bool { return !c.isClosed() }
	const body = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"
	trickle := next(body + "x")
	time.Sleep(sendTime + 50*time.Millisecond) // it is overdue from now on
	sending := next(body + strings.Repeat("x", 64<<10))
	kept := next(get)
	_, err := kept.receive()
	is.NoErr(err)
	beginning := next("GET / HTTP/1.1\r\n")
	served := next("GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	silentOld, silentNew := next(""), next("")
	for n, gone := range []caller{trickle, silentOld, silentNew, beginning, kept, sending} {
		is.True(alive(gone))
		next("GET /held HTTP/1.1\r\nHost: h\r\n\r\n") // from now on the rest wait for their responses
		waitFor(t, "reset", func() bool { return !alive(gone) })
		is.Equal(g.Counts().Closed[Crowded], int64(n+1))
		is.Equal(g.open(), most)
	}
	late := dial(t, address)
	waitFor(t, "refusal of a new connection", func() bool { return !alive(late) })
	close(h.release)
	_, err = served.receive()
	is.NoErr(err)
	is.Equal(g.Counts().Peak, most+1) // the one that is refused is counted
}

// Guards against callers in the middle of a body that lose their connections to newcomers who stop short.
func TestSlowestBodyIsResetFirst(t *testing.T) {
	is := is.New(t)
	g := New(Settings{IdleTimeout: func() time.Duration { return time.Minute }, HeadTimeout: time.Minute, MaxOpen: 2}, clockwork.NewRealClock())
	address := start(t, g, &http.Server{Handler: hold{}, ReadHeaderTimeout: time.Minute})
	head := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"
	steady := dial(t, address)
	is.NoErr(steady.send(head + strings.Repeat("x", 50000)))
	for n := range 5 {
		time.Sleep(20 * time.Millisecond)
		short := dial(t, address)
		is.NoErr(short.send(head + "x"))
		waitFor(t, "reset", func() bool { return g.Counts().Closed[Crowded] == int64(n) })
		is.NoErr(steady.send(strings.Repeat("x", 30000)))
	}
	_, err := steady.receive()
	is.NoErr(err)
}

// Guards against bytes behind requests that are being served, which nobody reads and the kernel holds.
func TestBytesBehindRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	g := New(Settings{IdleTimeout: func() time.Duration { return time.Minute }, HeadTimeout: time.Minute, BehindBytes: 3 * behindBuffer}, clockwork.NewRealClock())
	h := hold{make(chan struct{})}
	address := start(t, g, &http.Server{Handler: h, ReadHeaderTimeout: time.Minute})
	const held = "GET /held HTTP/1.1\r\nHost: h\r\n\r\n"
	for range 5 {
		is.NoErr(dial(t, address).send(held)) // without bytes behind it
	}
	first, second := dial(t, address), dial(t, address)
	is.NoErr(first.send(held))
	time.Sleep(20 * time.Millisecond) // so that the next request is not read with the first
	is.NoErr(first.send(get))
	waitFor(t, "first", func() bool { g.mu.Lock(); defer g.mu.Unlock(); return g.behind > 0 })
	is.NoErr(second.send(held))
	for second.send(strings.Repeat("x", 64<<10)) == nil {
		time.Sleep(time.Millisecond) // until it is reset
	}
	waitFor(t, "reset", func() bool { return g.Counts().Closed[BytesBehind] == 1 })
	close(h.release)
	for range 2 { // the request and the one behind it
		_, err := first.receive()
		is.NoErr(err)
	}
	waitFor(t, "bytes are counted out", func() bool { g.mu.Lock(); defer g.mu.Unlock(); return g.behind == 0 })
}

// Guards against heads that are read far beyond the operators' limit.
func TestLongHeadIsRefusedAsItComes(t *testing.T) {
	is := is.New(t)
	const limit = 16 << 10
	var most atomic.Int64
	most.Store(limit)
	g := New(Settings{IdleTimeout: func() time.Duration { return time.Minute }, HeadTimeout: time.Minute, MaxHead: func() int { return int(most.Load()) }}, clockwork.NewRealClock())
	address := start(t, g, &http.Server{Handler: hold{}, ReadHeaderTimeout: time.Minute, MaxHeaderBytes: 64 << 10})
	head := func(size int) string { return "POST / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", size) }
	status := func(c caller) int {
		response, err := http.ReadResponse(c.responses, nil)
		is.NoErr(err)
		return response.StatusCode
	}
	c := dial(t, address)
	is.NoErr(c.send(head(limit-100) + "\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000)))
	is.Equal(status(c), http.StatusOK) // the largest, with a body right behind it
	long := dial(t, address)
	is.NoErr(long.send(head(2 * limit))) // without its end
	is.Equal(status(long), http.StatusRequestHeaderFieldsTooLarge)
	waitFor(t, "close", func() bool { return g.Counts().Closed[LongHead] == 1 })
	is.NoErr(c.send(head(2 * limit))) // on a kept connection
	is.Equal(status(c), http.StatusRequestHeaderFieldsTooLarge)
	most.Store(3 * limit)
	other := dial(t, address)
	is.NoErr(other.send(head(2*limit) + "\r\n\r\n"))
	is.Equal(status(other), http.StatusOK)
	waitFor(t, "heads are counted out", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.headBytes == 0 && g.lingering == 0
	})
}

// Guards against refusals that keep connections open, and their unread bytes, beyond any number.
func TestFewConnectionsLinger(t *testing.T) {
	is := is.New(t)
	g := New(Settings{IdleTimeout: func() time.Duration { return time.Minute }, HeadTimeout: time.Minute}, clockwork.NewRealClock())
	address := start(t, g, &http.Server{Handler: http.HandlerFunc(respond), ReadHeaderTimeout: time.Minute, MaxHeaderBytes: 1 << 10})
	long := "GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 16<<10)
	for range 3 * maxLingering {
		is.NoErr(dial(t, address).send(long))
	}
	most := 0
	waitFor(t, "refusals", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		most = max(most, g.lingering)
		return g.lingering+int(g.closed[AfterResponse]) >= 3*maxLingering
	})
	is.Equal(most, maxLingering)
	waitFor(t, "the end of all", func() bool { return g.open() == 0 })
	is.Equal(g.lingering, 0)
}

func respond(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// Guards against many heads without an end, each within its own bound, that take a process's memory together.
func TestHeadsTogetherAreBounded(t *testing.T) {
	is := is.New(t)
	g := New(Settings{IdleTimeout: func() time.Duration { return time.Minute }, HeadTimeout: time.Minute, HeadBytes: 8 << 10}, clockwork.NewRealClock())
	address := start(t, g, &http.Server{Handler: http.HandlerFunc(respond), ReadHeaderTimeout: time.Minute})
	part := "GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 3<<10)
	var callers []caller
	for n := range 4 {
		c := dial(t, address)
		is.NoErr(c.send(part))
		callers = append(callers, c)
		waitFor(t, "head", func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.headBytes >= min(n+1, 2)*len(part)
		})
		time.Sleep(5 * time.Millisecond) // so that the order of the heads is clear
	}
	for _, c := range callers[:2] {
		_, err := c.receive()
		is.True(err != nil) // the oldest heads
	}
	is.Equal(g.Counts().Closed[HeadMemory], int64(2))
	for _, c := range callers[2:] {
		is.NoErr(c.send("\r\n\r\n"))
		_, err := c.receive()
		is.NoErr(err)
	}
	waitFor(t, "heads are counted out", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.headBytes == 0
	})
}

// isClosed reports whether the server has closed or reset the connection.
func (c caller) isClosed() bool {
	return beechsocket.Look(c.TCPConn) == beechsocket.Closed
}
