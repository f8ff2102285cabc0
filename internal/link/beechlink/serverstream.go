package beechlink

import (
	"context"
	"fmt"
	"sync"

	"github.com/beechring/beechring/internal/link/beechwire"
)

type (
	// serverStream is the agent's side of a stream.
	serverStream struct {
		endpoint  *serverEndpoint
		id        uint64
		requestID string
		attempt   int
		tag       uint32 // hash of requestID and attempt; 0 until both are known
		context   context.Context
		cancel    context.CancelFunc

		request *beechwire.Request // set for an Open, nil for a Reattach
		body    []byte             // received so far

		mu                  sync.Mutex
		credit              int
		creditAdded         chan struct{} // buffered; signalled when credit was added
		closed              bool
		generationCancelled bool   // the entry cancelled the stream and its generation
		releaseBody         func() // gives back the memory of the body; nil: none is reserved
	}
)

// Peer implements ServerStream.
func (s *serverStream) Peer() Peer { return s.endpoint.connection.currentPeer() }

// Detached implements ServerStream. Only a Cancel from the entry ends a
// generation: a send may fail before this side has detected that the link is
// lost.
func (s *serverStream) Detached() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.generationCancelled
}

// KeepBody implements ServerStream.
func (s *serverStream) KeepBody() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	release, s.releaseBody = s.releaseBody, nil
	if release == nil {
		return func() {}
	}
	return release
}

// reserveBody reserves memory for the body of the stream's request. It returns false if there is none.
func (s *serverStream) reserveBody(size int) bool {
	memory := s.endpoint.connection.settings.Bodies
	if memory == nil || size == 0 {
		return true
	}
	release, ok := memory.Reserve(s.request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseBody = release
	return ok
}

// Send implements ServerStream. It sets Stream, and also RequestID and Attempt
// if they are empty and Tag of a Data if it is 0. A handler that knows which
// request a Data belongs to should set Tag itself: the entry then drops a Data
// that a fault put on another request's stream.
func (s *serverStream) Send(ctx context.Context, r Reply) error {
	switch r := r.(type) {
	case HeadReply:
		m := r.Head
		m.Stream = s.id
		s.fillIdentity(&m.RequestID, &m.Attempt)
		return s.send(kindHead, func(o *outbox) error { return o.send(kindHead, &m) })
	case DataReply:
		m := r.Data
		m.Stream = s.id
		if m.Tag == 0 {
			m.Tag = s.tag
		}
		if err := s.acquireCredit(ctx, creditCost(m.Data)); err != nil {
			return err
		}
		return s.send(kindData, func(o *outbox) error { return o.send(kindData, &m) })
	case EndReply:
		m := r.End
		m.Stream = s.id
		s.fillIdentity(&m.RequestID, &m.Attempt)
		return s.send(kindEnd, func(o *outbox) error { return o.send(kindEnd, &m) })
	case RefusedReply:
		m := r.Refused
		m.Stream = s.id
		s.fillIdentity(&m.RequestID, &m.Attempt)
		return s.send(kindRefused, func(o *outbox) error { return o.send(kindRefused, &m) })
	case FailedReply:
		m := r.Failed
		m.Stream = s.id
		s.fillIdentity(&m.RequestID, &m.Attempt)
		return s.send(kindFailed, func(o *outbox) error { return o.send(kindFailed, &m) })
	default:
		return fmt.Errorf("unsupported reply type %T", r)
	}
}

// fillIdentity sets the request id and attempt that the handler left empty. On
// a Reattach the handler may be the only one to know them; the tag is then
// computed from its values.
func (s *serverStream) fillIdentity(requestID *string, attempt *int) {
	if *requestID == "" {
		*requestID = s.requestID
	}
	if *attempt == 0 {
		*attempt = s.attempt
	}
	if s.tag == 0 && *requestID != "" && *attempt != 0 {
		s.tag = beechwire.Tag(*requestID, *attempt)
	}
}

// send queues a reply unless the stream is closed. The final reply closes it.
func (s *serverStream) send(k kind, queue func(*outbox) error) error {
	last := k == kindEnd || k == kindRefused || k == kindFailed
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return ErrStreamClosed
	}
	err := queue(s.endpoint.connection.out)
	s.closed = last && err == nil
	s.mu.Unlock()
	if err != nil {
		return fmt.Errorf("send to %s: %w", s.endpoint.connection.peer.Address, err)
	}
	if last {
		s.endpoint.remove(s.id)
	}
	return nil
}

// acquireCredit waits until the stream has credit left. A message may cost more
// than what is left, so that one larger than the whole credit is not blocked
// forever. The credit is then negative, and the next message waits until it is
// positive again.
func (s *serverStream) acquireCredit(ctx context.Context, cost int) error {
	if err := s.endpoint.connection.out.waitRoom(ctx); err != nil {
		return fmt.Errorf("send to %s: %w", s.endpoint.connection.peer.Address, err)
	}
	for {
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			return ErrStreamClosed
		}
		if s.credit > 0 {
			s.credit -= cost
			s.mu.Unlock()
			return nil
		}
		s.mu.Unlock()
		select {
		case <-s.creditAdded:
		case <-s.context.Done():
			return ErrStreamClosed
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *serverStream) addCredit(bytes int) {
	s.mu.Lock()
	s.credit += bytes
	s.mu.Unlock()
	select {
	case s.creditAdded <- struct{}{}:
	default:
	}
}

// closeByPeer ends the stream after a Cancel or the loss of the connection.
func (s *serverStream) closeByPeer(detached bool) {
	s.mu.Lock()
	s.closed = true
	s.generationCancelled = !detached
	s.mu.Unlock()
	s.cancel()
}
