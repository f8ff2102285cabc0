package beechsimulator

import (
	"context"
	"net"
	"net/http"
	"sync"
)

type (
	// answersListener accepts connections that remember their answers.
	answersListener struct{ net.Listener }

	// answersConn remembers the answers to requests that it has carried, so that copies of them can be sent.
	answersConn struct {
		net.Conn

		mu      sync.Mutex
		earlier [][]byte // whole answers
		current []byte   // the answer that is being written
		record  bool     // current may be copied later
		copy    []byte   // is written before the next answer
	}

	connectionKey struct{}
)

const (
	maxEarlierAnswers = 8        // of a connection that are remembered
	maxCopiedBytes    = 32 << 10 // of an answer that is remembered
)

// NewListener returns a listener whose connections an engine needs for EngineFaults.Twice, together with ConnContext.
func NewListener(l net.Listener) net.Listener { return answersListener{l} }

// ConnContext is that of the http.Server of an engine.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// Accept implements net.Listener.
func (l answersListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &answersConn{Conn: c}, nil
}

// Write implements net.Conn.
func (c *answersConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	sent := c.copy
	c.copy = nil
	if c.record && len(c.current)+len(data) <= maxCopiedBytes {
		c.current = append(c.current, data...)
	} else {
		c.record = false
	}
	c.mu.Unlock()
	if len(sent) > 0 {
		if _, err := c.Conn.Write(sent); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(data)
}

// begin notes that the next bytes are a new answer, which may be copied later if it is one to a forwarded request. If a
// copy is due, one of an earlier answer comes before it. It reports whether there is one.
func (c *answersConn) begin(request bool, due int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.record && len(c.current) > 0 {
		c.earlier = append(c.earlier, c.current)
		c.earlier = c.earlier[max(len(c.earlier)-maxEarlierAnswers, 0):]
	}
	c.current, c.record = nil, request
	if due == 0 || len(c.earlier) == 0 {
		return false
	}
	back := 0 // the last one, or any other in turn
	if due%2 == 0 {
		back = due / 2 % len(c.earlier)
	}
	c.copy = c.earlier[len(c.earlier)-1-back]
	return true
}

// sendTwice has a copy of an earlier answer of the connection come before that to a request, if one is due.
func (e *Engine) sendTwice(r *http.Request) {
	c, ok := r.Context().Value(connectionKey{}).(*answersConn)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	every, due := max(e.faults.Twice, e.lasting.Twice), 0
	if isForwarded(r) {
		e.answers++
	}
	if every > 0 && e.answers%every == 0 {
		due = e.answers / every
	}
	if c.begin(isForwarded(r), due) {
		e.copiesSent++
	}
}

// isForwarded reports whether a request is not a call of a gate or keeper.
func isForwarded(r *http.Request) bool { return r.Header.Get(headerAttemptID) != "" }

// SetID has the engine go on under another ID, as the successor of a server at its address that takes over its connections.
func (e *Engine) SetID(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings.ID = id
}

// SetTwice has one of so many answers follow a copy of an earlier answer of its connection, besides the faults; 0: none.
func (e *Engine) SetTwice(every int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lasting.Twice = every
}

// CopiesSent returns how many copies of earlier answers were sent.
func (e *Engine) CopiesSent() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.copiesSent
}
