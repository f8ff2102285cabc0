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
	"syscall"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/jonboulle/clockwork"
)

type (
	// Dialer holds what all links of an entry share: settings, counters and the
	// heartbeat scheduler.
	Dialer struct {
		settings    Settings
		self        func() beechwire.Hello
		callHandler CallHandler
		tls         *tls.Config
		clock       clockwork.Clock
		counters    counters
		scheduler   *heartbeatScheduler
		sessions    *sessionTable

		mu      sync.Mutex
		clients map[*Client]struct{}
		closed  bool
	}

	// Client is the entry's link to one agent: one or more connections. One of
	// them is dialed again whenever it is lost.
	Client struct {
		dialer  *Dialer
		address netip.AddrPort
		context context.Context
		cancel  context.CancelFunc
		running sync.WaitGroup

		mu           sync.Mutex
		endpoints    []*clientEndpoint
		peer         Peer
		lastFailure  error // why the last connection failed or ended
		refused      bool  // the agent's host has refused a connection since the last one ended
		openingExtra bool  // an extra connection is being opened
	}
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// NewDialer returns the entry's side of links. Self is called for each
// handshake, heartbeats twice per settings.Heartbeat. Settings.Key is sent in
// the Hello. TlsConfig may be nil; otherwise it should hold this side's
// certificate and the root certificates of the agents.
func NewDialer(settings Settings, self func() beechwire.Hello, events Events, callHandler CallHandler, heartbeats HeartbeatSource, tlsConfig *tls.Config, clock clockwork.Clock) *Dialer {
	s := settings.withDefaults()
	return &Dialer{
		settings:    s,
		self:        self,
		callHandler: callHandler,
		tls:         tlsConfig,
		clock:       clock,
		scheduler:   newHeartbeatScheduler(s, heartbeats, clock),
		sessions:    newSessionTable(events),
		clients:     map[*Client]struct{}{},
	}
}

// Counters returns the totals of all links.
func (d *Dialer) Counters() Counters { return d.counters.snapshot() }

// PushHeartbeat sends urgent changes of the heartbeat at once, as
// Server.PushHeartbeat does.
func (d *Dialer) PushHeartbeat() { d.scheduler.runNow() }

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
	d.scheduler.close()
	d.sessions.close()
}

// Dial starts a link to the agent at peer and returns at once. Events.Up
// reports when it is up. Client.Close ends it.
func (d *Dialer) Dial(peer netip.AddrPort) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		dialer:      d,
		address:     peer,
		context:     ctx,
		cancel:      cancel,
		peer:        Peer{Address: peer},
		lastFailure: errors.New("not yet dialed"),
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
		c.maintain()
	}()
	return c
}

// Close ends the link. Open streams end with LostError.
func (c *Client) Close() {
	c.cancel()
	c.mu.Lock()
	endpoints := append([]*clientEndpoint(nil), c.endpoints...)
	c.mu.Unlock()
	for _, e := range endpoints {
		e.connection.out.dropTransfers()
		e.connection.sendBye(byeClosed)
	}
	for _, e := range endpoints {
		e.connection.waitWriterDone(c.dialer.settings.DialTimeout)
		e.connection.fail(ErrClosed)
	}
	c.running.Wait()
	c.dialer.mu.Lock()
	delete(c.dialer.clients, c)
	c.dialer.mu.Unlock()
}

// Peer returns the agent as of its last handshake. Before the first one only
// the address is set.
func (c *Client) Peer() Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peer
}

// Ready reports whether a connection is up on which streams can be opened.
func (c *Client) Ready() bool {
	e, err := c.selectEndpoint()
	return err == nil && e.usable()
}

// Refused reports whether no connection is up and the agent's host has refused the last attempt at
// one: no process listens there.
func (c *Client) Refused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused && len(c.endpoints) == 0
}

// Open starts a stream with the request and its body, which must not be changed
// until the stream has ended. *OpenError means that nothing was sent.
func (c *Client) Open(ctx context.Context, r beechwire.Request, body []byte) (Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, &OpenError{Peer: c.address, Err: err}
	}
	if len(body) > c.dialer.settings.MaxBody {
		return nil, &OpenError{Peer: c.address, Err: fmt.Errorf("body of %d bytes is over %d", len(body), c.dialer.settings.MaxBody)}
	}
	e, err := c.selectEndpoint()
	if err != nil {
		return nil, &OpenError{Peer: c.address, Err: err}
	}
	s, err := e.open(&r, body)
	if err != nil {
		return nil, &OpenError{Peer: c.address, Err: err}
	}
	return s, nil
}

// Reattach opens a stream for a request that was sent before. It sets Stream
// and Credit of the message. *OpenError means that nothing was sent.
func (c *Client) Reattach(ctx context.Context, r beechwire.Reattach) (Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, &OpenError{Peer: c.address, Err: err}
	}
	e, err := c.selectEndpoint()
	if err != nil {
		return nil, &OpenError{Peer: c.address, Err: err}
	}
	s, err := e.reattach(r)
	if err != nil {
		return nil, &OpenError{Peer: c.address, Err: err}
	}
	return s, nil
}

// Call sends a call to the agent and waits for the result. *OpenError means
// that nothing was sent, *CallError that the agent answered with an error,
// *LostError that the agent may have acted on the call.
func (c *Client) Call(ctx context.Context, method string, payload []byte) ([]byte, error) {
	e, err := c.selectEndpoint()
	if err != nil {
		return nil, &OpenError{Peer: c.address, Err: err}
	}
	return e.connection.call(ctx, method, payload)
}

// selectEndpoint returns the connection with the fewest streams. If even that
// has many, it also starts to open an extra connection.
func (c *Client) selectEndpoint() (*clientEndpoint, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *clientEndpoint
	fewest := 0
	for _, e := range c.endpoints {
		if !e.usable() {
			continue
		}
		n := e.streamCount()
		if best == nil || n < fewest {
			best = e
			fewest = n
		}
	}
	if best == nil {
		return nil, fmt.Errorf("%w (%w)", ErrDown, c.lastFailure)
	}
	if fewest >= extraConnectionThreshold && !c.openingExtra && len(c.endpoints) < c.dialer.settings.Connections && c.context.Err() == nil {
		c.openExtra()
	}
	return best, nil
}

// openExtra opens an extra connection. The caller holds the lock.
func (c *Client) openExtra() {
	c.openingExtra = true
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		_ = c.connectOnce(true) // a fault of the agent is reported by the main connection
		c.mu.Lock()
		c.openingExtra = false
		c.mu.Unlock()
	}()
}

// maintain keeps one connection up until the client is closed.
func (c *Client) maintain() {
	failures := 0
	for {
		began := c.dialer.clock.Now()
		err := c.connectOnce(false)
		if c.context.Err() != nil {
			return
		}
		c.setLastFailure(err)
		failures++
		if c.dialer.clock.Since(began) > maxBackoff {
			failures = 0
		}
		if !c.sleep(backoff(failures)) {
			return
		}
	}
}

func (c *Client) setLastFailure(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastFailure = err
	c.refused = errors.Is(err, syscall.ECONNREFUSED)
}

// backoff doubles with each failure. Half of it is random, because entries that
// lost an agent at the same time would otherwise all dial it at the same time
// when it is back.
func backoff(failures int) time.Duration {
	d := maxBackoff
	if failures < 8 {
		d = min(maxBackoff, minBackoff<<failures)
	}
	return d/2 + rand.N(d/2)
}

func (c *Client) sleep(d time.Duration) bool {
	timer := c.dialer.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-c.context.Done():
		return false
	}
}

// connectOnce opens a connection and returns when it has ended.
func (c *Client) connectOnce(extra bool) error {
	d := c.dialer
	conn, frames, hello, err := c.connect()
	if err != nil {
		d.counters.rejected.Add(1)
		return err
	}
	peer, key := peerFromHello(hello, conn.RemoteAddr())
	peer.Address = c.address
	key.address = c.address
	e := newClientEndpoint()
	e.extra = extra
	frames.limit = d.settings.MaxFrame
	connection := newConnection(conn, peer, key, d.settings, &d.counters, d.scheduler, d.callHandler, d.sessions, e)
	connection.probesIdle = true
	e.connection = connection
	c.addEndpoint(e)
	err = connection.run(frames)
	connection.countEnd(err)
	c.removeEndpoint(e, err)
	return &LostError{Peer: c.address, Err: err}
}

func (c *Client) addEndpoint(e *clientEndpoint) {
	d := c.dialer
	replaced := fmt.Errorf("replaced by incarnation %d", e.connection.peer.Incarnation)
	for _, old := range d.sessions.removeOtherIncarnations(e.connection, replaced) {
		old.fail(replaced)
	}
	c.mu.Lock()
	c.endpoints = append(c.endpoints, e)
	c.openingExtra = c.openingExtra && !e.extra
	c.peer = e.connection.peer
	c.mu.Unlock()
	d.counters.up.Add(1) // not before calls can use it
	d.sessions.add(e.connection)
	if c.context.Err() != nil {
		e.connection.fail(ErrClosed)
	}
}

func (c *Client) removeEndpoint(e *clientEndpoint, err error) {
	c.mu.Lock()
	for i, other := range c.endpoints {
		if other == e {
			c.endpoints = append(c.endpoints[:i], c.endpoints[i+1:]...)
			break
		}
	}
	c.mu.Unlock()
	c.dialer.sessions.remove(e.connection, err)
}

// connect dials the agent and performs the handshake.
func (c *Client) connect() (net.Conn, *frameReader, beechwire.Hello, error) {
	d := c.dialer
	ctx, cancel := context.WithCancelCause(c.context)
	defer cancel(nil)
	timer := d.clock.AfterFunc(2*d.settings.DialTimeout, func() { cancel(errHandshakeTimeout) })
	defer timer.Stop()
	dialer := net.Dialer{KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", c.address.String())
	if err != nil {
		return nil, nil, beechwire.Hello{}, fmt.Errorf("dial %s: %w", c.address, causeOr(ctx, err))
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	conn, frames, hello, err := c.handshake(ctx, raw)
	if !stop() {
		err = context.Cause(ctx)
	}
	if err != nil {
		raw.Close()
		return nil, nil, hello, &HandshakeError{Peer: c.address, Step: "handshake", Err: err}
	}
	return conn, frames, hello, nil
}

// causeOr returns the cause for which ctx was cancelled, or err if it was not.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func (c *Client) handshake(ctx context.Context, raw net.Conn) (net.Conn, *frameReader, beechwire.Hello, error) {
	conn, err := c.startTLS(ctx, raw)
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
	frames := newFrameReader(conn, maxHelloBytes)
	hello, err := readHello(frames, key)
	return conn, frames, hello, err
}

func (c *Client) startTLS(ctx context.Context, raw net.Conn) (net.Conn, error) {
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
