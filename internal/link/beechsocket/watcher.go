package beechsocket

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

type (
	// Watcher notices when callers close their connections, whoever reads from these and
	// whatever the callers have sent before. Its delay is bounded also while the process is
	// behind with its work. It is safe for concurrent use.
	Watcher struct {
		clock clockwork.Clock
		epoll int
		delay func(time.Duration)

		mu      sync.Mutex
		closed  bool
		last    uint64
		watched map[uint64]*watchedConn
	}

	watchedListener struct {
		net.Listener
		watcher *Watcher
	}

	// watchedConn is a caller's connection.
	watchedConn struct {
		net.Conn
		watcher *Watcher
		token   uint64 // 0: not watched

		mu        sync.Mutex
		cancel    context.CancelFunc
		departed  bool
		last      uint64
		callbacks map[uint64]func()
	}

	// netConner is a connection on top of another one, such as *tls.Conn.
	netConner interface{ NetConn() net.Conn }
)

const (
	// pollInterval bounds the time until a departure is noticed. The runtime runs expired timers
	// before other work, whereas goroutines that wait for the network come last.
	pollInterval = 100 * time.Millisecond
	maxEvents    = 256 // of one system call
)

// NewWatcher returns a watcher, which works once Run is called.
func NewWatcher(clock clockwork.Clock) (*Watcher, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("create epoll instance: %w", err)
	}
	return &Watcher{clock: clock, epoll: epoll, delay: func(time.Duration) {}, watched: make(map[uint64]*watchedConn)}, nil
}

// Listen returns a listener whose connections are watched.
func (w *Watcher) Listen(l net.Listener) net.Listener {
	return watchedListener{Listener: l, watcher: w}
}

// Observe has a function called with the delay of each poll, which adds to the time until a departure
// is noticed. It must be called before Run.
func (w *Watcher) Observe(delay func(time.Duration)) { w.delay = delay }

// Run notices departures until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	last := w.clock.Now()
	ticker := w.clock.NewTicker(pollInterval)
	defer ticker.Stop()
	events := make([]unix.EpollEvent, maxEvents)
	for {
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
		now := w.clock.Now()
		w.delay(max(now.Sub(last)-pollInterval, 0))
		last = now
		if err := w.poll(events); err != nil {
			return fmt.Errorf("wait for departures: %w", err)
		}
	}
}

// Close releases the watcher. Connections that are still open are no longer watched.
func (w *Watcher) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil
	}
	w.closed = true
	return unix.Close(w.epoll)
}

// poll handles the departures since the last call.
func (w *Watcher) poll(events []unix.EpollEvent) error {
	for {
		n, err := w.wait(events)
		if err != nil {
			return err
		}
		for _, e := range events[:n] {
			w.mu.Lock()
			c := w.watched[token(e)]
			w.mu.Unlock()
			if c != nil {
				c.depart()
			}
		}
		if n < len(events) {
			return nil
		}
	}
}

// wait returns the number of events at hand. It does not block.
func (w *Watcher) wait(events []unix.EpollEvent) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.watched) == 0 {
		return 0, nil
	}
	n, err := unix.EpollWait(w.epoll, events, 0)
	if errors.Is(err, unix.EINTR) {
		return 0, nil
	}
	return n, err
}

// add begins to watch a connection. It is edge-triggered, so that each departure is told once.
func (w *Watcher) add(c *watchedConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return net.ErrClosed
	}
	w.last++
	event := newEvent(w.last)
	addErr := error(nil)
	err = raw.Control(func(fd uintptr) { addErr = unix.EpollCtl(w.epoll, unix.EPOLL_CTL_ADD, int(fd), &event) })
	if err := errors.Join(err, addErr); err != nil {
		return err
	}
	c.token = w.last
	w.watched[c.token] = c
	return nil
}

// newEvent returns an event with a token. The kernel hands back eight bytes of user data, which
// this type splits into two fields.
func newEvent(token uint64) unix.EpollEvent {
	return unix.EpollEvent{Events: unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR | unix.EPOLLET, Fd: int32(uint32(token)), Pad: int32(uint32(token >> 32))}
}

func token(e unix.EpollEvent) uint64 { return uint64(uint32(e.Fd)) | uint64(uint32(e.Pad))<<32 }

// Accept returns the next connection. One that cannot be watched is returned all the same: its
// departure is then told by net/http alone.
func (l watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	watched := &watchedConn{Conn: c, watcher: l.watcher, callbacks: make(map[uint64]func())}
	_ = l.watcher.add(watched)
	return watched, nil
}

// SyscallConn implements syscall.Conn.
func (c *watchedConn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Close closes the connection, which ends the watch.
func (c *watchedConn) Close() error {
	w := c.watcher
	w.mu.Lock()
	delete(w.watched, c.token)
	w.mu.Unlock()
	err := c.Conn.Close() // removes it from the epoll set
	c.mu.Lock()
	cancel := c.cancel
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	return err
}

// context returns a context that ends when the caller departs.
func (c *watchedConn) context(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	c.cancel = cancel
	departed := c.departed
	c.mu.Unlock()
	if departed {
		cancel()
	}
	return ctx
}

// depart calls the callbacks and ends the connection's context. The callbacks run here rather than
// in goroutines of their own, which would wait for the processor like any other.
func (c *watchedConn) depart() {
	c.mu.Lock()
	c.departed = true
	callbacks, cancel := c.callbacks, c.cancel
	c.callbacks = make(map[uint64]func())
	c.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
	if cancel != nil {
		cancel()
	}
}

func (c *watchedConn) hasDeparted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.departed
}

// afterDeparture registers a callback; stop removes it.
func (c *watchedConn) afterDeparture(f func()) (stop func() bool) {
	c.mu.Lock()
	if c.departed {
		c.mu.Unlock()
		f()
		return func() bool { return false }
	}
	c.last++
	key := c.last
	c.callbacks[key] = f
	c.mu.Unlock()
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		_, pending := c.callbacks[key]
		delete(c.callbacks, key)
		return pending
	}
}

// findWatched returns the watched connection below c, or nil.
func findWatched(c net.Conn) *watchedConn {
	for c != nil {
		if watched, ok := c.(*watchedConn); ok {
			return watched
		}
		inner, ok := c.(netConner)
		if !ok {
			return nil
		}
		c = inner.NetConn()
	}
	return nil
}

// AfterDeparture calls f once the caller of a request departs, at once if it has departed already.
// Unlike a function registered by context.AfterFunc, f is not delayed while the process is behind
// with its work; it must return soon. Connections that are not watched never call it. Stop prevents
// the call, and returns false if f was called before.
func AfterDeparture(ctx context.Context, f func()) (stop func() bool) {
	if c, ok := ctx.Value(contextKey{}).(net.Conn); ok {
		if watched := findWatched(c); watched != nil {
			return watched.afterDeparture(f)
		}
	}
	return func() bool { return true }
}
