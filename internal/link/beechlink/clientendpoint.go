package beechlink

import (
	"fmt"
	"sync"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
)

type (
	// clientEndpoint is the entry's side of a connection: its streams.
	clientEndpoint struct {
		connection *connection

		// openMu is held from the assignment of a stream's id until its first
		// message is queued. The agent accepts only ascending ids, so it would
		// end the connection if two callers queued their messages in another
		// order than their ids.
		openMu sync.Mutex

		mu          sync.Mutex
		openStreams map[uint64]*clientStream
		lastID      uint64
		closing     bool // no more streams are opened on this connection
		extra       bool // opened for a burst and closed after it
		lastUsed    time.Time
		err         error
	}
)

func newClientEndpoint() *clientEndpoint {
	return &clientEndpoint{openStreams: map[uint64]*clientStream{}}
}

func (e *clientEndpoint) streamCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.openStreams)
}

// usable reports whether streams can still be opened on the connection.
func (e *clientEndpoint) usable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.err == nil && !e.closing && e.connection.out.accepts()
}

// add assigns an id to a stream and adds it to the open streams.
func (e *clientEndpoint) add(s *clientStream) (*clientStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.err != nil {
		return nil, e.err
	}
	if e.closing {
		return nil, ErrDown
	}
	if len(e.openStreams) >= e.connection.settings.MaxStreams {
		return nil, ErrBusy
	}
	e.lastID++
	s.endpoint = e
	s.id = e.lastID
	s.credit = e.connection.settings.Credit
	s.wake = make(chan struct{}, 1)
	if s.requestID != "" && s.attempt != 0 {
		s.tag = beechwire.Tag(s.requestID, s.attempt)
	}
	e.openStreams[s.id] = s
	return s, nil
}

func (e *clientEndpoint) open(r *beechwire.Request, body []byte) (*clientStream, error) {
	e.openMu.Lock()
	defer e.openMu.Unlock()
	s, err := e.add(&clientStream{requestID: r.ID, attempt: r.Attempt, nextSequence: r.ResumeSequence + 1})
	if err != nil {
		return nil, err
	}
	m := beechwire.Open{Stream: s.id, Credit: s.credit, Request: *r}
	m.Request.BodyBytes = len(body)
	if len(body) == 0 {
		err = e.connection.out.send(kindOpen, &m)
	} else {
		err = e.connection.out.sendWithTransfer(kindOpen, &m, &transfer{kind: kindBody, id: s.id, remaining: body})
	}
	if err != nil {
		e.remove(s.id)
		return nil, err
	}
	e.connection.counters.opened.Add(1)
	return s, nil
}

func (e *clientEndpoint) reattach(r beechwire.Reattach) (*clientStream, error) {
	e.openMu.Lock()
	defer e.openMu.Unlock()
	s, err := e.add(&clientStream{requestID: r.RequestID, nextSequence: r.After + 1, reattached: true})
	if err != nil {
		return nil, err
	}
	r.Stream = s.id
	r.Credit = s.credit
	if err := e.connection.out.send(kindReattach, &r); err != nil {
		e.remove(s.id)
		return nil, err
	}
	e.connection.counters.reattached.Add(1)
	return s, nil
}

func (e *clientEndpoint) find(id uint64) *clientStream {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.openStreams[id]
	if s == nil {
		e.connection.counters.late.Add(1)
	}
	return s
}

func (e *clientEndpoint) remove(id uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.openStreams, id)
}

func (e *clientEndpoint) cancel(id uint64, detached bool) {
	e.remove(id)
	e.connection.out.cancelTransfer(kindBody, id)
	// On an error the connection is lost, which ends the stream too.
	_ = e.connection.out.send(kindCancel, &beechwire.Cancel{Stream: id, Detached: detached})
}

func (e *clientEndpoint) receive(_ *connection, k kind, body []byte) error {
	switch k {
	case kindHead:
		var m beechwire.Head
		if _, err := m.UnmarshalMsg(body); err != nil {
			return malformed(err)
		}
		if s := e.find(m.Stream); s != nil {
			s.receiveHead(&m)
		}
		return nil
	case kindData:
		var m beechwire.Data
		if _, err := m.UnmarshalMsg(body); err != nil {
			return malformed(err)
		}
		if s := e.find(m.Stream); s != nil {
			e.finishStream(s, false, s.receiveData(&m))
		}
		return nil
	case kindEnd, kindRefused, kindFailed:
		return e.receiveFinal(k, body)
	default:
		return &FrameError{Problem: fmt.Sprintf("frame type %d is not valid from an agent", k)}
	}
}

func (e *clientEndpoint) receiveFinal(k kind, body []byte) error {
	switch k {
	case kindEnd:
		var m beechwire.End
		if _, err := m.UnmarshalMsg(body); err != nil {
			return malformed(err)
		}
		e.receiveFinalReply(m.Stream, EndReply{End: m}, m.RequestID, m.Attempt, &m.Last)
	case kindRefused:
		var m beechwire.Refused
		if _, err := m.UnmarshalMsg(body); err != nil {
			return malformed(err)
		}
		e.receiveFinalReply(m.Stream, RefusedReply{Refused: m}, m.RequestID, m.Attempt, nil)
	default:
		var m beechwire.Failed
		if _, err := m.UnmarshalMsg(body); err != nil {
			return malformed(err)
		}
		e.receiveFinalReply(m.Stream, FailedReply{Failed: m}, m.RequestID, m.Attempt, nil)
	}
	return nil
}

func (e *clientEndpoint) receiveFinalReply(id uint64, r Reply, requestID string, attempt int, last *uint64) {
	s := e.find(id)
	if s == nil {
		return
	}
	taken, err := s.receiveFinal(r, requestID, attempt, last)
	e.finishStream(s, taken, err)
}

// finishStream removes a stream that has ended. A stream with an error is
// cancelled at the agent, since the rest of it cannot be delivered; the agent
// keeps the generation for its grace time.
func (e *clientEndpoint) finishStream(s *clientStream, closed bool, err error) {
	if err != nil {
		s.fail(err)
		e.cancel(s.id, true)
		return
	}
	if closed {
		e.remove(s.id)
		e.connection.out.cancelTransfer(kindBody, s.id)
	}
}

func (e *clientEndpoint) connectionLost(c *connection, err error) {
	e.mu.Lock()
	e.err = err
	table := e.openStreams
	e.openStreams = map[uint64]*clientStream{}
	e.mu.Unlock()
	for _, s := range table {
		s.fail(&LostError{Peer: c.peer.Address, Err: err})
	}
}

// checkIdle closes an extra connection that had no work for extraIdleTimeout.
func (e *clientEndpoint) checkIdle(c *connection, now time.Time) {
	if !e.extra {
		return
	}
	busy := c.busy()
	e.mu.Lock()
	if busy || e.lastUsed.IsZero() {
		e.lastUsed = now
	}
	expired := now.Sub(e.lastUsed) >= extraIdleTimeout && len(e.openStreams) == 0 && !e.closing
	e.closing = e.closing || expired
	e.mu.Unlock()
	if expired {
		c.sendBye(byeClosed)
	}
}

// receiveBye ends the connection. A drained agent has sent a final reply on
// every stream that it admitted, so the streams still open were never admitted.
// They end as refused, which may be retried, and not as lost, which may not.
// For a reattached stream this does not tell whether its request ran.
func (e *clientEndpoint) receiveBye(c *connection, reason string) {
	e.mu.Lock()
	e.closing = true
	table := e.openStreams
	if reason == byeDrained {
		e.openStreams = map[uint64]*clientStream{}
	}
	e.mu.Unlock()
	if reason == byeDrained {
		for _, s := range table {
			s.refuseDraining()
		}
	}
	c.out.finish()
}

func (s *clientStream) refuseDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.enqueue(notAdmittedReply(s.id, s.requestID, s.attempt, s.reattached, beechwire.ReasonLeaving, drainingMessage))
	s.closed = true
}
