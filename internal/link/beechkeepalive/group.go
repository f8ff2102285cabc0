// Package beechkeepalive tells why callers' connections are closed.
//
// # Usage
//
//	connections := beechkeepalive.New(beechkeepalive.Settings{Closed: logClosing}, clock)
//	server := &http.Server{ConnState: connections.ConnState}
//	err := server.Serve(connections.Listen(listener))
//	counts := connections.Counts()
package beechkeepalive

import (
	"net"
	"net/http"
	"sync"
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
		// Closed is called for each connection that is closed while it has unread bytes of a
		// caller that is still there; it may be nil.
		Closed func(Closing)
	}

	// Group holds the connections of a server's callers. It is safe for concurrent use.
	Group struct {
		settings Settings
		clock    clockwork.Clock

		mu     sync.Mutex
		closed map[Cause]int64
		unread map[Cause]int64 // those of closed with unread bytes
	}

	// Counts are numbers of closed connections by cause.
	Counts struct {
		Closed map[Cause]int64
		Unread map[Cause]int64 // those of Closed with unread bytes of a caller that was still there
	}

	listener struct {
		net.Listener
		group *Group
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
	Stopped       Cause = "stopped"        // the server stops
)

// New returns a group without connections.
func New(s Settings, clock clockwork.Clock) *Group {
	return &Group{settings: s, clock: clock, closed: make(map[Cause]int64), unread: make(map[Cause]int64)}
}

// Listen returns a listener whose connections belong to the group. It may lie below TLS.
func (g *Group) Listen(l net.Listener) net.Listener { return listener{Listener: l, group: g} }

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, group: l.group, since: l.group.clock.Now()}, nil
}

// ConnState follows a connection's state. It is for http.Server.ConnState.
func (g *Group) ConnState(c net.Conn, state http.ConnState) {
	if kept := find(c); kept != nil {
		kept.setState(state)
	}
}

// Counts returns the numbers of connections that were closed so far.
func (g *Group) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := Counts{Closed: make(map[Cause]int64, len(g.closed)), Unread: make(map[Cause]int64, len(g.unread))}
	for cause, n := range g.closed {
		c.Closed[cause] = n
	}
	for cause, n := range g.unread {
		c.Unread[cause] = n
	}
	return c
}

func (g *Group) record(c Closing) {
	g.mu.Lock()
	g.closed[c.Cause]++
	if c.Unread > 0 {
		g.unread[c.Cause]++
	}
	g.mu.Unlock()
	if c.Unread > 0 && g.settings.Closed != nil {
		g.settings.Closed(c)
	}
}

// find returns the connection of a group below c, or nil.
func find(c net.Conn) *conn {
	for c != nil {
		if kept, ok := c.(*conn); ok {
			return kept
		}
		inner, ok := c.(netConner)
		if !ok {
			return nil
		}
		c = inner.NetConn()
	}
	return nil
}
