// Package beechframing detects HTTP requests with ambiguous framing, which are used for
// request smuggling.
//
// If a request has both Content-Length and Transfer-Encoding: chunked, two servers in a
// row may disagree on where it ends. One of them then takes the bytes in between for
// another request, and runs it with the credentials of a caller who did not send it.
// net/http follows the chunked encoding and removes Content-Length, so a handler cannot
// detect this. This package therefore records the bytes of each request's head as they are
// read from the connection.
//
// # Usage
//
//	listener = beechframing.Listen(listener)
//	server := &http.Server{ConnContext: beechframing.ConnContext, ConnState: beechframing.ConnState}
//	// in the handler
//	if beechframing.Ambiguous(r) {
//		// 400, Connection: close
//	}
package beechframing

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
)

type (
	listener struct{ net.Listener }

	// conn records the bytes received since the connection was last idle, up to the
	// end of the first request head.
	conn struct {
		net.Conn
		mu       sync.Mutex
		head     []byte
		complete bool // head is complete, or longer than maxHeadBytes
	}

	contextKey struct{}
)

// maxHeadBytes is larger than the head of any request that is accepted.
const maxHeadBytes = 64 << 10

// headEnds end a head. net/http also accepts lines that end with a line feed alone.
var headEnds = [][]byte{[]byte("\n\r\n"), []byte("\n\n")}

// Listen returns a listener that records the request heads on its connections.
func Listen(l net.Listener) net.Listener { return listener{l} }

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
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

// CloseWrite ends the sending direction, if the connection below can.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Read reads from the connection and records the head of a request.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.record(data[:n])
	}
	return n, err
}

func (c *conn) record(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.complete {
		return
	}
	from := max(len(c.head)-len(headEnds[0]), 0)
	c.head = append(c.head, data...)
	for _, headEnd := range headEnds {
		if end := bytes.Index(c.head[from:], headEnd); end >= 0 {
			c.head = c.head[:from+end+1]
			c.complete = true
		}
	}
	c.complete = c.complete || len(c.head) > maxHeadBytes
}

func (c *conn) reset() {
	c.mu.Lock()
	c.head, c.complete = c.head[:0], false
	c.mu.Unlock()
}

// ConnContext stores the connection in the context of its requests, for Ambiguous. It is
// for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if wrapped, ok := c.(*conn); ok {
		return context.WithValue(ctx, contextKey{}, wrapped)
	}
	return ctx
}

// ConnState discards the recorded head when a connection becomes idle, which is after a
// response. It is for http.Server.ConnState.
func ConnState(c net.Conn, state http.ConnState) {
	if wrapped, ok := c.(*conn); ok && state == http.StateIdle {
		wrapped.reset()
	}
}

// Ambiguous reports whether the end of a request can be determined in two ways. So it can if a
// line of the head ends with a line feed alone, which other readers take for a part of a field. A
// pipelined request with chunked encoding, sent before the response to the request in
// front of it, also counts as ambiguous, since its head was not recorded separately. This
// does not affect callers that wait for each response.
func Ambiguous(r *http.Request) bool {
	if len(r.TransferEncoding) == 0 {
		return false
	}
	c, ok := r.Context().Value(contextKey{}).(*conn)
	if !ok {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	lengths, codings := 0, 0
	first := true
	for line := range strings.Lines(string(c.head)) {
		if !strings.HasSuffix(line, "\r\n") {
			return true
		}
		if first {
			first = false
			continue
		}
		name, _, _ := strings.Cut(line, ":")
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			codings++
		}
	}
	return lengths > 0 || codings != 1
}
