package beechlink

import (
	"context"
	"io"
	"sync"

	"github.com/beechring/beechring/internal/link/beechwire"
)

type (
	// clientStream is the entry's side of a stream.
	clientStream struct {
		endpoint   *clientEndpoint
		id         uint64
		requestID  string // empty until the first reply if a Reattach does not know it
		attempt    int    // 0 until the first reply if a Reattach does not know it
		tag        uint32 // hash of requestID and attempt; 0 until both are known
		reattached bool   // opened by Reattach, for a request that was sent before

		mu           sync.Mutex
		queue        []Reply
		wake         chan struct{}
		nextSequence uint64 // sequence of the next Data
		credit       int    // bytes that the agent may still send
		consumed     int    // bytes read by the caller of Next and not yet returned as credit
		headReceived bool
		closed       bool // further replies are dropped
		err          error
	}
)

// Peer implements Stream.
func (s *clientStream) Peer() Peer { return s.endpoint.connection.peer }

// Next implements Stream. After the final reply it returns io.EOF.
func (s *clientStream) Next(ctx context.Context) (Reply, error) {
	for {
		r, returned, err := s.dequeue()
		if returned > 0 {
			s.returnCredit(returned)
		}
		if r != nil || err != nil {
			return r, err
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// dequeue returns the next reply, or nil if there is none yet, and the number
// of bytes of credit to return to the agent.
func (s *clientStream) dequeue() (Reply, int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		if s.err != nil {
			return nil, 0, s.err
		}
		if s.closed {
			return nil, 0, io.EOF
		}
		return nil, 0, nil
	}
	r := s.queue[0]
	s.queue[0] = nil
	s.queue = s.queue[1:]
	d, ok := r.(DataReply)
	if !ok || s.closed {
		return r, 0, nil
	}
	s.consumed += creditCost(d.Data.Data)
	if s.consumed < s.endpoint.connection.settings.Credit/2 {
		return r, 0, nil
	}
	returned := s.consumed
	s.consumed = 0
	s.credit += returned
	return r, returned, nil
}

func creditCost(data []byte) int { return len(data) + replyOverhead }

func (s *clientStream) returnCredit(bytes int) {
	// On an error the connection is lost, which Next reports.
	_ = s.endpoint.connection.out.send(kindCredit, &beechwire.Credit{Stream: s.id, Bytes: bytes})
}

// Close implements Stream.
func (s *clientStream) Close(detached bool) {
	s.mu.Lock()
	closed := s.closed
	s.closed = true
	s.queue = nil
	if s.err == nil {
		s.err = ErrClosed
	}
	s.signal()
	s.mu.Unlock()
	if !closed {
		s.endpoint.cancel(s.id, detached)
	}
}

func (s *clientStream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// fail ends the stream with err, after the replies that were already received.
func (s *clientStream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	s.err = err
	s.signal()
}

// matches reports whether a reply is for this stream's request and attempt. A
// reattached stream takes what it does not know of these from its first reply.
// The caller holds the lock.
func (s *clientStream) matches(requestID string, attempt int) bool {
	if s.requestID == "" {
		s.requestID = requestID
	}
	if s.attempt == 0 {
		s.attempt = attempt
	}
	if s.requestID != requestID || s.attempt != attempt {
		return false
	}
	if s.tag == 0 {
		s.tag = beechwire.Tag(requestID, attempt)
	}
	return true
}

func (s *clientStream) receiveHead(m *beechwire.Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counters := s.endpoint.connection.counters
	switch {
	case s.closed:
		counters.late.Add(1)
	case !s.matches(m.RequestID, m.Attempt):
		counters.crossed.Add(1)
	case s.headReceived:
		counters.doubled.Add(1)
	default:
		s.headReceived = true
		s.enqueue(HeadReply{Head: *m})
	}
}

func (s *clientStream) enqueue(r Reply) {
	s.queue = append(s.queue, r)
	s.signal()
}

// receiveData takes a chunk of the answer. An error ends the stream.
func (s *clientStream) receiveData(m *beechwire.Data) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	counters := s.endpoint.connection.counters
	if s.closed {
		counters.late.Add(1)
		return nil
	}
	if s.tag != 0 && m.Tag != 0 && m.Tag != s.tag {
		counters.crossed.Add(1)
		return nil
	}
	if m.Sequence < s.nextSequence {
		counters.doubled.Add(1)
		return nil
	}
	if m.Sequence > s.nextSequence {
		return s.gapError(m.Sequence)
	}
	if s.credit <= 0 {
		return ErrCreditExceeded
	}
	s.credit -= creditCost(m.Data)
	s.nextSequence++
	s.enqueue(DataReply{Data: *m})
	return nil
}

func (s *clientStream) gapError(got uint64) error {
	s.endpoint.connection.counters.gaps.Add(1)
	return &GapError{Peer: s.endpoint.connection.peer.Address, Stream: s.id, Want: s.nextSequence, Got: got}
}

// receiveFinal takes a final reply; taken is false if the reply is not for this
// request. For a complete answer, lastSequence is the sequence of its last
// Data; otherwise it is nil.
func (s *clientStream) receiveFinal(r Reply, requestID string, attempt int, lastSequence *uint64) (taken bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		s.endpoint.connection.counters.late.Add(1)
		return false, nil
	}
	if !s.matches(requestID, attempt) {
		s.endpoint.connection.counters.crossed.Add(1)
		return false, nil
	}
	if lastSequence != nil && *lastSequence+1 != s.nextSequence {
		return false, s.gapError(*lastSequence + 1)
	}
	s.enqueue(r)
	s.closed = true
	return true, nil
}
