package beechgate

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechpool"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechfresh"
	"github.com/beechring/beechring/internal/state/beechmirror"
)

type (
	// callerGate serves a handler as the gate does.
	callerGate struct {
		*Gate
		server  *http.Server
		address string
		idle    atomic.Int64 // the operators' idle timeout
		version uint64
	}

	// stalledListener stands for a process that stands still: on its connections nothing is read
	// from the first response to the release.
	stalledListener struct {
		net.Listener
		released chan struct{}
	}

	stalledConn struct {
		*net.TCPConn
		released chan struct{}
		written  atomic.Bool
	}

	// keptConn is a caller's end of a connection.
	keptConn struct {
		net.Conn
		responses *bufio.Reader
	}
)

const (
	plainRequest = "GET /plain HTTP/1.1\r\nHost: h\r\n\r\n"
	// longMargin is beyond the time by which a connection may stay open after the idle timeout.
	longMargin = time.Second
)

func (l stalledListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stalledConn{TCPConn: c.(*net.TCPConn), released: l.released}, nil
}

func (c *stalledConn) Read(data []byte) (int, error) {
	if c.written.Load() && len(data) > 1 { // net/http notices departures by reads of one byte
		<-c.released
	}
	return c.TCPConn.Read(data)
}

func (c *stalledConn) Write(data []byte) (int, error) {
	c.written.Store(true)
	return c.TCPConn.Write(data)
}

// echoHandler answers with the body that it has read, and 500 if it cannot read it or its request
// has ended.
func echoHandler(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || r.Context().Err() != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body)
}

// serveCallers serves until the test ends.
func serveCallers(t testing.TB, idle time.Duration, wrap func(net.Listener) net.Listener, change func(*http.Server)) *callerGate {
	t.Helper()
	c := &callerGate{}
	c.idle.Store(int64(idle))
	settings := &beechsettings.Gate{Name: "gate", Zone: "mill", Beats: netip.MustParseAddrPort("127.0.0.1:0")}
	g, err := New(settings, Dependencies{
		Clock: clockwork.NewRealClock(), Age: beechfresh.BootClock{}, Log: zap.NewNop(), Pool: beechpool.New(beechpool.DefaultSettings, clockwork.NewRealClock()),
		Operators: func([]beechmirror.Item) (*beechcall.Configuration, []beechcall.WeightsVersion, error) {
			return &beechcall.Configuration{Version: c.version, Revision: c.version, Limits: beechcall.Limits{IdleTimeout: time.Duration(c.idle.Load())}}, nil, nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	c.Gate = g
	c.setIdleTimeout(idle)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.address = l.Addr().String()
	if wrap != nil {
		l = wrap(l)
	}
	c.server = g.callerServer(http.HandlerFunc(echoHandler))
	if change != nil {
		change(c.server)
	}
	go func() { _ = c.server.Serve(g.listenForCallers(l)) }()
	t.Cleanup(func() {
		_ = c.server.Close()
		_ = g.socket.Close()
		_ = g.callers.Close()
	})
	return c
}

// setIdleTimeout brings a configuration in force.
func (c *callerGate) setIdleTimeout(idle time.Duration) {
	c.idle.Store(int64(idle))
	c.version++
	c.setOperators(nil)
}

// keep opens connections that have had a response each.
func (c *callerGate) keep(t testing.TB, count int) []keptConn {
	t.Helper()
	var kept []keptConn
	for range count {
		far, err := net.Dial("tcp4", c.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = far.Close() })
		_ = far.SetDeadline(time.Now().Add(20 * time.Second))
		k := keptConn{Conn: far, responses: bufio.NewReader(far)}
		k.send(plainRequest)
		kept = append(kept, k)
	}
	for _, k := range kept {
		if !k.answered() {
			t.Fatal("no first response")
		}
	}
	return kept
}

func (k keptConn) send(text string) { _, _ = io.WriteString(k, text) }

// answered reads a whole response and reports whether it is 200.
func (k keptConn) answered() bool {
	response, err := http.ReadResponse(k.responses, nil)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// lost returns how many connections end without a response.
func lost(kept []keptConn) int {
	var count atomic.Int64
	var all sync.WaitGroup
	for _, k := range kept {
		all.Go(func() {
			if !k.answered() {
				count.Add(1)
			}
		})
	}
	all.Wait()
	return int(count.Load())
}

// A connection is closed by the idle timeout of the moment at which it became idle.
func TestRaisedIdleTimeoutHoldsForIdleConnections(t *testing.T) {
	is := is.New(t)
	c := serveCallers(t, 300*time.Millisecond, nil, nil)
	kept := c.keep(t, 10)
	c.setIdleTimeout(3 * time.Second)
	time.Sleep(300*time.Millisecond + longMargin)
	for _, k := range kept {
		k.send(plainRequest)
	}
	is.Equal(lost(kept), 0)
}

// A process that stood still closes connections whose requests arrived within the idle timeout.
func TestRequestThatArrivedWithinTheIdleTimeoutIsServed(t *testing.T) {
	is := is.New(t)
	released := make(chan struct{})
	c := serveCallers(t, 200*time.Millisecond, func(l net.Listener) net.Listener { return stalledListener{l, released} }, nil)
	kept := c.keep(t, 200)
	for _, k := range kept {
		k.send(plainRequest)
	}
	time.Sleep(200*time.Millisecond + longMargin)
	close(released)
	is.Equal(lost(kept), 0)
}

// The idle timeout ends between two pieces of a request's head.
func TestHeadInPiecesOutlastsTheIdleTimeout(t *testing.T) {
	is := is.New(t)
	c := serveCallers(t, 200*time.Millisecond, nil, nil)
	kept := c.keep(t, 20)
	for i, k := range kept {
		k.send(plainRequest[:1+i]) // from less than net/http waits for to more than that
	}
	time.Sleep(200*time.Millisecond + longMargin)
	for i, k := range kept {
		k.send(plainRequest[1+i:])
	}
	is.Equal(lost(kept), 0)
}

// The idle timeout ends when a request's head is read and its handler has not begun.
func TestIdleTimeoutBetweenHeadAndHandler(t *testing.T) {
	for _, request := range []struct{ name, head, body string }{
		{"no body", plainRequest, ""},
		{"body", "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n", "body"},
	} {
		t.Run(request.name, func(t *testing.T) {
			is := is.New(t)
			c := serveCallers(t, 200*time.Millisecond, nil, func(s *http.Server) {
				follow := s.ConnState
				s.ConnState = func(c net.Conn, state http.ConnState) {
					if state == http.StateActive {
						time.Sleep(200*time.Millisecond + longMargin)
					}
					follow(c, state)
				}
			})
			kept := c.keep(t, 50)
			for _, k := range kept {
				k.send(request.head)
			}
			time.Sleep(200*time.Millisecond + 2*longMargin)
			for _, k := range kept {
				k.send(request.body)
			}
			is.Equal(lost(kept), 0)
		})
	}
}

// The server closes idle connections as it stops, those with a request included.
func TestRequestAtShutdownIsServed(t *testing.T) {
	for _, stalled := range []bool{false, true} {
		for range 3 {
			is := is.New(t)
			released := make(chan struct{})
			wrap := func(l net.Listener) net.Listener { return stalledListener{l, released} }
			if !stalled {
				wrap = nil
			}
			c := serveCallers(t, time.Minute, wrap, nil)
			kept := c.keep(t, 100)
			time.Sleep(10 * time.Millisecond) // until they are idle
			for _, k := range kept {
				k.send(plainRequest)
			}
			drained := make(chan error, 1)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			go func() { drained <- c.drainCallers(ctx) }()
			if stalled {
				time.Sleep(500 * time.Millisecond) // until the drain would have closed them
			}
			close(released)
			is.Equal(lost(kept), 0)
			is.NoErr(<-drained)
		}
	}
}

func BenchmarkKeptConnection(b *testing.B) {
	c := serveCallers(b, time.Minute, nil, nil)
	kept := c.keep(b, 1)[0]
	_ = kept.SetDeadline(time.Time{})
	b.ReportAllocs()
	for b.Loop() {
		kept.send(plainRequest)
		if !kept.answered() {
			b.Fatal("no response")
		}
	}
}
