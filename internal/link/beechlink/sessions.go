package beechlink

import (
	"net/netip"
	"slices"
	"sync"

	"github.com/beechring/beechring/internal/link/beechwire"
)

type (
	// sessionTable groups connections by the process at their other end, and
	// reports each process to Events once, whatever the number of its
	// connections. Events are delivered by a goroutine of its own, so that
	// their methods may call back into the link.
	sessionTable struct {
		mu      sync.Mutex
		byKey   map[sessionKey]*session
		queue   []event
		wake    chan struct{}
		stop    chan struct{}
		stopped chan struct{}
		events  Events
	}

	// sessionKey identifies a process. Address is zero if the process gave
	// none.
	sessionKey struct {
		address     netip.AddrPort
		incarnation uint64
	}

	session struct {
		key         sessionKey
		peer        Peer
		connections []*connection
	}

	// event is upEvent, downEvent or heartbeatEvent.
	event interface{ event() }

	upEvent struct{ peer Peer }

	downEvent struct {
		peer Peer
		err  error
	}

	heartbeatEvent struct {
		peer      Peer
		heartbeat beechwire.Heartbeat
	}
)

func (upEvent) event()        {}
func (downEvent) event()      {}
func (heartbeatEvent) event() {}

func newSessionTable(events Events) *sessionTable {
	t := &sessionTable{
		byKey:   map[sessionKey]*session{},
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
		events:  events,
	}
	go func() {
		defer close(t.stopped)
		for {
			select {
			case <-t.wake:
				t.deliver()
			case <-t.stop:
				t.deliver()
				return
			}
		}
	}()
	return t
}

// close returns once all events were delivered.
func (t *sessionTable) close() {
	close(t.stop)
	<-t.stopped
}

func (t *sessionTable) deliver() {
	t.mu.Lock()
	events := t.queue
	t.queue = nil
	t.mu.Unlock()
	for _, e := range events {
		switch e := e.(type) {
		case upEvent:
			t.events.Up(e.peer)
		case downEvent:
			t.events.Down(e.peer, e.err)
		case heartbeatEvent:
			t.events.Heartbeat(e.peer, e.heartbeat)
		}
	}
}

func (t *sessionTable) enqueue(e event) {
	t.queue = append(t.queue, e)
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *sessionTable) add(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byKey[c.key]
	if s == nil {
		s = &session{key: c.key, peer: c.peer}
		t.byKey[c.key] = s
		t.enqueue(upEvent{peer: c.peer})
	}
	s.connections = append(s.connections, c)
}

func (t *sessionTable) remove(c *connection, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byKey[c.key]
	if s == nil {
		return
	}
	i := slices.Index(s.connections, c)
	if i < 0 {
		return
	}
	s.connections = slices.Delete(s.connections, i, i+1)
	if len(s.connections) == 0 {
		t.endLocked(s, err)
	}
}

func (t *sessionTable) endLocked(s *session, err error) {
	delete(t.byKey, s.key)
	t.enqueue(downEvent{peer: s.peer, err: err})
}

// removeOtherIncarnations ends all sessions of other incarnations at c's
// address and returns their connections. The old connections of a replaced
// process could otherwise stay half open, and the process be considered alive,
// until its deadline.
func (t *sessionTable) removeOtherIncarnations(c *connection, err error) []*connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	var old []*connection
	for key, s := range t.byKey {
		if key.address == c.key.address && key.incarnation != c.key.incarnation {
			old = append(old, s.connections...)
			t.endLocked(s, err)
		}
	}
	return old
}

// otherConnections returns the other connections to c's process.
func (t *sessionTable) otherConnections(c *connection) []*connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	var others []*connection
	if s := t.byKey[c.key]; s != nil {
		for _, other := range s.connections {
			if other != c {
				others = append(others, other)
			}
		}
	}
	return others
}

func (t *sessionTable) enqueueHeartbeat(c *connection, h beechwire.Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byKey[c.key]
	if s == nil {
		return
	}
	s.peer.Generation = max(s.peer.Generation, h.Generation)
	t.enqueue(heartbeatEvent{peer: s.peer, heartbeat: h})
}

func (t *sessionTable) peers() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Peer, 0, len(t.byKey))
	for _, s := range t.byKey {
		all = append(all, s.peer)
	}
	return all
}

// connectionTo returns a connection to the peer, or nil if there is none.
func (t *sessionTable) connectionTo(address netip.AddrPort) *connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.byKey {
		if s.peer.Address == address && len(s.connections) > 0 {
			return s.connections[0]
		}
	}
	return nil
}

func (t *sessionTable) allConnections() []*connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*connection
	for _, s := range t.byKey {
		all = append(all, s.connections...)
	}
	return all
}
