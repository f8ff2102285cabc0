package beechlink

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"

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
		draining    bool
		drained     chan struct{} // closed when the server drains and no stream is left
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
		drained:        make(chan struct{}),
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
			if s.isDraining() {
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
	if s.draining {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// startConnection serves a connection in a goroutine of its own.
func (s *Server) startConnection(conn net.Conn) {
	s.mu.Lock()
	if s.draining {
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
	if s.isDraining() {
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

// beginStream counts a new stream. It returns false if the server drains.
func (s *Server) beginStream() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.streams++
	return true
}

func (s *Server) endStream() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams--
	if s.draining && s.streams == 0 {
		close(s.drained)
	}
}

// Drain refuses new streams as not run, waits for the open ones, closes the
// links and returns nil. If ctx ends first, the remaining connections are cut
// and the error of ctx is returned.
func (s *Server) Drain(ctx context.Context) error {
	if !s.beginDrain() {
		return ErrClosed
	}
	defer s.closeAll()
	select {
	case <-s.drained:
	case <-ctx.Done():
		return fmt.Errorf("drain links: %w", ctx.Err())
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
	if s.streams == 0 {
		close(s.drained)
	}
	for l := range s.listeners {
		l.Close()
	}
	return true
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
