package beechlink

import (
	"fmt"
	"sync"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
)

type (
	// clientEnd is the entry's part of a connection: its streams.
	clientEnd struct {
		c *connection

		// opening is held from the choice of a stream's id until its first
		// message is queued. The agent takes only ascending ids; two callers
		// that overtook one another here would have it end the connection.
		opening sync.Mutex

		mu      sync.Mutex
		table   map[uint64]*clientStream
		last    uint64
		leaving bool // no more streams are opened here
		spare   bool // opened for a burst, and closed after it
		used    time.Time
		err     error
	}
)

func newClientEnd() *clientEnd {
	return &clientEnd{table: map[uint64]*clientStream{}}
}

func (e *clientEnd) streams() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.table)
}

// usable tells whether the connection takes a further stream.
func (e *clientEnd) usable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.err == nil && !e.leaving
}

// add gives a stream its id and takes it into the table.
func (e *clientEnd) add(s *clientStream) (*clientStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.err != nil {
		return nil, e.err
	}
	if e.leaving {
		return nil, ErrDown
	}
	if len(e.table) >= e.c.settings.MaxStreams {
		return nil, ErrBusy
	}
	e.last++
	s.end = e
	s.id = e.last
	s.credit = e.c.settings.Credit
	s.wake = make(chan struct{}, 1)
	if s.requestID != "" && s.attempt != 0 {
		s.tag = beechwire.Tag(s.requestID, s.attempt)
	}
	e.table[s.id] = s
	return s, nil
}

func (e *clientEnd) open(r *beechwire.Request, body []byte) (*clientStream, error) {
	e.opening.Lock()
	defer e.opening.Unlock()
	s, err := e.add(&clientStream{requestID: r.ID, attempt: r.Attempt, next: r.ResumeSequence + 1})
	if err != nil {
		return nil, err
	}
	m := beechwire.Open{Stream: s.id, Credit: s.credit, Request: *r}
	m.Request.BodyBytes = len(body)
	if len(body) == 0 {
		err = e.c.out.send(kindOpen, &m)
	} else {
		err = e.c.out.sendWith(kindOpen, &m, &transfer{kind: kindBody, id: s.id, rest: body})
	}
	if err != nil {
		e.remove(s.id)
		return nil, err
	}
	e.c.counters.opened.Add(1)
	return s, nil
}

func (e *clientEnd) reattach(r beechwire.Reattach) (*clientStream, error) {
	e.opening.Lock()
	defer e.opening.Unlock()
	s, err := e.add(&clientStream{requestID: r.RequestID, next: r.After + 1, joins: true})
	if err != nil {
		return nil, err
	}
	r.Stream = s.id
	r.Credit = s.credit
	if err := e.c.out.send(kindReattach, &r); err != nil {
		e.remove(s.id)
		return nil, err
	}
	e.c.counters.reattached.Add(1)
	return s, nil
}

func (e *clientEnd) find(id uint64) *clientStream {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.table[id]
	if s == nil {
		e.c.counters.late.Add(1)
	}
	return s
}

func (e *clientEnd) remove(id uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.table, id)
}

func (e *clientEnd) cancel(id uint64, detached bool) {
	e.remove(id)
	e.c.out.stop(kindBody, id)
	// An error means that the connection is lost, which ends the stream too.
	_ = e.c.out.send(kindCancel, &beechwire.Cancel{Stream: id, Detached: detached})
}

func (e *clientEnd) receive(_ *connection, k kind, body []byte) error {
	switch k {
	case kindHead:
		var m beechwire.Head
		if _, err := m.UnmarshalMsg(body); err != nil {
			return malformed(err)
		}
		if s := e.find(m.Stream); s != nil {
			s.head(&m)
		}
		return nil
	case kindData:
		var m beechwire.Data
		if _, err := m.UnmarshalMsg(body); err != nil {
			return malformed(err)
		}
		if s := e.find(m.Stream); s != nil {
			e.settle(s, false, s.data(&m))
		}
		return nil
	case kindEnd, kindRefused, kindFailed:
		return e.receiveLast(k, body)
	default:
		return &FrameError{Problem: fmt.Sprintf("type %d is not for an entry", k)}
	}
}

func (e *clientEnd) receiveLast(k kind, body []byte) error {
	switch k {
	case kindEnd:
		var m beechwire.End
		if _, err := m.UnmarshalMsg(body); err != nil {
			return malformed(err)
		}
		e.close(m.Stream, EndReply{End: m}, m.RequestID, m.Attempt, &m.Last)
	case kindRefused:
		var m beechwire.Refused
		if _, err := m.UnmarshalMsg(body); err != nil {
			return malformed(err)
		}
		e.close(m.Stream, RefusedReply{Refused: m}, m.RequestID, m.Attempt, nil)
	default:
		var m beechwire.Failed
		if _, err := m.UnmarshalMsg(body); err != nil {
			return malformed(err)
		}
		e.close(m.Stream, FailedReply{Failed: m}, m.RequestID, m.Attempt, nil)
	}
	return nil
}

func (e *clientEnd) close(id uint64, r Reply, requestID string, attempt int, last *uint64) {
	s := e.find(id)
	if s == nil {
		return
	}
	taken, err := s.last(r, requestID, attempt, last)
	e.settle(s, taken, err)
}

// settle forgets a stream that is over; one with an error is cancelled at the
// agent, since its rest cannot be delivered.
func (e *clientEnd) settle(s *clientStream, over bool, err error) {
	if err != nil {
		s.fail(err)
		e.cancel(s.id, true)
		return
	}
	if over {
		e.remove(s.id)
		e.c.out.stop(kindBody, s.id)
	}
}

func (e *clientEnd) lost(c *connection, err error) {
	e.mu.Lock()
	e.err = err
	table := e.table
	e.table = map[uint64]*clientStream{}
	e.mu.Unlock()
	for _, s := range table {
		s.fail(&LostError{Peer: c.peer.Address, Err: err})
	}
}

// rest closes a spare connection that had no work for spareTime.
func (e *clientEnd) rest(c *connection, now time.Time) {
	if !e.spare {
		return
	}
	busy := c.busy()
	e.mu.Lock()
	if busy || e.used.IsZero() {
		e.used = now
	}
	resting := now.Sub(e.used) >= spareTime && len(e.table) == 0 && !e.leaving
	e.leaving = e.leaving || resting
	e.mu.Unlock()
	if resting {
		c.finish(byeClosed)
	}
}

// bye ends the connection. An agent that drained has closed every stream that
// it took with a last reply, so those still open were never taken: they are
// refused, which is true, in place of a loss that could not be retried. Of a
// request that was to be joined it says nothing.
func (e *clientEnd) bye(c *connection, reason string) {
	e.mu.Lock()
	e.leaving = true
	table := e.table
	if reason == byeDrained {
		e.table = map[uint64]*clientStream{}
	}
	e.mu.Unlock()
	if reason == byeDrained {
		for _, s := range table {
			s.refuseLeaving()
		}
	}
	c.out.finish()
}

func (s *clientStream) refuseLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return
	}
	s.push(notTaken(s.id, s.requestID, s.attempt, s.joins, beechwire.ReasonLeaving, leavingMessage))
	s.over = true
}
