// Package beechpool keeps HTTP/1.1 connections to backend servers and makes one
// exchange at a time on each.
//
// net/http's Transport is not used, because it repeats some requests by itself
// when a kept connection turns out closed, because it drops a connection on
// which a second answer arrives, and because it does not tell whether a request
// was sent. Here nothing is ever repeated, an answer to an earlier request is
// recognised and passed over, and errors say what reached the server.
//
// A kept connection is looked at before it is used again: one that the server
// has closed, or on which bytes lie that nobody asked for, is closed.
//
// # Usage
//
//	pool := beechpool.New(beechpool.Defaults, clock)
//	response, err := pool.Exchange(ctx, address, request, func(r *http.Response) bool {
//		return r.Header.Get("X-Id") == id
//	})
//	var dial *beechpool.DialError // nothing was sent
//	defer response.Body.Close()   // before its end: the run is cancelled
package beechpool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

type (
	// Settings of a pool.
	Settings struct {
		DialTimeout   time.Duration // for a new connection
		UserTimeout   time.Duration // sent bytes without the peer's word: the connection is dead
		IdleTimeout   time.Duration // a kept connection is used again for so long, or 7/10 of what the server says
		ProbeInterval time.Duration // between probes of a silent connection; dead after three
		MaxConns      int           // connections to one server; 0 is no bound
	}

	// Pool keeps connections by server. It is safe for concurrent use.
	Pool struct {
		settings Settings
		clock    clockwork.Clock
		dialer   net.Dialer

		mu       sync.Mutex
		idle     map[netip.AddrPort][]*conn // the last used at the end
		open     map[netip.AddrPort]int
		maxConns int
		dialed   int
	}

	// DialError says that no connection was made, so nothing was sent.
	DialError struct {
		Peer netip.AddrPort
		Err  error
	}

	// ExchangeError says that a request was sent, at least in part, and no
	// answer came.
	ExchangeError struct {
		Peer   netip.AddrPort
		Step   string // write or read
		Reused bool   // the connection had been used before
		Err    error
	}

	conn struct {
		net.Conn
		pool          *Pool
		peer          netip.AddrPort
		reader        *bufio.Reader
		uses          int
		idleSince     time.Time
		idleTimeout   time.Duration
		writeDone     chan error // of the request under way, when it is written beside reading
		writeErr      error
		writeDoneRead bool // written has been read
	}

	body struct {
		io.ReadCloser
		conn       *conn
		stopCancel func() bool // of the cancellation
		reusable   bool
		readToEOF  bool
		once       sync.Once
	}
)

// DefaultSettings are settings for servers some milliseconds away. Dial: a machine without power
// never answers, and another server can still serve in time. Unconfirmed: three
// lost packets in a row are rarer than a dead machine.
var DefaultSettings = Settings{
	DialTimeout: 300 * time.Millisecond, UserTimeout: 1500 * time.Millisecond,
	IdleTimeout: 4 * time.Second, ProbeInterval: 500 * time.Millisecond,
}

const (
	concurrentWriteBytes      = 16 << 10 // longer bodies are written beside reading, since a server may answer before it has read them
	maxStaleResponses         = 3        // answers to earlier requests that are passed over on one connection
	readBufferBytes           = 4 << 10
	maxIdleConns              = 64 // kept connections to one server
	maxDiscardBytes           = 64 << 10
	keepAliveShareDenominator = 10
	keepAliveShareNumerator   = 7
)

var (
	errStaleResponses = errors.New("answers to other requests only")
	errMaxConns       = errors.New("as many connections as allowed")
)

// New returns a pool without connections.
func New(s Settings, clock clockwork.Clock) *Pool {
	p := &Pool{
		settings: s, clock: clock, maxConns: s.MaxConns,
		idle: make(map[netip.AddrPort][]*conn), open: make(map[netip.AddrPort]int),
	}
	p.dialer = net.Dialer{
		Timeout:         s.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: s.ProbeInterval, Interval: s.ProbeInterval, Count: 3},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Where the option is missing, the probes still find a dead peer.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(s.UserTimeout.Milliseconds()))
			})
		},
	}
	return p
}

// ConnectionsMade counts the connections made so far.
func (p *Pool) ConnectionsMade() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// SetMaxConns sets how many connections to one server there may be; 0 is no bound.
func (p *Pool) SetMaxConns(limit int) {
	p.mu.Lock()
	p.maxConns = limit
	p.mu.Unlock()
}

// Probe tells whether a server takes connections, by making one.
func (p *Pool) Probe(ctx context.Context, peer netip.AddrPort) error {
	c, err := p.dialer.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return &DialError{Peer: peer, Err: err}
	}
	return c.Close()
}

// Exchange sends a request and gives the answer that mine recognises. The
// context covers the whole exchange, to the end of the body. Errors are
// *DialError and *ExchangeError.
func (p *Pool) Exchange(ctx context.Context, peer netip.AddrPort, r *http.Request, matches func(*http.Response) bool) (*http.Response, error) {
	c, err := p.acquire(ctx, peer)
	if err != nil {
		return nil, &DialError{Peer: peer, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	response, failed := c.exchange(r, matches)
	if failed != nil {
		stop()
		c.drop()
		if cause := ctx.Err(); cause != nil {
			failed.Err = fmt.Errorf("%w: %w", cause, failed.Err)
		}
		return nil, failed
	}
	response.Body = &body{ReadCloser: response.Body, conn: c, stopCancel: stop, reusable: !response.Close}
	return response, nil
}

func (c *conn) exchange(r *http.Request, matches func(*http.Response) bool) (*http.Response, *ExchangeError) {
	reused := c.uses > 0
	c.uses++
	c.writeDone, c.writeDoneRead, c.writeErr = make(chan error, 1), false, nil
	if r.ContentLength > concurrentWriteBytes {
		go func() { c.writeDone <- r.Write(c.Conn) }()
	} else {
		c.writeDone <- r.Write(c.Conn)
		if err := c.writeResult(); err != nil {
			return nil, &ExchangeError{Peer: c.peer, Step: "write request", Reused: reused, Err: err}
		}
	}
	for stale := 0; stale < maxStaleResponses; {
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, &ExchangeError{Peer: c.peer, Step: "read answer", Reused: reused, Err: err}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if matches(response) {
			return response, nil
		}
		// The answer to an earlier request has come late or twice.
		stale++
		n, err := io.CopyN(io.Discard, response.Body, maxDiscardBytes)
		if !errors.Is(err, io.EOF) || response.Close {
			return nil, &ExchangeError{Peer: c.peer, Step: "pass over an answer", Reused: reused, Err: fmt.Errorf("%w: %d bytes", errStaleResponses, n)}
		}
	}
	return nil, &ExchangeError{Peer: c.peer, Step: "read answer", Reused: reused, Err: errStaleResponses}
}

func (c *conn) writeResult() error {
	if !c.writeDoneRead {
		c.writeErr, c.writeDoneRead = <-c.writeDone, true
	}
	return c.writeErr
}

// requestWritten tells whether the whole request was sent, without waiting.
func (c *conn) requestWritten() bool {
	if !c.writeDoneRead {
		select {
		case c.writeErr = <-c.writeDone:
			c.writeDoneRead = true
		default:
			return false
		}
	}
	return c.writeErr == nil
}

// acquire gives a kept connection that still looks sound, or a new one.
func (p *Pool) acquire(ctx context.Context, peer netip.AddrPort) (*conn, error) {
	for {
		c := p.popIdle(peer)
		if c == nil {
			break
		}
		if p.clock.Since(c.idleSince) < c.idleTimeout && c.openAndEmpty() {
			return c, nil
		}
		c.drop()
	}
	p.mu.Lock()
	if p.maxConns > 0 && p.open[peer] >= p.maxConns {
		p.mu.Unlock()
		return nil, errMaxConns
	}
	p.open[peer]++
	p.dialed++
	p.mu.Unlock()
	raw, err := p.dialer.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		p.decrementOpen(peer)
		return nil, err
	}
	return &conn{Conn: raw, pool: p, peer: peer, reader: bufio.NewReaderSize(raw, readBufferBytes), idleTimeout: p.settings.IdleTimeout}, nil
}

func (p *Pool) popIdle(peer netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[peer]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[peer] = list[:len(list)-1]
	return c
}

func (p *Pool) decrementOpen(peer netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[peer]--; p.open[peer] <= 0 {
		delete(p.open, peer)
	}
}

// CloseIdle closes the kept connections to a server that is gone.
func (p *Pool) CloseIdle(peer netip.AddrPort) {
	p.mu.Lock()
	list := p.idle[peer]
	delete(p.idle, peer)
	p.mu.Unlock()
	for _, c := range list {
		c.drop()
	}
}

// CloseExpired closes kept connections that have been idle for too long. A connection
// that is left to the server's own timeout could close under a request.
func (p *Pool) CloseExpired() {
	var expired []*conn
	p.mu.Lock()
	for peer, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if p.clock.Since(c.idleSince) >= c.idleTimeout {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		p.idle[peer] = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.drop()
	}
}

// openAndEmpty tells whether a kept connection is open and nothing lies on it.
func (c *conn) openAndEmpty() bool {
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

func (c *conn) drop() {
	_ = c.Close()
	c.pool.decrementOpen(c.peer)
}

// release gives the connection back for the next request.
func (c *conn) release() {
	p := c.pool
	c.idleSince = p.clock.Now()
	p.mu.Lock()
	if len(p.idle[c.peer]) < maxIdleConns {
		p.idle[c.peer] = append(p.idle[c.peer], c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.drop()
}

// Read notes whether the body came to its true end.
func (b *body) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err == io.EOF {
		b.readToEOF = true
		b.finish()
	}
	return n, err
}

// Close ends the exchange. A connection whose body was not read to its end is
// closed, which cancels the run.
func (b *body) Close() error {
	b.finish()
	return nil
}

func (b *body) finish() {
	b.once.Do(func() {
		cancelled := !b.stopCancel()
		if cancelled || !b.reusable || !b.readToEOF || !b.conn.requestWritten() || b.conn.reader.Buffered() > 0 {
			b.conn.drop()
			return
		}
		b.conn.release()
	})
}

// ApplyKeepAlive tells the connection under a body how long the server keeps it.
func ApplyKeepAlive(r *http.Response) {
	b, ok := r.Body.(*body)
	if !ok {
		return
	}
	for _, field := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			b.conn.idleTimeout = min(b.conn.pool.settings.IdleTimeout, time.Duration(seconds)*time.Second*keepAliveShareNumerator/keepAliveShareDenominator)
		}
	}
}

// Error gives the peer and the cause.
func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Peer, e.Err) }

// Unwrap gives the cause.
func (e *DialError) Unwrap() error { return e.Err }

// Error gives the step, the peer and the cause.
func (e *ExchangeError) Error() string { return fmt.Sprintf("%s at %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap gives the cause.
func (e *ExchangeError) Unwrap() error { return e.Err }
