package beechlink

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/jonboulle/clockwork"
)

type (
	// Dialer holds what all links of an entry share: settings, counters and
	// the pacing of heartbeats.
	Dialer struct {
		settings Settings
		self     func() beechwire.Hello
		caller   CallHandler
		tls      *tls.Config
		clock    clockwork.Clock
		counters counters
		pacer    *pacer
		roster   *roster

		mu      sync.Mutex
		clients map[*Client]struct{}
		closed  bool
	}

	// Client is the entry's link to one agent: a few connections, made anew
	// when lost.
	Client struct {
		dialer  *Dialer
		address netip.AddrPort
		context context.Context
		cancel  context.CancelFunc
		running sync.WaitGroup

		mu      sync.Mutex
		ends    []*clientEnd
		peer    Peer
		cause   error // of the last failure
		growing bool  // a spare connection is being opened
	}
)

const (
	backoffFirst = 50 * time.Millisecond
	backoffMost  = 4 * time.Second
)

// NewDialer makes the entry's side. Self is asked at each handshake, pulse
// every half Heartbeat. Key is sent in Hello; with tlsConfig, which may be nil,
// it should hold this side's certificate and the roots of the agents'.
func NewDialer(settings Settings, self func() beechwire.Hello, events Events, caller CallHandler, pulse HeartbeatSource, tlsConfig *tls.Config, clock clockwork.Clock) *Dialer {
	s := settings.filled()
	return &Dialer{
		settings: s,
		self:     self,
		caller:   caller,
		tls:      tlsConfig,
		clock:    clock,
		pacer:    newPacer(s, pulse, clock),
		roster:   newRoster(events),
		clients:  map[*Client]struct{}{},
	}
}

// Counters returns those of all links.
func (d *Dialer) Counters() Counters { return d.counters.snapshot() }

// PushHeartbeat sends at once what has changed in the heartbeat, as Server.PushHeartbeat does.
func (d *Dialer) PushHeartbeat() { d.pacer.push() }

// Close closes all links.
func (d *Dialer) Close() {
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()
		return
	}
	d.closed = true
	clients := d.clients
	d.clients = map[*Client]struct{}{}
	d.mu.Unlock()
	for c := range clients {
		c.Close()
	}
	d.pacer.close()
	d.roster.close()
}

// Dial starts a link to the agent at peer and returns at once; Events tell
// when it is up. Close ends it.
func (d *Dialer) Dial(peer netip.AddrPort) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		dialer:  d,
		address: peer,
		context: ctx,
		cancel:  cancel,
		peer:    Peer{Address: peer},
		cause:   errors.New("not yet dialed"),
	}
	d.mu.Lock()
	closed := d.closed
	d.clients[c] = struct{}{}
	d.mu.Unlock()
	if closed {
		cancel()
		return c
	}
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		c.keep()
	}()
	return c
}

// Close ends the link. Streams that are open end with LostError.
func (c *Client) Close() {
	c.cancel()
	c.mu.Lock()
	ends := append([]*clientEnd(nil), c.ends...)
	c.mu.Unlock()
	for _, e := range ends {
		e.c.out.dropTransfers()
		e.c.finish(byeClosed)
	}
	for _, e := range ends {
		e.c.waitWritten(c.dialer.settings.DialTimeout)
		e.c.fail(ErrClosed)
	}
	c.running.Wait()
	c.dialer.mu.Lock()
	delete(c.dialer.clients, c)
	c.dialer.mu.Unlock()
}

// Peer is the agent as it last introduced itself; before that only its
// address is set.
func (c *Client) Peer() Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peer
}

// Ready tells whether a stream can be opened now.
func (c *Client) Ready() bool {
	e, err := c.choose()
	return err == nil && e.usable()
}

// Open starts a stream with the request and its body, which must not be
// changed until the stream is over. *OpenError means that nothing was sent.
func (c *Client) Open(ctx context.Context, r beechwire.Request, body []byte) (Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, &OpenError{Peer: c.address, Err: err}
	}
	if len(body) > c.dialer.settings.MaxBody {
		return nil, &OpenError{Peer: c.address, Err: fmt.Errorf("body of %d bytes is over %d", len(body), c.dialer.settings.MaxBody)}
	}
	e, err := c.choose()
	if err != nil {
		return nil, &OpenError{Peer: c.address, Err: err}
	}
	s, err := e.open(&r, body)
	if err != nil {
		return nil, &OpenError{Peer: c.address, Err: err}
	}
	return s, nil
}

// Reattach joins a generation at the agent; Stream and Credit of r are filled
// in. *OpenError means that nothing was sent.
func (c *Client) Reattach(ctx context.Context, r beechwire.Reattach) (Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, &OpenError{Peer: c.address, Err: err}
	}
	e, err := c.choose()
	if err != nil {
		return nil, &OpenError{Peer: c.address, Err: err}
	}
	s, err := e.reattach(r)
	if err != nil {
		return nil, &OpenError{Peer: c.address, Err: err}
	}
	return s, nil
}

// Call asks the agent one question. *OpenError means that nothing was sent,
// *CallError is the agent's answer, *LostError that it may have acted on it.
func (c *Client) Call(ctx context.Context, method string, payload []byte) ([]byte, error) {
	e, err := c.choose()
	if err != nil {
		return nil, &OpenError{Peer: c.address, Err: err}
	}
	return e.c.call(ctx, method, payload)
}

// choose returns the connection with the fewest streams, and sees to a
// further one if these are many.
func (c *Client) choose() (*clientEnd, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *clientEnd
	fewest := 0
	for _, e := range c.ends {
		if !e.usable() {
			continue
		}
		n := e.streams()
		if best == nil || n < fewest {
			best = e
			fewest = n
		}
	}
	if best == nil {
		return nil, fmt.Errorf("%w (%w)", ErrDown, c.cause)
	}
	if fewest >= spareStreams && !c.growing && len(c.ends) < c.dialer.settings.Connections && c.context.Err() == nil {
		c.grow()
	}
	return best, nil
}

// grow opens a spare connection. It is called with the lock held.
func (c *Client) grow() {
	c.growing = true
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		_ = c.once(true) // the kept connection tells what is wrong with the agent
		c.mu.Lock()
		c.growing = false
		c.mu.Unlock()
	}()
}

// keep holds one connection up.
func (c *Client) keep() {
	failures := 0
	for {
		began := c.dialer.clock.Now()
		err := c.once(false)
		if c.context.Err() != nil {
			return
		}
		c.noteFailure(err)
		failures++
		if c.dialer.clock.Since(began) > backoffMost {
			failures = 0
		}
		if !c.pause(backoff(failures)) {
			return
		}
	}
}

func (c *Client) noteFailure(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cause = err
}

// backoff doubles with each failure. Half of it is random: entries that lost
// an agent together would otherwise dial it together when it is back.
func backoff(failures int) time.Duration {
	d := backoffMost
	if failures < 8 {
		d = min(backoffMost, backoffFirst<<failures)
	}
	return d/2 + rand.N(d/2)
}

func (c *Client) pause(d time.Duration) bool {
	timer := c.dialer.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-c.context.Done():
		return false
	}
}

// once makes a connection and returns when it has ended.
func (c *Client) once(spare bool) error {
	d := c.dialer
	conn, frames, hello, err := c.connect()
	if err != nil {
		d.counters.rejected.Add(1)
		return err
	}
	peer, key := peerOf(hello, conn.RemoteAddr())
	peer.Address = c.address
	key.address = c.address
	e := newClientEnd()
	e.spare = spare
	frames.limit = d.settings.MaxFrame
	k := newConnection(conn, peer, key, d.settings, &d.counters, d.pacer, d.caller, d.roster, e)
	k.beats = true
	e.c = k
	c.join(e)
	err = k.run(frames)
	k.count(err)
	c.leave(e, err)
	return &LostError{Peer: c.address, Err: err}
}

func (c *Client) join(e *clientEnd) {
	d := c.dialer
	d.counters.up.Add(1)
	replaced := fmt.Errorf("replaced by incarnation %d", e.c.peer.Incarnation)
	for _, old := range d.roster.retire(e.c, replaced) {
		old.fail(replaced)
	}
	c.mu.Lock()
	c.ends = append(c.ends, e)
	c.growing = c.growing && !e.spare
	c.peer = e.c.peer
	c.mu.Unlock()
	d.roster.join(e.c)
	if c.context.Err() != nil {
		e.c.fail(ErrClosed)
	}
}

func (c *Client) leave(e *clientEnd, err error) {
	c.mu.Lock()
	for i, other := range c.ends {
		if other == e {
			c.ends = append(c.ends[:i], c.ends[i+1:]...)
			break
		}
	}
	c.mu.Unlock()
	c.dialer.roster.leave(e.c, err)
}

// connect dials and shakes hands.
func (c *Client) connect() (net.Conn, *frameReader, beechwire.Hello, error) {
	d := c.dialer
	ctx, cancel := context.WithCancelCause(c.context)
	defer cancel(nil)
	timer := d.clock.AfterFunc(2*d.settings.DialTimeout, func() { cancel(errSlow) })
	defer timer.Stop()
	dialer := net.Dialer{KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", c.address.String())
	if err != nil {
		return nil, nil, beechwire.Hello{}, fmt.Errorf("dial %s: %w", c.address, orCause(ctx, err))
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	conn, frames, hello, err := c.greet(ctx, raw)
	if !stop() {
		err = context.Cause(ctx)
	}
	if err != nil {
		raw.Close()
		return nil, nil, hello, &HandshakeError{Peer: c.address, Step: "handshake", Err: err}
	}
	return conn, frames, hello, nil
}

// orCause prefers the reason for which ctx was ended to what came of it.
func orCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func (c *Client) greet(ctx context.Context, raw net.Conn) (net.Conn, *frameReader, beechwire.Hello, error) {
	conn, err := c.secure(ctx, raw)
	if err != nil {
		return nil, nil, beechwire.Hello{}, err
	}
	key := c.dialer.settings.Key
	if err := sendHello(conn, c.dialer.self(), key); err != nil {
		return nil, nil, beechwire.Hello{}, err
	}
	if err := readPreamble(conn); err != nil {
		return nil, nil, beechwire.Hello{}, err
	}
	frames := newFrameReader(conn, helloLimit)
	hello, err := readHello(frames, key)
	return conn, frames, hello, err
}

func (c *Client) secure(ctx context.Context, raw net.Conn) (net.Conn, error) {
	if c.dialer.tls == nil {
		return raw, nil
	}
	config := c.dialer.tls.Clone()
	if config.ServerName == "" {
		config.ServerName = c.address.Addr().String()
	}
	conn := tls.Client(raw, config)
	return conn, conn.HandshakeContext(ctx)
}
