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
		end       *clientEnd
		id        uint64
		requestID string // empty until Head where a Reattach does not know it
		attempt   int    // 0 until Head where a Reattach does not know it
		tag       uint32 // of both; 0 until they are known
		joins     bool   // a request that was sent before

		mu       sync.Mutex
		queue    []Reply
		wake     chan struct{}
		next     uint64 // sequence of the next Data
		credit   int    // bytes that the agent may still send
		consumed int    // bytes read by the owner and not given back as credit
		headed   bool
		over     bool // no more replies are taken
		err      error
	}
)

// Peer implements Stream.
func (s *clientStream) Peer() Peer { return s.end.c.peer }

// Next implements Stream. After the last reply it returns io.EOF.
func (s *clientStream) Next(ctx context.Context) (Reply, error) {
	for {
		r, back, err := s.pop()
		if back > 0 {
			s.giveBack(back)
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

// pop returns the next reply, if there is one, and the credit to give back.
func (s *clientStream) pop() (Reply, int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		if s.err != nil {
			return nil, 0, s.err
		}
		if s.over {
			return nil, 0, io.EOF
		}
		return nil, 0, nil
	}
	r := s.queue[0]
	s.queue[0] = nil
	s.queue = s.queue[1:]
	d, ok := r.(DataReply)
	if !ok || s.over {
		return r, 0, nil
	}
	s.consumed += costOf(d.Data.Data)
	if s.consumed < s.end.c.settings.Credit/2 {
		return r, 0, nil
	}
	back := s.consumed
	s.consumed = 0
	s.credit += back
	return r, back, nil
}

func costOf(data []byte) int { return len(data) + replyOverhead }

func (s *clientStream) giveBack(bytes int) {
	// An error means that the connection is lost; Next tells.
	_ = s.end.c.out.send(kindCredit, &beechwire.Credit{Stream: s.id, Bytes: bytes})
}

// Close implements Stream.
func (s *clientStream) Close(detached bool) {
	s.mu.Lock()
	over := s.over
	s.over = true
	s.queue = nil
	if s.err == nil {
		s.err = ErrClosed
	}
	s.signal()
	s.mu.Unlock()
	if !over {
		s.end.cancel(s.id, detached)
	}
}

func (s *clientStream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// fail ends the stream after the replies that were already received.
func (s *clientStream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return
	}
	s.over = true
	s.err = err
	s.signal()
}

// mine tells whether a reply names this stream's request and attempt. It is
// called with the lock held.
func (s *clientStream) mine(requestID string, attempt int) bool {
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

func (s *clientStream) head(m *beechwire.Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counters := s.end.c.counters
	switch {
	case s.over:
		counters.late.Add(1)
	case !s.mine(m.RequestID, m.Attempt):
		counters.crossed.Add(1)
	case s.headed:
		counters.doubled.Add(1)
	default:
		s.headed = true
		s.push(HeadReply{Head: *m})
	}
}

func (s *clientStream) push(r Reply) {
	s.queue = append(s.queue, r)
	s.signal()
}

// data takes a piece of the answer. An error ends the stream.
func (s *clientStream) data(m *beechwire.Data) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	counters := s.end.c.counters
	if s.over {
		counters.late.Add(1)
		return nil
	}
	if s.tag != 0 && m.Tag != 0 && m.Tag != s.tag {
		counters.crossed.Add(1)
		return nil
	}
	if m.Sequence < s.next {
		counters.doubled.Add(1)
		return nil
	}
	if m.Sequence > s.next {
		return s.gap(m.Sequence)
	}
	if s.credit <= 0 {
		return ErrCreditExceeded
	}
	s.credit -= costOf(m.Data)
	s.next++
	s.push(DataReply{Data: *m})
	return nil
}

func (s *clientStream) gap(got uint64) error {
	s.end.c.counters.gaps.Add(1)
	return &GapError{Peer: s.end.c.peer.Address, Stream: s.id, Want: s.next, Got: got}
}

// last takes a closing reply; taken is false if it is not for this request.
// Where an answer is whole, end is the sequence of its last Data.
func (s *clientStream) last(r Reply, requestID string, attempt int, end *uint64) (taken bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		s.end.c.counters.late.Add(1)
		return false, nil
	}
	if !s.mine(requestID, attempt) {
		s.end.c.counters.crossed.Add(1)
		return false, nil
	}
	if end != nil && *end+1 != s.next {
		return false, s.gap(*end + 1)
	}
	s.push(r)
	s.over = true
	return true, nil
}
