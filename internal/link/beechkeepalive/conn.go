package beechkeepalive

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/beechring/beechring/internal/link/beechsocket"
)

type (
	// phase is how far the next request of a connection has been read.
	phase int

	// conn is a caller's connection.
	conn struct {
		net.Conn
		group *Group

		mu     sync.Mutex
		phase  phase
		kept   bool      // it has had a response
		since  time.Time // when it was accepted or the last response ended
		ended  Cause     // of the wait for a request
		closed bool

		answered atomic.Bool // something was written since the last request was read
	}
)

const (
	awaiting phase = iota // nothing of it
	inHead                // a part of its head
	active                // its head; until the response ends
)

// Read reads from the connection.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	expired := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case c.phase == active:
	case n > 0:
		c.phase = inHead
	case expired && c.phase == inHead:
		c.ended = PartialHead
	case expired && c.kept:
		c.ended = Idle
	case expired:
		c.ended = NoRequest
	}
	return n, err
}

// Write writes to the connection.
func (c *conn) Write(data []byte) (int, error) {
	c.answered.Store(true)
	return c.Conn.Write(data)
}

func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.phase = active
		c.answered.Store(false)
	case http.StateIdle:
		c.phase, c.kept, c.since = awaiting, true, c.group.clock.Now()
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if first {
		c.group.record(c.closing())
	}
	return c.Conn.Close()
}

// closing describes why the connection is closed now.
func (c *conn) closing() Closing {
	state := beechsocket.Look(c.Conn)
	c.mu.Lock()
	closing := Closing{Cause: c.cause(), Idle: c.group.clock.Since(c.since)}
	c.mu.Unlock()
	switch state {
	case beechsocket.Closed:
		closing.Cause = CallerLeft
	case beechsocket.Readable:
		closing.Unread = beechsocket.Unread(c.Conn)
		closing.Heard = -1
		if heard, ok := beechsocket.Heard(c.Conn); ok {
			closing.Heard = heard
		}
	}
	return closing
}

// cause returns why a connection whose caller is still there is closed.
func (c *conn) cause() Cause {
	switch {
	case c.ended != "":
		return c.ended
	case c.phase == active && c.answered.Load():
		return AfterResponse
	case c.phase == active:
		return Unanswered
	default:
		return Stopped
	}
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }
