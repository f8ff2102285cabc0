// Package beechframing finds requests whose length can be read in two ways.
//
// A request that names both a length and chunked coding ends in one place for
// one reader and in another place for the next. What lies between is a request
// that nobody sent, run in somebody's name. net/http takes the chunked reading
// and drops the length, so a handler cannot see it. The guard looks at the
// bytes of each request's head as they come in.
//
// # Usage
//
//	listener = beechframing.Listen(listener)
//	server := &http.Server{ConnContext: beechframing.Context, ConnState: beechframing.State}
//	// in the handler
//	if beechframing.Ambiguous(r) {
//		// 400, Connection: close
//	}
package beechframing

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
)

type (
	listener struct{ net.Listener }

	// conn keeps the first bytes since the connection was last idle, up to the
	// end of the first head among them.
	conn struct {
		net.Conn
		mu       sync.Mutex
		head     []byte
		complete bool
	}

	contextKey struct{}
)

// maxHeadBytes is more than the head of any request that is let in.
const maxHeadBytes = 64 << 10

var headEnd = []byte("\r\n\r\n")

// Listen gives a listener whose connections are watched.
func Listen(l net.Listener) net.Listener { return listener{l} }

// Accept gives the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// Read notes the head of a request.
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
	from := max(len(c.head)-len(headEnd), 0)
	c.head = append(c.head, data...)
	if end := bytes.Index(c.head[from:], headEnd); end >= 0 {
		c.head = c.head[:from+end]
		c.complete = true
	}
	c.complete = c.complete || len(c.head) > maxHeadBytes
}

func (c *conn) reset() {
	c.mu.Lock()
	c.head, c.complete = c.head[:0], false
	c.mu.Unlock()
}

// ConnContext puts the connection where Ambiguous finds it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if wrapped, ok := c.(*conn); ok {
		return context.WithValue(ctx, contextKey{}, wrapped)
	}
	return ctx
}

// ConnState forgets the head of a request that was answered.
func ConnState(c net.Conn, state http.ConnState) {
	if wrapped, ok := c.(*conn); ok && state == http.StateIdle {
		wrapped.reset()
	}
}

// Ambiguous tells whether a request's end can be read in two ways. A chunked
// request that came right behind another one, before that was answered, counts
// as ambiguous too, since its head was not seen by itself; no caller that waits
// for its answers is touched by that.
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
	for i, line := range strings.Split(string(c.head), "\r\n") {
		if i == 0 {
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
