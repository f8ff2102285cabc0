// Package beechaccept hands new connections to a server after the work that the process has already.
//
// # Purpose
//
// The Go scheduler runs goroutines that were just made before most others. A server that accepts
// connections as fast as they come therefore reads new requests first when the processor cannot keep
// up, and those that it serves, their departures included, last. Its memory and its descriptors
// fill up with requests that nobody waits for any more.
//
// # Algorithm
//
// Connections are accepted at once and wait here. What their callers send meanwhile is in the kernel, and
// bounded by closing those with the most of it. The server gets the next one only when everything
// else that is ready has run. So the wait of a connection is the time by which the process is behind,
// and it bounds what runs at a time to what the processor can do. A connection that has waited for
// longer than Settings.MaxWait is closed unread, and its caller may send its request elsewhere.
//
// # Usage
//
//	queue := beechaccept.Listen(listener, beechaccept.Settings{MaxWait: time.Second}, clock)
//	err := server.Serve(queue)
//	waited := queue.TakeWait() // of the connections since the last call
package beechaccept

import (
	"cmp"
	"errors"
	"net"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/link/beechsocket"
)

type (
	// Settings configure a queue.
	Settings struct {
		MaxWait    time.Duration // after which a connection is closed unread; 0: never
		MaxWaiting int           // connections that wait here, more wait in the kernel; 0: DefaultMaxWaiting
		MaxUnread  int           // bytes that the kernel holds for those that wait here; 0: no bound
		TurnsAway  func() bool   // whether a new connection is closed unread; may be nil
		TurnedAway func()        // called for each connection that was closed unread; may be nil
	}

	// Queue is a listener. It is safe for concurrent use.
	Queue struct {
		net.Listener
		settings Settings
		clock    clockwork.Clock
		ready    chan struct{} // signals that waiting or err has changed
		room     chan struct{} // signals that connections were taken out

		mu      sync.Mutex
		waiting []waitingConn // the oldest is first
		err     error         // of the listener, for the next call of Accept
		checked int           // connections that have come or gone since the unread bytes were counted
		closed  bool
		ended   bool          // no connection will be added to waiting
		minWait time.Duration // of the connections taken out since the last TakeWait
		taken   bool          // there are any
	}

	waitingConn struct {
		net.Conn
		since time.Time
	}
)

const (
	// DefaultMaxWaiting bounds the descriptors that waiting connections hold.
	DefaultMaxWaiting = 512
	// checkInterval is the number of connections that come or go between two counts of unread bytes.
	checkInterval = 32
	// retryDelay follows a temporary error of the listener, such as a lack of descriptors.
	retryDelay = 5 * time.Millisecond
	// sliceTime is how long connections are accepted or turned away before other work runs.
	sliceTime = time.Millisecond
)

// Listen returns a queue in front of a listener.
func Listen(l net.Listener, s Settings, clock clockwork.Clock) *Queue {
	if s.MaxWaiting == 0 {
		s.MaxWaiting = DefaultMaxWaiting
	}
	q := &Queue{Listener: l, settings: s, clock: clock, ready: make(chan struct{}, 1), room: make(chan struct{}, 1)}
	go func() {
		for began := clock.Now(); q.acceptNext(); {
			if clock.Since(began) > sliceTime {
				runtime.Gosched()
				began = clock.Now()
			}
		}
	}()
	return q
}

// acceptNext accepts a connection. It returns false when the listener has failed for good.
func (q *Queue) acceptNext() bool {
	q.awaitRoom()
	c, err := q.Listener.Accept()
	if err != nil {
		var temporary interface{ Temporary() bool }
		last := !errors.As(err, &temporary) || !temporary.Temporary()
		q.mu.Lock()
		q.err, q.ended = err, last
		q.mu.Unlock()
		notify(q.ready)
		if !last {
			q.clock.Sleep(retryDelay)
		}
		return !last
	}
	if q.settings.TurnsAway != nil && q.settings.TurnsAway() {
		q.turnAway(c)
		return true
	}
	q.mu.Lock()
	q.waiting = append(q.waiting, waitingConn{Conn: c, since: q.clock.Now()})
	q.boundUnread(1)
	q.mu.Unlock()
	notify(q.ready)
	return true
}

// boundUnread closes the connections with the most unread bytes if those of all are too many. Once
// connections have come or gone it looks at each checkInterval-th only.
func (q *Queue) boundUnread(moved int) {
	q.checked += moved
	if q.settings.MaxUnread == 0 || q.checked < checkInterval {
		return
	}
	q.checked = 0
	sizes, total := make(map[net.Conn]int, len(q.waiting)), 0
	for _, c := range q.waiting {
		sizes[c.Conn] = beechsocket.Unread(c.Conn)
		total += sizes[c.Conn]
	}
	if total <= q.settings.MaxUnread {
		return
	}
	largest := slices.SortedFunc(slices.Values(q.waiting), func(x, y waitingConn) int { return cmp.Compare(sizes[y.Conn], sizes[x.Conn]) })
	gone := make(map[net.Conn]bool)
	for _, c := range largest {
		if total <= q.settings.MaxUnread/2 {
			break
		}
		total -= sizes[c.Conn]
		gone[c.Conn] = true
		q.turnAway(c.Conn)
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(c waitingConn) bool { return gone[c.Conn] })
}

// awaitRoom waits until fewer than MaxWaiting connections wait.
func (q *Queue) awaitRoom() {
	for {
		q.mu.Lock()
		full := len(q.waiting) >= q.settings.MaxWaiting && !q.closed
		if full {
			q.boundUnread(checkInterval)
			full = len(q.waiting) >= q.settings.MaxWaiting
		}
		q.mu.Unlock()
		if !full {
			return
		}
		<-q.room
	}
}

// Accept returns the next connection once all other work that is ready has run.
func (q *Queue) Accept() (net.Conn, error) {
	for {
		<-q.ready
		runtime.Gosched()
		c, err := q.next()
		if c != nil || err != nil {
			return c, err
		}
	}
}

// next returns the oldest connection that has not waited for too long, or the listener's error, or
// neither.
func (q *Queue) next() (net.Conn, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	defer notify(q.room)
	now := q.clock.Now()
	for len(q.waiting) > 0 {
		c := q.waiting[0]
		q.waiting[0] = waitingConn{}
		q.waiting = q.waiting[1:]
		q.boundUnread(1)
		waited := now.Sub(c.since)
		if !q.taken || waited < q.minWait {
			q.minWait, q.taken = waited, true
		}
		if q.settings.MaxWait > 0 && waited > q.settings.MaxWait {
			q.turnAway(c.Conn)
			continue
		}
		if len(q.waiting) > 0 || q.err != nil || q.closed {
			notify(q.ready)
		}
		return c.Conn, nil
	}
	err := q.err
	q.err = nil
	if q.closed && q.ended {
		err, q.err = net.ErrClosed, net.ErrClosed
		notify(q.ready)
	}
	return nil, err
}

// TakeWait returns the shortest wait of the connections that were taken out since the last call, or
// what the oldest has waited if none was. It is 0 if there are no connections. The shortest, unlike
// the mean, is long only if the process is behind all the time.
func (q *Queue) TakeWait() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	wait := q.minWait
	if !q.taken && len(q.waiting) > 0 {
		wait = q.clock.Since(q.waiting[0].since)
	}
	q.minWait, q.taken = 0, false
	return wait
}

// Close closes the listener. The connections that wait are returned by Accept before its error, as
// their callers may have sent requests.
func (q *Queue) Close() error {
	err := q.Listener.Close()
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	notify(q.room)
	notify(q.ready)
	return err
}

func (q *Queue) turnAway(c net.Conn) {
	if q.settings.TurnedAway != nil {
		q.settings.TurnedAway()
	}
	_ = c.Close()
}

func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
