package beechlink

import (
	"net/netip"
	"slices"
	"sync"

	"github.com/beechring/beechring/internal/link/beechwire"
)

type (
	// roster groups connections by the process at their other end and tells
	// the owner of each process once, whatever its number of connections. One
	// goroutine tells, so that an owner may call back into the link.
	sessionTable struct {
		mu      sync.Mutex
		byKey   map[sessionKey]*session
		queue   []event
		wake    chan struct{}
		stop    chan struct{}
		stopped chan struct{}
		events  Events
	}

	// sessionKey names a process; address is zero for one that gave none.
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
	r := &sessionTable{
		byKey:   map[sessionKey]*session{},
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
		events:  events,
	}
	go func() {
		defer close(r.stopped)
		for {
			select {
			case <-r.wake:
				r.deliver()
			case <-r.stop:
				r.deliver()
				return
			}
		}
	}()
	return r
}

// close returns once the owner was told of everything.
func (r *sessionTable) close() {
	close(r.stop)
	<-r.stopped
}

func (r *sessionTable) deliver() {
	r.mu.Lock()
	events := r.queue
	r.queue = nil
	r.mu.Unlock()
	for _, e := range events {
		switch e := e.(type) {
		case upEvent:
			r.events.Up(e.peer)
		case downEvent:
			r.events.Down(e.peer, e.err)
		case heartbeatEvent:
			r.events.Heartbeat(e.peer, e.heartbeat)
		}
	}
}

func (r *sessionTable) enqueue(e event) {
	r.queue = append(r.queue, e)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *sessionTable) add(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byKey[c.key]
	if s == nil {
		s = &session{key: c.key, peer: c.peer}
		r.byKey[c.key] = s
		r.enqueue(upEvent{peer: c.peer})
	}
	s.connections = append(s.connections, c)
}

func (r *sessionTable) remove(c *connection, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byKey[c.key]
	if s == nil {
		return
	}
	i := slices.Index(s.connections, c)
	if i < 0 {
		return
	}
	s.connections = slices.Delete(s.connections, i, i+1)
	if len(s.connections) == 0 {
		r.endLocked(s, err)
	}
}

func (r *sessionTable) endLocked(s *session, err error) {
	delete(r.byKey, s.key)
	r.enqueue(downEvent{peer: s.peer, err: err})
}

// retire ends all sessions of earlier incarnations at c's address and returns
// their connections. A process that was replaced could otherwise keep its old
// connections half open, and be taken for alive, until its deadline.
func (r *sessionTable) removeOtherIncarnations(c *connection, err error) []*connection {
	r.mu.Lock()
	defer r.mu.Unlock()
	var old []*connection
	for key, s := range r.byKey {
		if key.address == c.key.address && key.incarnation != c.key.incarnation {
			old = append(old, s.connections...)
			r.endLocked(s, err)
		}
	}
	return old
}

// siblings are the other connections to c's process.
func (r *sessionTable) otherConnections(c *connection) []*connection {
	r.mu.Lock()
	defer r.mu.Unlock()
	var others []*connection
	if s := r.byKey[c.key]; s != nil {
		for _, other := range s.connections {
			if other != c {
				others = append(others, other)
			}
		}
	}
	return others
}

func (r *sessionTable) enqueueHeartbeat(c *connection, h beechwire.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byKey[c.key]
	if s == nil {
		return
	}
	s.peer.Generation = max(s.peer.Generation, h.Generation)
	r.enqueue(heartbeatEvent{peer: s.peer, heartbeat: h})
}

func (r *sessionTable) peers() []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Peer, 0, len(r.byKey))
	for _, s := range r.byKey {
		all = append(all, s.peer)
	}
	return all
}

// connection returns one of a peer's, nil if there is none.
func (r *sessionTable) connectionTo(address netip.AddrPort) *connection {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.byKey {
		if s.peer.Address == address && len(s.connections) > 0 {
			return s.connections[0]
		}
	}
	return nil
}

func (r *sessionTable) allConnections() []*connection {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*connection
	for _, s := range r.byKey {
		all = append(all, s.connections...)
	}
	return all
}
