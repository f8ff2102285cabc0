package beechlink

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/jonboulle/clockwork"
)

type (
	// Server is the agent's side of links.
	Server struct {
		settings       Settings
		self           func() beechwire.Hello
		handler        StreamHandler
		callHandler    CallHandler
		tls            *tls.Config
		clock          clockwork.Clock
		counters       counters
		scheduler      *heartbeatScheduler
		sessions       *sessionTable
		handshakeSlots chan struct{} // one element for each handshake in progress

		mu          sync.Mutex
		listeners   map[net.Listener]struct{}
		openConns   map[net.Conn]struct{}
		streams     int
		streamEnded chan struct{} // buffered; signalled when a stream has ended
		lostAt      time.Time     // when a connection was last lost that had open streams
		draining    bool          // new requests are refused
		closing     bool          // connections are refused too, and so are streams that are attached again
		connections sync.WaitGroup
		closed      bool
	}
)

// maxConcurrentHandshakes is the number of handshakes in progress at the same
// time. Further connections are closed.
const maxConcurrentHandshakes = 1024

// NewServer returns the agent's side of links. Self is called for each
// handshake, heartbeats twice per settings.Heartbeat. TlsConfig may be nil;
// otherwise it should require the entries' certificates.
func NewServer(settings Settings, self func() beechwire.Hello, handler StreamHandler, callHandler CallHandler, events Events, heartbeats HeartbeatSource, tlsConfig *tls.Config, clock clockwork.Clock) *Server {
	s := settings.withDefaults()
	return &Server{
		settings:       s,
		self:           self,
		handler:        handler,
		callHandler:    callHandler,
		tls:            tlsConfig,
		clock:          clock,
		scheduler:      newHeartbeatScheduler(s, heartbeats, clock),
		sessions:       newSessionTable(events),
		handshakeSlots: make(chan struct{}, maxConcurrentHandshakes),
		listeners:      map[net.Listener]struct{}{},
		openConns:      map[net.Conn]struct{}{},
		streamEnded:    make(chan struct{}, 1),
	}
}

// Listen opens a listener for Serve. TCP keepalive probes are off, because the
// heartbeats replace them and both would add up over hundreds of idle links.
func Listen(address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	l, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen for links on %s: %w", address, err)
	}
	return l, nil
}

// Serve accepts links until ctx ends, which closes all links, or until Drain or
// Close. Then it returns nil.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if !s.addListener(l) {
		l.Close()
		return ErrClosed
	}
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			if s.isClosing() {
				return nil
			}
			var temporary interface{ Temporary() bool }
			if errors.As(err, &temporary) && temporary.Temporary() {
				s.clock.Sleep(minBackoff) // for example, no file descriptors are left
				continue
			}
			return fmt.Errorf("accept links on %s: %w", l.Addr(), err)
		}
		s.startConnection(conn)
	}
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// startConnection serves a connection in a goroutine of its own.
func (s *Server) startConnection(conn net.Conn) {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		conn.Close()
		return
	}
	s.openConns[conn] = struct{}{}
	s.connections.Add(1)
	s.mu.Unlock()
	go func() {
		defer s.connections.Done()
		s.serveConnection(conn)
		conn.Close()
		s.mu.Lock()
		delete(s.openConns, conn)
		s.mu.Unlock()
	}()
}

func (s *Server) serveConnection(raw net.Conn) {
	conn, frames, hello, err := s.handshake(raw)
	if err != nil {
		s.counters.rejected.Add(1)
		return
	}
	e := newServerEndpoint(s)
	frames.limit = s.settings.MaxFrame
	peer, key := peerFromHello(hello, raw.RemoteAddr())
	c := newConnection(conn, peer, key, s.settings, &s.counters, s.scheduler, s.callHandler, s.sessions, e)
	e.connection = c
	s.counters.up.Add(1)
	s.sessions.add(c)
	if s.isClosing() {
		c.closeGracefully(byeDrained)
	}
	err = c.run(frames)
	c.countEnd(err)
	s.sessions.remove(c, err)
}

// handshake performs the handshake within DialTimeout.
func (s *Server) handshake(raw net.Conn) (net.Conn, *frameReader, beechwire.Hello, error) {
	select {
	case s.handshakeSlots <- struct{}{}:
	default:
		return nil, nil, beechwire.Hello{}, ErrBusy
	}
	defer func() { <-s.handshakeSlots }()
	timer := s.clock.AfterFunc(s.settings.DialTimeout, func() { raw.Close() })
	defer timer.Stop()
	conn := raw
	if s.tls != nil {
		secured := tls.Server(raw, s.tls)
		if err := secured.Handshake(); err != nil {
			return nil, nil, beechwire.Hello{}, err
		}
		conn = secured
	}
	frames := newFrameReader(conn, maxHelloBytes)
	hello, err := s.readClientHello(conn, frames)
	if err != nil {
		reject(conn, err)
		return nil, nil, hello, err
	}
	if err := sendHello(conn, s.self(), s.settings.Key); err != nil {
		return nil, nil, hello, err
	}
	if !timer.Stop() {
		return nil, nil, hello, errPeerTimeout
	}
	return conn, frames, hello, nil
}

func (s *Server) readClientHello(conn net.Conn, frames *frameReader) (beechwire.Hello, error) {
	if err := readPreamble(conn); err != nil {
		return beechwire.Hello{}, err
	}
	return readHello(frames, s.settings.Key)
}

// beginStream counts a new stream. It returns false if the server drains: then only streams may be
// attached again, as long as the server waits for them.
func (s *Server) beginStream(reattached bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || s.draining && !reattached {
		return false
	}
	s.streams++
	return true
}

func (s *Server) endStream() {
	s.mu.Lock()
	s.streams--
	s.mu.Unlock()
	select {
	case s.streamEnded <- struct{}{}:
	default:
	}
}

// noteLoss records that a connection with open streams was lost.
func (s *Server) noteLoss() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAt = s.clock.Now()
}

// Drain refuses new requests as not run, waits for the open streams, closes the
// links and returns nil. Streams whose connection was lost may be attached again
// within Settings.Rejoin: their peer may only have been silent for a moment. If
// ctx ends first, the remaining connections are cut and the error of ctx is
// returned.
func (s *Server) Drain(ctx context.Context) error {
	if !s.beginDrain() {
		return ErrClosed
	}
	defer s.closeAll()
	if err := s.waitForStreams(ctx); err != nil {
		return fmt.Errorf("drain links: %w", err)
	}
	for _, c := range s.sessions.allConnections() {
		c.closeGracefully(byeDrained)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.connections.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("close links: %w", ctx.Err())
	}
}

func (s *Server) beginDrain() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.draining = true
	return true
}

// waitForStreams returns when no stream is open or about to be attached again, and nothing more is
// accepted.
func (s *Server) waitForStreams(ctx context.Context) error {
	for {
		wait, done := s.closeIfIdle()
		if done {
			return nil
		}
		timer := s.clock.NewTimer(wait)
		select {
		case <-s.streamEnded:
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// closeIfIdle stops accepting if no stream is open or may be attached again. Otherwise it returns the
// time after which to look again.
func (s *Server) closeIfIdle() (wait time.Duration, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait = s.settings.Rejoin - s.clock.Since(s.lostAt)
	switch {
	case s.streams > 0:
		return max(wait, s.settings.Rejoin), false
	case wait > 0:
		return wait, false
	}
	s.stopAccepting()
	return 0, true
}

// stopAccepting closes the listeners. The caller holds the lock.
func (s *Server) stopAccepting() {
	s.closing = true
	for l := range s.listeners {
		l.Close()
	}
}

// Close cuts all links at once.
func (s *Server) Close() {
	s.beginDrain()
	s.closeAll()
}

func (s *Server) closeAll() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	s.stopAccepting()
	for conn := range s.openConns {
		conn.Close()
	}
	s.mu.Unlock()
	s.connections.Wait()
	s.scheduler.close()
	s.sessions.close()
}

// PushHeartbeat sends urgent changes of the heartbeat at once instead of in the
// next round: leaving, ready, generation, models, suspects.
func (s *Server) PushHeartbeat() { s.scheduler.runNow() }

// Peers returns the processes that are linked now.
func (s *Server) Peers() []Peer { return s.sessions.peers() }

// Counters returns the totals of all links.
func (s *Server) Counters() Counters { return s.counters.snapshot() }

// Call sends a call to an entry, as Client.Call does to an agent.
func (s *Server) Call(ctx context.Context, peer netip.AddrPort, method string, payload []byte) ([]byte, error) {
	c := s.sessions.connectionTo(peer)
	if c == nil {
		return nil, &OpenError{Peer: peer, Err: ErrDown}
	}
	return c.call(ctx, method, payload)
}
