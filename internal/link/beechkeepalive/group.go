// Package beechkeepalive closes callers' connections on which no request comes, and no others.
//
// net/http closes an idle connection when a time that was set as it became idle is over, or when
// the server is shut down, without a look whether a request has arrived meanwhile. A process that
// stood still, or a timeout that was raised, then costs requests that callers sent in time. Here
// the goroutine that reads from a connection decides, after a look at the socket, so that nothing
// can come between: a request that is there is read and served, and the timeout is the one in
// force at that moment.
//
// # Usage
//
//	connections := beechkeepalive.New(beechkeepalive.Settings{IdleTimeout: current, HeadTimeout: 10 * time.Second}, clock)
//	server := &http.Server{ConnState: connections.ConnState, ReadHeaderTimeout: 10 * time.Second}
//	err := server.Serve(connections.Listen(listener))
//	connections.Refresh() // IdleTimeout returns another time from now on
//	// to stop, instead of http.Server.Shutdown; responses should have Connection: close from now on
//	err = connections.Drain(ctx)
//	counts := connections.Counts() // of closed connections by cause
//
// The server must have a ReadHeaderTimeout and neither an IdleTimeout nor a ReadTimeout.
package beechkeepalive

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// Cause is why a connection was closed.
	Cause string

	// Closing describes a connection that this process closes.
	Closing struct {
		Cause  Cause
		Unread int           // bytes that have arrived and were not read
		Idle   time.Duration // since the last response or, before the first, since the connection was accepted
		Heard  time.Duration // since the caller's last segment arrived; negative if not known
	}

	// Settings configure a group.
	Settings struct {
		IdleTimeout func() time.Duration // for which a connection may be without a request between two
		HeadTimeout time.Duration        // from the first byte of a request until the end of its head
		HeadBytes   int                  // of all heads that are being received together; 0: no bound
		// MaxHead returns the bytes of one head, which may change; nil or 0: the server's own bound. A longer
		// one is answered 431 as soon as it is.
		MaxHead func() int
		// BehindBytes bounds what all connections have received behind requests that are being served, which
		// nobody reads until their responses end; 0: no bound. Beyond it a connection is reset that receives
		// such bytes.
		BehindBytes int
		// MaxOpen is the number of connections at a time; 0: no bound. Beyond it one is reset for each new
		// one: first those whose request takes too long, then those that have not sent one, then those that
		// are idle between two, then those whose body comes, the slowest first. None is that waits for its
		// response.
		MaxOpen int
		// Closed is called for each connection that is closed while it has unread bytes of a
		// caller that is still there; it may be nil.
		Closed func(Closing)
	}

	// Group holds the connections of a server's callers. It is safe for concurrent use.
	Group struct {
		settings Settings
		clock    clockwork.Clock
		changed  atomic.Pointer[time.Time] // when IdleTimeout changed last; nil: never
		draining atomic.Bool
		stopped  atomic.Bool   // Drain has not waited for all connections
		drained  chan struct{} // closed when there is neither a listener nor a connection after Drain

		mu        sync.Mutex
		listeners map[*listener]struct{} // that may still return connections
		conns     map[*conn]struct{}
		headBytes int // received of heads that are not complete
		behind    int // received behind requests that are being served
		lingering int // connections that are kept open for a moment after their last response
		peak      int // of open connections
		closed    map[Cause]int64
		unread    map[Cause]int64 // those of closed with unread bytes
	}

	// Counts are numbers of closed connections by cause, and of open ones.
	Counts struct {
		Open   int
		Peak   int // of Open
		Closed map[Cause]int64
		Unread map[Cause]int64 // those of Closed with unread bytes of a caller that was still there
	}

	listener struct {
		net.Listener
		group *Group
		close func() error
	}

	// netConner is a connection on top of another one, such as *tls.Conn.
	netConner interface{ NetConn() net.Conn }
)

// The causes.
const (
	CallerLeft    Cause = "caller left"    // the caller closed or reset it
	Idle          Cause = "idle"           // no request within the idle timeout
	NoRequest     Cause = "no request"     // nothing arrived on a new connection
	PartialHead   Cause = "partial head"   // the head of a request did not arrive in time
	AfterResponse Cause = "after response" // the response was the last one, or was broken off
	Unanswered    Cause = "unanswered"     // a request was read and nothing of a response was written
	Drained       Cause = "drained"        // no request when the server was drained
	Stopped       Cause = "stopped"        // the server was closed
	HeadMemory    Cause = "head memory"    // all heads together had become too large
	LongHead      Cause = "long head"      // a head was too large
	Crowded       Cause = "crowded"        // there were too many connections
	BytesBehind   Cause = "bytes behind"   // there were too many bytes behind requests
)

const (
	// idleMargin is added to the idle timeout: a caller counts from the end of a response at its
	// side, its request takes time to arrive, and one segment of either may be lost and sent again.
	idleMargin = 500 * time.Millisecond
	// drainTimeout replaces the idle timeout while the server drains. Callers whose responses did
	// not announce the end of the connection may be sending their next request.
	drainTimeout = 200 * time.Millisecond
)

// New returns a group without connections.
func New(s Settings, clock clockwork.Clock) *Group {
	return &Group{
		settings: s, clock: clock, drained: make(chan struct{}),
		listeners: make(map[*listener]struct{}), conns: make(map[*conn]struct{}),
		closed: make(map[Cause]int64), unread: make(map[Cause]int64),
	}
}

// Listen returns a listener whose connections belong to the group. It may lie below TLS.
func (g *Group) Listen(l net.Listener) net.Listener {
	grouped := &listener{Listener: l, group: g, close: sync.OnceValue(l.Close)}
	g.mu.Lock()
	g.listeners[grouped] = struct{}{}
	g.mu.Unlock()
	return grouped
}

// Accept returns the next connection. If there are too many, it resets others, or the new one if all
// others wait for their responses.
func (l *listener) Accept() (net.Conn, error) {
	g := l.group
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			g.mu.Lock()
			defer g.mu.Unlock()
			var temporary interface{ Temporary() bool }
			if !errors.As(err, &temporary) || !temporary.Temporary() {
				delete(g.listeners, l)
				g.checkDrained()
			}
			return nil, err
		}
		grouped := &conn{Conn: c, group: g, since: g.clock.Now()}
		room := g.makeRoom()
		g.mu.Lock()
		g.conns[grouped] = struct{}{}
		g.peak = max(g.peak, len(g.conns))
		g.mu.Unlock()
		if room {
			return grouped, nil
		}
		grouped.reset(Crowded)
	}
}

// Close closes the listener. Accept may still return connections before its error.
func (l *listener) Close() error { return l.close() }

// ConnState follows a connection's state. It is for http.Server.ConnState.
func (g *Group) ConnState(c net.Conn, state http.ConnState) {
	if grouped := find(c); grouped != nil {
		grouped.setState(state)
	}
}

// Refresh tells that IdleTimeout has changed. It holds for idle connections too, from now on, since
// their callers may have relied on the one before until now.
func (g *Group) Refresh() {
	now := g.clock.Now()
	g.changed.Store(&now)
	g.refresh()
}

func (g *Group) refresh() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.refresh()
	}
}

// Drain closes the listeners and, once they have no request, the connections. It returns when all
// are closed, or with the context's error when that ends. Requests that come before are served.
func (g *Group) Drain(ctx context.Context) error {
	g.draining.Store(true)
	g.mu.Lock()
	listeners := maps.Clone(g.listeners)
	g.mu.Unlock()
	for l := range listeners {
		_ = l.Close()
	}
	g.refresh()
	g.mu.Lock()
	g.checkDrained()
	g.mu.Unlock()
	select {
	case <-g.drained:
		return nil
	case <-ctx.Done():
		g.stopped.Store(true)
		return ctx.Err()
	}
}

// checkDrained ends Drain if nothing is left to wait for.
func (g *Group) checkDrained() {
	if !g.draining.Load() || len(g.listeners) > 0 || len(g.conns) > 0 {
		return
	}
	select {
	case <-g.drained:
	default:
		close(g.drained)
	}
}

// Counts returns the numbers of connections that were closed so far.
func (g *Group) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Counts{Open: len(g.conns), Peak: g.peak, Closed: maps.Clone(g.closed), Unread: maps.Clone(g.unread)}
}

// record counts a connection that is being closed.
func (g *Group) record(closing Closing) {
	g.mu.Lock()
	g.closed[closing.Cause]++
	if closing.Unread > 0 {
		g.unread[closing.Cause]++
	}
	g.mu.Unlock()
	if closing.Unread > 0 && g.settings.Closed != nil {
		g.settings.Closed(closing)
	}
}

// remove takes out a connection that is closed.
func (g *Group) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
	g.headBytes -= c.headBytes
	g.behind -= c.behind
	c.headBytes, c.behind = 0, 0
	if c.lingers {
		g.lingering--
		c.lingers = false
	}
	g.checkDrained()
}

// find returns the connection of a group below c, or nil.
func find(c net.Conn) *conn {
	for c != nil {
		if grouped, ok := c.(*conn); ok {
			return grouped
		}
		inner, ok := c.(netConner)
		if !ok {
			return nil
		}
		c = inner.NetConn()
	}
	return nil
}
