// Package beechpool is a pool of HTTP/1.1 connections to backend servers, without
// pipelining: each connection carries one exchange at a time.
//
// It replaces net/http's Transport, which retries some requests by itself when a
// reused connection turns out to be closed, drops a connection on which a duplicate
// response arrives, and does not report whether a request was sent. This package never
// retries, recognises and discards a response to an earlier request, and its errors
// tell how far the request got.
//
// Before an idle connection is reused, it is checked without blocking. It is dropped if
// the server has closed it or has sent bytes that no request asked for.
//
// A response names its request by an ID, which is no evidence if the connection has carried a request with that ID
// before: a server may send any earlier response again. So a connection carries each ID once, and a request
// that is sent again goes on another one. Responses to some requests name none. Such requests are kept apart by
// kind, or have a connection of their own.
//
// A response that does not name its request is accepted only where it cannot be the second copy of an earlier one of
// its connection.
//
// What a server may send before a response begins is bounded in bytes and in interim responses, so that
// one that sends without end is left at once.
//
// An answer with neither a length nor chunks ends with its connection. It is whole only if its request was written whole and
// the connection was not reset: the kernel reports a reset to one call only, and the goroutine that writes a long request
// may have got it, so that the one that reads sees an orderly end. Heads and trailers are checked (package beechanswer)
// before anything in them is believed.
//
// An exchange that ends early is withdrawn: its connection is reset, so that a request that
// is still queued on its way is discarded, and a server that reads late does not take it for
// a whole request whose client has merely finished sending.
//
// # Usage
//
//	pool := beechpool.New(beechpool.DefaultSettings, clock)
//	response, err := pool.Exchange(ctx, address, request, beechpool.Conditions{
//		ID:      id,
//		Matches: func(r *http.Response) bool { return r.Header.Get("X-Id") == id },
//	})
//	var dial *beechpool.DialError // nothing was sent
//	defer response.Body.Close()   // before the end of the body, this cancels the request
package beechpool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"github.com/beechring/beechring/internal/link/beechanswer"
	"github.com/beechring/beechring/internal/link/beechsocket"
)

type (
	// Settings configure a pool.
	Settings struct {
		DialTimeout   time.Duration // for a new connection
		UserTimeout   time.Duration // the connection is dead if sent bytes or probes stay unacknowledged for longer, or the server reads nothing
		IdleTimeout   time.Duration // maximum idle time of a reused connection; 7/10 of the server's Keep-Alive timeout if that is shorter
		ProbeInterval time.Duration // between TCP keep-alive probes; Linux takes whole seconds
		MaxConns      int           // connections to one server; 0: unlimited
	}

	// Pool holds the connections to all servers. It is safe for concurrent use.
	Pool struct {
		settings Settings
		clock    clockwork.Clock
		dialer   net.Dialer

		mu     sync.Mutex
		idle   map[netip.AddrPort][]*conn // by server; the most recently used is last
		open   map[netip.AddrPort]int
		limits map[netip.AddrPort]int // by server; 0 or none: Settings.MaxConns
		dialed int
		closed map[CloseCause]int64
		seed   maphash.Seed

		discarded atomic.Int64 // responses to earlier requests

		resetDelay func(time.Duration)
	}

	// CloseCause is why a connection was closed.
	CloseCause string

	// Conditions are what an exchange depends on besides its context. Each may be left out.
	Conditions struct {
		ID        string                    // of the request, which its response names; a connection carries no ID twice
		Kind      string                    // of the request; a connection carries one kind
		Exclusive bool                      // the connection carries nothing else
		Matches   func(*http.Response) bool // false for a response to an earlier request
		Unmarked  func(*http.Response) bool // true for a matching response that does not name its request
		Withdrawn func() bool               // checked just before the request is written
		Reset     func(told bool)           // called when the context has ended and the connection was reset; false: it was dead before
	}

	// Connection is what an exchange shows of the connection that carried it.
	Connection struct {
		Number    int // of the pool's connections, in the order in which they were dialed
		Exchanges int // so far, this one included
		Discarded int // responses to earlier requests that were received before this one's
	}

	// DialError reports that nothing was sent, since no connection was available or the
	// exchange was withdrawn before.
	DialError struct {
		Peer netip.AddrPort
		Err  error
	}

	// ExchangeError reports that a request was sent, at least in part, and that no
	// response to it was received.
	ExchangeError struct {
		Peer   netip.AddrPort
		Step   string // what failed, such as "write request"
		Reused bool   // the connection had been used before
		Err    error
	}

	conn struct {
		net.Conn
		pool        *Pool
		peer        netip.AddrPort
		number      int
		kind        string
		carried     []uint64 // hashes of the IDs of its requests
		source      *headSource
		reader      *bufio.Reader
		uses        int
		unmarked    bool // a response was received whose second copy would be taken for one to any request
		idleSince   time.Time
		idleTimeout time.Duration
		writing     *writing // of the current request
		ended       sync.Once
		reading     atomic.Bool               // a goroutine waits for data
		resetAt     atomic.Pointer[time.Time] // the connection was reset while a goroutine waited for data
	}

	// writing is the writing of a request.
	writing struct {
		done chan struct{} // closed at its end
		err  error         // valid then
	}

	// headSource reads from a connection, and no more than a number of bytes while a head is read.
	headSource struct {
		io.Reader
		bounded bool
		left    int // bytes
	}

	body struct {
		io.ReadCloser
		conn       *conn
		connection Connection
		stopCancel func() bool // stops closing the connection when the context ends
		response   *http.Response
		unframed   bool // it ends with its connection
		reusable   bool
		usedUp     bool
		readToEOF  bool
		once       sync.Once
	}
)

// DefaultSettings suit servers with a round-trip time of a few milliseconds. DialTimeout
// is short because a host without power never answers, and another server can then still
// serve the request in time. UserTimeout is long enough that a connection outlasts two seconds
// in which its server stands still or all packets are lost: what was lost is sent again at
// intervals that double, so that the next time may be more than two seconds after the end.
var DefaultSettings = Settings{
	DialTimeout: 300 * time.Millisecond, UserTimeout: 4500 * time.Millisecond,
	IdleTimeout: 4 * time.Second, ProbeInterval: time.Second,
}

const (
	concurrentWriteBytes      = 16 << 10 // longer bodies are written while reading, since a server may respond before it has read them
	maxStaleResponses         = 3        // responses to earlier requests after which an exchange fails
	readBufferBytes           = 4 << 10
	maxHeadBytes              = 64 << 10 // of all heads in one exchange
	maxInterimResponses       = 100      // in one exchange
	maxIdleConns              = 64       // to one server
	maxCarriedIDs             = 1024     // of one connection, which is closed then
	maxDiscardBytes           = 64 << 10
	keepAliveShareDenominator = 10
	keepAliveShareNumerator   = 7
)

// The causes for which connections are closed.
const (
	CloseUnused    CloseCause = "unused"                       // idle for too long, or closed by the server meanwhile
	CloseServer    CloseCause = "server closes"                // the response says so, or has bytes behind it
	CloseWithdrawn CloseCause = "withdrawn"                    // the context ended or the caller departed
	CloseFailed    CloseCause = "no response"                  // the exchange failed
	CloseUnread    CloseCause = "response not read to its end" // by the user of the pool
	CloseUsedUp    CloseCause = "not to be used again"         // it has carried all IDs that it may, or an exclusive exchange
	CloseReplaced  CloseCause = "replaced"                     // by one that has not carried the ID of a request, at the maximum number
)

var (
	// ErrWithdrawn is the cause of a DialError if the context had ended or Conditions.Withdrawn held.
	ErrWithdrawn = errors.New("withdrawn before it was sent")

	// ErrUnterminatedHead is the cause of an ExchangeError if a head, or the interim responses before it, exceed their bound.
	ErrUnterminatedHead = errors.New("unterminated response head")

	errHeadTooLong    = fmt.Errorf("%w: it exceeds %d bytes", ErrUnterminatedHead, maxHeadBytes)
	errInterim        = fmt.Errorf("%w: %d interim responses", ErrUnterminatedHead, maxInterimResponses)
	errUnmarked       = errors.New("the response names no request and may be a second copy of an earlier one")
	errStaleResponses = errors.New("received only responses to earlier requests")
	errMaxConns       = errors.New("maximum number of connections to the server reached")
)

// New returns an empty pool.
func New(s Settings, clock clockwork.Clock) *Pool {
	p := &Pool{
		settings: s, clock: clock,
		idle: make(map[netip.AddrPort][]*conn), open: make(map[netip.AddrPort]int), closed: make(map[CloseCause]int64), seed: maphash.MakeSeed(), resetDelay: func(time.Duration) {},
	}
	p.dialer = net.Dialer{
		Timeout:         s.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: s.ProbeInterval, Interval: s.ProbeInterval, Count: s.probes()},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// It overrides the number of probes. Without this socket option they still detect a
				// dead peer.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(s.UserTimeout.Milliseconds()))
			})
		},
	}
	return p
}

// probes returns how many probes without an answer take at least as long as the user timeout.
func (s Settings) probes() int {
	if s.ProbeInterval <= 0 {
		return 1
	}
	return max(int((s.UserTimeout+s.ProbeInterval-1)/s.ProbeInterval), 1)
}

// ConnectionsMade returns how many connections were dialed so far, including failed attempts.
func (p *Pool) ConnectionsMade() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// ResponsesDiscarded returns how many responses to earlier requests were received in the place of the one that was due.
func (p *Pool) ResponsesDiscarded() int64 { return p.discarded.Load() }

// ConnectionsClosed returns how many connections were closed, by cause.
func (p *Pool) ConnectionsClosed() map[CloseCause]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.closed)
}

// ObserveResetDelay has a function called with the time from the withdrawal of each exchange until its
// socket was closed: a goroutine that waits for data holds the socket until it has run again. It must be
// called before the first exchange.
func (p *Pool) ObserveResetDelay(observe func(time.Duration)) { p.resetDelay = observe }

// SetLimits limits the number of connections to each server. Servers that are not named have
// the limit of the settings.
func (p *Pool) SetLimits(limits map[netip.AddrPort]int) {
	p.mu.Lock()
	p.limits = limits
	p.mu.Unlock()
}

// limit returns the maximum number of connections to a server, or 0 if there is none. The caller
// holds the lock.
func (p *Pool) limit(peer netip.AddrPort) int {
	if limit := p.limits[peer]; limit > 0 {
		return limit
	}
	return p.settings.MaxConns
}

// Probe checks whether a server accepts connections, by opening and closing one.
func (p *Pool) Probe(ctx context.Context, peer netip.AddrPort) error {
	c, err := p.dialer.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return &DialError{Peer: peer, Err: err}
	}
	return c.Close()
}

// Exchange sends a request and returns the first response that matches; it discards
// others as responses to earlier requests. The context covers the whole exchange, to the
// end of the body. Errors are *DialError or *ExchangeError.
func (p *Pool) Exchange(ctx context.Context, peer netip.AddrPort, r *http.Request, conditions Conditions) (*http.Response, error) {
	c, err := p.acquire(ctx, peer, conditions)
	if err != nil {
		return nil, &DialError{Peer: peer, Err: err}
	}
	if err := conditions.withdrawn(ctx); err != nil {
		c.release()
		return nil, &DialError{Peer: peer, Err: err}
	}
	stop := c.withdrawAtEnd(ctx, conditions.Reset)
	c.reading.Store(true)
	response, discarded, failed := c.exchange(r, conditions)
	c.readEnded()
	if failed != nil {
		stop()
		c.reset(CloseFailed)
		if cause := ctx.Err(); cause != nil {
			failed.Err = fmt.Errorf("%w: %w", cause, failed.Err)
		}
		return nil, failed
	}
	response.Body = &body{
		response: response, unframed: response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody,
		ReadCloser: response.Body, conn: c, connection: Connection{Number: c.number, Exchanges: c.uses, Discarded: discarded},
		stopCancel: stop, reusable: !response.Close, usedUp: conditions.Exclusive || len(c.carried) >= maxCarriedIDs,
	}
	return response, nil
}

// withdrawn returns an error if the request must not be written any more.
func (c Conditions) withdrawn(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrWithdrawn, err)
	}
	if c.Withdrawn != nil && c.Withdrawn() {
		return ErrWithdrawn
	}
	return nil
}

// exchange returns the response to a request, and the number of responses to earlier ones that came before it.
func (c *conn) exchange(r *http.Request, conditions Conditions) (response *http.Response, discarded int, failed *ExchangeError) {
	reused := c.uses > 0
	c.uses++
	if conditions.ID != "" {
		c.carried = append(c.carried, c.pool.hash(conditions.ID))
	}
	c.writing = &writing{done: make(chan struct{})}
	if r.ContentLength > concurrentWriteBytes {
		go c.writing.run(r, c.Conn)
	} else {
		c.writing.run(r, c.Conn)
		if err := c.writeResult(); err != nil {
			return nil, 0, &ExchangeError{Peer: c.peer, Step: "write request", Reused: reused, Err: err}
		}
	}
	c.source.left = maxHeadBytes
	interim := 0
	for discarded < maxStaleResponses {
		response, err := c.readHead(r)
		if err != nil {
			return nil, discarded, &ExchangeError{Peer: c.peer, Step: "read response", Reused: reused, Err: err}
		}
		if response.StatusCode < http.StatusOK {
			if interim++; interim > maxInterimResponses {
				return nil, discarded, &ExchangeError{Peer: c.peer, Step: "read response", Reused: reused, Err: errInterim}
			}
			continue
		}
		if conditions.Matches == nil || conditions.Matches(response) {
			response, failed = c.accept(response, conditions, reused)
			return response, discarded, failed
		}
		// A late or duplicate response to an earlier request.
		discarded++
		c.pool.discarded.Add(1)
		n, err := io.CopyN(io.Discard, response.Body, maxDiscardBytes)
		if !errors.Is(err, io.EOF) || response.Close {
			return nil, discarded, &ExchangeError{Peer: c.peer, Step: "discard response to an earlier request", Reused: reused, Err: fmt.Errorf("%w: discarded %d bytes", errStaleResponses, n)}
		}
	}
	return nil, discarded, &ExchangeError{Peer: c.peer, Step: "read response", Reused: reused, Err: errStaleResponses}
}

// accept returns a response that matches. One that does not name its request is an error where it may be the
// second copy of an earlier one. Its connection is not used again, since it may itself come twice.
func (c *conn) accept(response *http.Response, conditions Conditions, reused bool) (*http.Response, *ExchangeError) {
	named := conditions.Matches != nil && (conditions.Unmarked == nil || !conditions.Unmarked(response))
	switch {
	case named || (conditions.Matches == nil && response.StatusCode < http.StatusMultipleChoices):
	case conditions.Matches != nil && c.unmarked:
		return nil, &ExchangeError{Peer: c.peer, Step: "read response", Reused: reused, Err: errUnmarked}
	default:
		c.unmarked = true
		response.Close = response.Close || conditions.Matches != nil
	}
	return response, nil
}

// readHead reads a response up to its body.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	c.source.bounded = true
	defer func() { c.source.bounded = false }()
	response, err := http.ReadResponse(c.reader, r)
	if err != nil && c.source.left <= 0 && !errors.Is(err, errHeadTooLong) {
		err = fmt.Errorf("%w: %w", errHeadTooLong, err) // cut off in the middle of a line
	}
	if err == nil {
		err = beechanswer.Check(response)
	}
	return response, err
}

// Read reads from the connection.
func (s *headSource) Read(data []byte) (int, error) {
	if !s.bounded {
		return s.Reader.Read(data)
	}
	if s.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := s.Reader.Read(data[:min(len(data), s.left)])
	s.left -= n
	return n, err
}

func (w *writing) run(r *http.Request, to io.Writer) {
	w.err = r.Write(to)
	close(w.done)
}

// writeResult waits until the request was written, and returns the error.
func (c *conn) writeResult() error {
	<-c.writing.done
	return c.writing.err
}

// endedWhole returns an error if an answer that has ended with its connection may lack a part. It waits until the request
// was written, which a reset or the end of the context ends.
func (c *conn) endedWhole() error {
	if err := c.writeResult(); err != nil {
		return fmt.Errorf("%w: write request: %w", beechanswer.ErrCut, err)
	}
	if beechsocket.WasReset(c.Conn) {
		return fmt.Errorf("%w: reset", beechanswer.ErrCut)
	}
	return nil
}

// requestWritten reports, without blocking, whether the whole request was sent.
func (c *conn) requestWritten() bool {
	select {
	case <-c.writing.done:
		return c.writing.err == nil
	default:
		return false
	}
}

// acquire returns an idle connection that is still usable and may carry the request, or a new one.
func (p *Pool) acquire(ctx context.Context, peer netip.AddrPort, conditions Conditions) (*conn, error) {
	for !conditions.Exclusive {
		c := p.popIdle(peer, conditions)
		if c == nil {
			break
		}
		if p.clock.Since(c.idleSince) < c.idleTimeout && c.openAndEmpty() {
			return c, nil
		}
		c.drop()
	}
	p.mu.Lock()
	for limit := p.limit(peer); limit > 0 && p.open[peer] >= limit; {
		if len(p.idle[peer]) == 0 {
			p.mu.Unlock()
			return nil, errMaxConns
		}
		oldest := p.idle[peer][0]
		p.idle[peer] = slices.Delete(p.idle[peer], 0, 1)
		p.mu.Unlock()
		oldest.end(CloseReplaced)
		p.mu.Lock()
	}
	p.open[peer]++
	p.dialed++
	number := p.dialed
	p.mu.Unlock()
	raw, err := p.dialer.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		p.decrementOpen(peer)
		return nil, err
	}
	source := &headSource{Reader: raw}
	return &conn{Conn: raw, pool: p, peer: peer, number: number, kind: conditions.Kind, source: source, reader: bufio.NewReaderSize(source, readBufferBytes), idleTimeout: p.settings.IdleTimeout}, nil
}

// popIdle returns the most recently used idle connection that may carry a request, or nil.
func (p *Pool) popIdle(peer netip.AddrPort, conditions Conditions) *conn {
	id := p.hash(conditions.ID)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[peer]
	for i, c := range slices.Backward(list) {
		if c.kind == conditions.Kind && !(conditions.ID != "" && slices.Contains(c.carried, id)) {
			p.idle[peer] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) hash(id string) uint64 { return maphash.String(p.seed, id) }

func (p *Pool) decrementOpen(peer netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[peer]--; p.open[peer] <= 0 {
		delete(p.open, peer)
	}
}

// CloseIdle closes the idle connections to a server that has left.
func (p *Pool) CloseIdle(peer netip.AddrPort) {
	p.mu.Lock()
	list := p.idle[peer]
	delete(p.idle, peer)
	p.mu.Unlock()
	for _, c := range list {
		c.drop()
	}
}

// CloseExpired closes the connections that have been idle for longer than their idle
// timeout. If this were left to the server, it could close a connection just as the next
// request is sent on it.
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

// openAndEmpty reports whether an idle connection is open and has no bytes to read.
func (c *conn) openAndEmpty() bool {
	state := beechsocket.Look(c.Conn)
	return state == beechsocket.Idle || state == beechsocket.Unknown
}

// drop closes a connection that carries no exchange.
func (c *conn) drop() { c.end(CloseUnused) }

// end closes a connection.
func (c *conn) end(cause CloseCause) {
	c.ended.Do(func() {
		_ = c.Close()
		c.pool.decrementOpen(c.peer)
		c.pool.countClosed(cause)
	})
}

func (p *Pool) countClosed(cause CloseCause) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed[cause]++
}

// readEnded records that no goroutine waits for data any more.
func (c *conn) readEnded() {
	c.reading.Store(false)
	if at := c.resetAt.Swap(nil); at != nil {
		c.pool.resetDelay(c.pool.clock.Since(*at))
	}
}

// withdrawAtEnd withdraws the exchange when the context ends or the caller of its request departs.
// Stop prevents that, and returns false if it has begun.
func (c *conn) withdrawAtEnd(ctx context.Context, report func(told bool)) (stop func() bool) {
	withdraw := sync.OnceFunc(func() { c.withdraw(report) })
	stopContext := context.AfterFunc(ctx, withdraw)
	stopDeparture := beechsocket.AfterDeparture(ctx, withdraw)
	return func() bool {
		endedByContext, departed := !stopContext(), !stopDeparture()
		return !endedByContext && !departed
	}
}

// withdraw resets a connection with an exchange under way, and reports whether it was still alive.
func (c *conn) withdraw(report func(told bool)) {
	alive := beechsocket.Look(c.Conn) != beechsocket.Closed
	if now := c.pool.clock.Now(); c.reading.Load() {
		c.resetAt.Store(&now)
	}
	c.reset(CloseWithdrawn)
	if report != nil {
		report(alive)
	}
}

// reset withdraws the exchange of a connection.
func (c *conn) reset(cause CloseCause) {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.end(cause)
}

// release returns the connection to the pool.
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

// Read reads from the body and, at its end, releases the connection.
func (b *body) Read(data []byte) (int, error) {
	b.conn.reading.Store(true)
	n, err := b.ReadCloser.Read(data)
	b.conn.readEnded()
	if err == io.EOF {
		if failed := b.checkEnd(); failed != nil {
			return n, failed
		}
		b.readToEOF = true
		b.finish()
	}
	return n, err
}

// checkEnd returns an error if the body that has ended is not that of a whole answer.
func (b *body) checkEnd() error {
	if err := beechanswer.CheckFields(b.response.Trailer); err != nil {
		return err
	}
	if b.unframed && !b.readToEOF {
		return b.conn.endedWhole()
	}
	return nil
}

// Close ends the exchange. If the body was not read to its end, the connection is
// reset, which cancels the request at the server.
func (b *body) Close() error {
	b.finish()
	return nil
}

func (b *body) finish() {
	b.once.Do(func() {
		cancelled := !b.stopCancel()
		switch {
		case cancelled:
			b.conn.reset(CloseWithdrawn)
		case !b.readToEOF || !b.conn.requestWritten():
			b.conn.reset(CloseUnread)
		case !b.reusable || b.conn.reader.Buffered() > 0:
			b.conn.end(CloseServer)
		case b.usedUp:
			b.conn.end(CloseUsedUp)
		default:
			b.conn.release()
		}
	})
}

// ConnectionOf returns the connection that carried a response of a pool.
func ConnectionOf(r *http.Response) Connection {
	b, ok := r.Body.(*body)
	if !ok {
		return Connection{}
	}
	return b.connection
}

// ApplyKeepAlive sets the idle timeout of a response's connection according to the
// timeout in the Keep-Alive header, if there is one.
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

// Error returns the peer and the cause.
func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// Error returns the step, the peer, whether the connection had been used before, and the cause.
func (e *ExchangeError) Error() string {
	if e.Reused {
		return fmt.Sprintf("%s at %s on a reused connection: %v", e.Step, e.Peer, e.Err)
	}
	return fmt.Sprintf("%s at %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Err }
