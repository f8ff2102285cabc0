package beechkeepalive

import (
	"errors"
	"math"
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
	phase int32

	// conn is a caller's connection.
	conn struct {
		net.Conn
		group    *Group
		phase    atomic.Int32
		answered atomic.Bool // something was written since the last request was read
		closed   atomic.Bool
		read     atomic.Int64 // bytes since the last head was complete

		// guarded by the group's lock
		headBytes int       // received of a head that is not complete
		headSince time.Time // when its first bytes came
		behind    int       // received behind a request that is being served
		lingers   bool      // its last response was written

		mu       sync.Mutex
		reading  bool      // a read waits for the first bytes of a request
		kept     bool      // there was a response
		since    time.Time // when it was accepted or the last response ended
		deadline time.Time // of reads, as net/http has set it
		begun    time.Time // when the current phase began
		ended    Cause     // of the wait for a request
	}
)

const (
	awaiting phase = iota // nothing of it
	inHead                // a part of its head
	active                // its head; until the response ends
)

func (c *conn) phaseNow() phase { return phase(c.phase.Load()) }

// Read reads from the connection. It does not time out before it has looked for bytes.
func (c *conn) Read(data []byte) (int, error) {
	switch c.phaseNow() {
	case awaiting:
		return c.readFirst(data)
	case inHead:
		return c.readHead(data)
	default:
		n, err := c.Conn.Read(data)
		c.read.Add(int64(n))
		if n == len(data) && n == watchedBytes {
			c.group.receiveBehind(c)
		}
		return n, err
	}
}

// readFirst reads the first bytes of a request.
func (c *conn) readFirst(data []byte) (int, error) {
	for {
		c.startWait()
		n, err := c.Conn.Read(data)
		c.endWait()
		if n == 0 && timedOut(err) {
			cause, left := c.timeLeft()
			if left > 0 {
				continue // the timeout was raised, or the wait began with a past deadline
			}
			if !readable(c.Conn) {
				c.end(cause)
				return 0, err
			}
			_ = c.Conn.SetReadDeadline(time.Time{})
			n, err = c.Conn.Read(data)
		}
		if n > 0 {
			c.beginHead()
			return n, c.receiveHead(n, err)
		}
		return n, err
	}
}

// readHead reads more of a request's head.
func (c *conn) readHead(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		return n, c.receiveHead(n, err)
	}
	if !timedOut(err) {
		return n, err
	}
	if !readable(c.Conn) {
		c.end(PartialHead)
		return 0, err
	}
	_ = c.Conn.SetReadDeadline(time.Time{})
	n, err = c.Conn.Read(data)
	c.mu.Lock()
	_ = c.Conn.SetReadDeadline(c.deadline)
	c.mu.Unlock()
	if n > 0 {
		err = c.receiveHead(n, err)
	}
	return n, err
}

// startWait sets the deadline of the read that follows. Until endWait, refresh may change it.
func (c *conn) startWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	c.setWaitDeadline()
}

func (c *conn) endWait() {
	c.mu.Lock()
	c.reading = false
	c.mu.Unlock()
}

// refresh applies a timeout that has changed to a read that waits.
func (c *conn) refresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		c.setWaitDeadline()
	}
}

func (c *conn) setWaitDeadline() {
	deadline := time.Time{}
	if _, left := c.timeLeftLocked(); left < math.MaxInt64 {
		deadline = time.Now().Add(left)
	}
	_ = c.Conn.SetReadDeadline(deadline) // fails only if the connection is already closed
}

func (c *conn) timeLeft() (Cause, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timeLeftLocked()
}

// timeLeftLocked returns for how long the connection may still wait for a request, and why it is
// closed then.
func (c *conn) timeLeftLocked() (Cause, time.Duration) {
	g := c.group
	waited := g.clock.Since(c.since)
	cause, left := NoRequest, time.Duration(math.MaxInt64)
	if c.kept {
		since := waited
		if changed := g.changed.Load(); changed != nil {
			since = min(since, g.clock.Since(*changed))
		}
		cause, left = Idle, g.settings.IdleTimeout()+idleMargin-since
	} else if !c.deadline.IsZero() {
		left = time.Until(c.deadline)
	}
	if g.draining.Load() && drainTimeout-waited < left {
		cause, left = Drained, drainTimeout-waited
	}
	return cause, left
}

// beginHead restores the deadline for the rest of a request's head.
func (c *conn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase.Store(int32(inHead))
	c.begun = c.group.clock.Now()
	if c.kept {
		c.deadline = time.Now().Add(c.group.settings.HeadTimeout) // net/http sets one only after four bytes
	}
	_ = c.Conn.SetReadDeadline(c.deadline)
}

func (c *conn) end(cause Cause) {
	c.mu.Lock()
	c.ended = cause
	c.mu.Unlock()
}

// SetReadDeadline sets the deadline of reads. That of a wait for a request follows from the group.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	if c.kept && !deadline.IsZero() && c.phaseNow() == awaiting {
		c.phase.Store(int32(inHead)) // it arrived with the request before, and net/http has it
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Write writes to the connection.
func (c *conn) Write(data []byte) (int, error) {
	c.answered.Store(true)
	return c.Conn.Write(data)
}

func (c *conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.group.endHead(c)
		c.answered.Store(false)
		c.read.Store(0)
		c.phase.Store(int32(active))
		c.mu.Lock()
		c.begun = c.group.clock.Now()
		c.mu.Unlock()
	case http.StateIdle:
		c.mu.Lock()
		c.kept, c.since = true, c.group.clock.Now()
		c.mu.Unlock()
		c.phase.Store(int32(awaiting))
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return c.Conn.Close()
	}
	c.group.record(c.closing())
	err := c.Conn.Close()
	c.group.remove(c)
	return err
}

// CloseWrite is called by net/http when the last response was written and the caller may still be sending.
// It then waits for a moment before it closes the connection.
func (c *conn) CloseWrite() error {
	if !c.group.beginLinger(c) {
		c.reset(AfterResponse)
		return nil
	}
	return beechsocket.CloseWrite(c.Conn)
}

// reset closes the connection so that neither end keeps anything of it.
func (c *conn) reset(cause Cause) {
	c.end(cause)
	beechsocket.ResetOnClose(c.Conn)
	_ = c.Close()
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
	case c.phaseNow() != active || c.group.stopped.Load():
		return Stopped
	case c.answered.Load():
		return AfterResponse
	default:
		return Unanswered
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

// readable reports whether a read returns at once.
func readable(c net.Conn) bool {
	state := beechsocket.Look(c)
	return state == beechsocket.Readable || state == beechsocket.Closed
}

func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
