package beechlink

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
)

type (
	// serverEndpoint is the agent's side of a connection: its streams.
	serverEndpoint struct {
		server     *Server
		connection *connection

		mu               sync.Mutex
		openStreams      map[uint64]*serverStream
		lastID           uint64 // highest stream id seen
		pendingBodyBytes int    // announced bytes of bodies that are not complete
	}
)

func newServerEndpoint(s *Server) *serverEndpoint {
	return &serverEndpoint{server: s, openStreams: map[uint64]*serverStream{}}
}

func (e *serverEndpoint) streamCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.openStreams)
}

func (e *serverEndpoint) remove(id uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.openStreams, id)
}

func (e *serverEndpoint) find(id uint64) *serverStream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.openStreams[id]
}

func (e *serverEndpoint) receive(_ *connection, k kind, body []byte) error {
	switch k {
	case kindOpen:
		var m beechwire.Open
		if _, err := m.UnmarshalMsg(body); err != nil {
			return malformed(err)
		}
		return e.open(&m)
	case kindReattach:
		var m beechwire.Reattach
		if _, err := m.UnmarshalMsg(body); err != nil {
			return malformed(err)
		}
		return e.reattach(&m)
	case kindBody:
		var m beechwire.Body
		if _, err := m.UnmarshalMsg(body); err != nil {
			return malformed(err)
		}
		return e.addBody(&m)
	case kindCredit:
		var m beechwire.Credit
		if _, err := m.UnmarshalMsg(body); err != nil {
			return malformed(err)
		}
		// The stream may have ended while the credit was in transit.
		if s := e.find(m.Stream); s != nil && m.Bytes > 0 {
			s.addCredit(m.Bytes)
		}
		return nil
	case kindCancel:
		var m beechwire.Cancel
		if _, err := m.UnmarshalMsg(body); err != nil {
			return malformed(err)
		}
		e.cancel(&m)
		return nil
	default:
		return &FrameError{Problem: fmt.Sprintf("frame type %d is not valid from an entry", k)}
	}
}

// newStream creates a stream. Its id must be higher than all before: if an id
// were used twice, replies of one request could reach another.
func (e *serverEndpoint) newStream(id uint64, credit int, requestID string, attempt int) (*serverStream, error) {
	if id <= e.lastID {
		return nil, &FrameError{Problem: fmt.Sprintf("stream id %d is not higher than all before", id)}
	}
	e.lastID = id
	ctx, cancel := context.WithCancel(e.connection.context)
	s := &serverStream{
		endpoint:    e,
		id:          id,
		requestID:   requestID,
		attempt:     attempt,
		credit:      credit,
		creditAdded: make(chan struct{}, 1),
		context:     ctx,
		cancel:      cancel,
	}
	if requestID != "" && attempt != 0 {
		s.tag = beechwire.Tag(requestID, attempt)
	}
	return s, nil
}

// admit adds s to the open streams, or returns the reason and message of its
// refusal.
func (e *serverEndpoint) admit(s *serverStream, bodyBytes int, reattached bool) (reason, message string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if bodyBytes < 0 || bodyBytes > e.connection.settings.MaxBody {
		return beechwire.ReasonMalformed, fmt.Sprintf("body of %d bytes is over %d", bodyBytes, e.connection.settings.MaxBody)
	}
	if len(e.openStreams) >= e.connection.settings.MaxStreams {
		return beechwire.ReasonBusy, "too many streams on the connection"
	}
	if e.pendingBodyBytes+bodyBytes > pendingBodyFactor*e.connection.settings.MaxBody {
		return beechwire.ReasonBusy, "too many bodies on their way on the connection"
	}
	if !s.reserveBody(bodyBytes) {
		return beechwire.ReasonBusy, "no memory for the body"
	}
	if !e.server.beginStream(reattached) {
		s.KeepBody()()
		return beechwire.ReasonLeaving, drainingMessage
	}
	e.openStreams[s.id] = s
	return "", ""
}

func (e *serverEndpoint) open(m *beechwire.Open) error {
	r := &m.Request
	s, err := e.newStream(m.Stream, m.Credit, r.ID, r.Attempt)
	if err != nil {
		return err
	}
	s.request = r
	if reason, message := e.admit(s, r.BodyBytes, false); reason != "" {
		e.refuseStream(s, false, reason, message)
		return nil
	}
	e.connection.counters.opened.Add(1)
	if r.BodyBytes == 0 {
		e.startOpenHandler(s)
		return nil
	}
	s.body = make([]byte, 0, r.BodyBytes)
	e.mu.Lock()
	e.pendingBodyBytes += r.BodyBytes
	e.mu.Unlock()
	return nil
}

func (e *serverEndpoint) reattach(m *beechwire.Reattach) error {
	s, err := e.newStream(m.Stream, m.Credit, m.RequestID, 0)
	if err != nil {
		return err
	}
	if reason, message := e.admit(s, 0, true); reason != "" {
		e.refuseStream(s, true, reason, message)
		return nil
	}
	e.connection.counters.reattached.Add(1)
	e.runHandler(s, func() { e.server.handler.Reattach(s.context, s, *m) })
	return nil
}

// refuseStream ends a stream that was not admitted. Errors of send are ignored:
// after a Bye nothing can be sent, and the Bye already tells the entry the
// same. Ending the connection for it would cause a reset, and the entry could
// lose the Bye and with it the proof that nothing was run.
func (e *serverEndpoint) refuseStream(s *serverStream, reattach bool, reason, message string) {
	s.cancel()
	e.connection.counters.refused.Add(1)
	switch r := notAdmittedReply(s.id, s.requestID, s.attempt, reattach, reason, message).(type) {
	case RefusedReply:
		_ = e.connection.out.send(kindRefused, &r.Refused)
	case FailedReply:
		_ = e.connection.out.send(kindFailed, &r.Failed)
	}
}

// notAdmittedReply returns the final reply of a stream that an agent does not
// admit. Refused states that the request was not run. That is not known for a
// Reattach, which gets Failed instead.
func notAdmittedReply(stream uint64, requestID string, attempt int, reattach bool, reason, message string) Reply {
	if reattach {
		return FailedReply{Failed: beechwire.Failed{
			Stream: stream, RequestID: requestID, Attempt: attempt, Reason: reason, Message: message, Ran: beechwire.RanUnknown,
		}}
	}
	return RefusedReply{Refused: beechwire.Refused{
		Stream: stream, RequestID: requestID, Attempt: attempt, Reason: reason, Message: message,
	}}
}

func (e *serverEndpoint) addBody(m *beechwire.Body) error {
	s := e.find(m.Stream)
	if s == nil {
		return nil // refused or cancelled while the body was in transit
	}
	if s.request == nil || len(s.body)+len(m.Data) > s.request.BodyBytes {
		return &FrameError{Problem: fmt.Sprintf("body of stream %d is longer than announced", m.Stream)}
	}
	s.body = append(s.body, m.Data...)
	if len(s.body) < s.request.BodyBytes {
		return nil
	}
	e.releaseBody(s)
	e.startOpenHandler(s)
	return nil
}

// releaseBody subtracts a body that is complete or abandoned from the pending
// bytes.
func (e *serverEndpoint) releaseBody(s *serverStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pendingBodyBytes -= s.request.BodyBytes
}

func (e *serverEndpoint) startOpenHandler(s *serverStream) {
	e.runHandler(s, func() { e.server.handler.Open(s.context, s, s.request, s.body) })
}

// runHandler runs a handler in a goroutine of its own.
func (e *serverEndpoint) runHandler(s *serverStream, handle func()) {
	go func() {
		defer e.server.endStream()
		defer func() { s.KeepBody()() }()
		defer s.cancel()
		e.runGuarded(s, handle)
	}()
}

// runGuarded ensures that every stream gets a final reply. Without one, a
// handler that panics or returns early would leave the caller waiting until its
// deadline. Whether the request ran is then reported as unknown.
func (e *serverEndpoint) runGuarded(s *serverStream, handle func()) {
	message := "handler gave no last reply"
	defer func() {
		if p := recover(); p != nil {
			e.connection.counters.panics.Add(1)
			message = fmt.Sprintf("handler panicked: %v", p)
		}
		// Send usually returns ErrStreamClosed: the handler has sent the final
		// reply.
		_ = s.Send(s.context, FailedReply{Failed: beechwire.Failed{
			Reason:  beechwire.ReasonServer,
			Message: message,
			Ran:     beechwire.RanUnknown,
		}})
	}()
	handle()
}

func (e *serverEndpoint) cancel(m *beechwire.Cancel) {
	s := e.find(m.Stream)
	if s == nil {
		return
	}
	e.remove(s.id)
	s.closeByPeer(m.Detached)
	e.releaseUnstarted(s)
}

// releaseUnstarted releases what a stream holds whose handler was never
// started, because its body did not arrive completely.
func (e *serverEndpoint) releaseUnstarted(s *serverStream) {
	if s.request == nil || len(s.body) >= s.request.BodyBytes {
		return
	}
	e.releaseBody(s)
	s.KeepBody()()
	e.server.endStream()
}

func (e *serverEndpoint) connectionLost(_ *connection, _ error) {
	e.mu.Lock()
	table := e.openStreams
	e.openStreams = map[uint64]*serverStream{}
	e.mu.Unlock()
	if len(table) > 0 {
		e.server.noteLoss()
	}
	for _, s := range table {
		s.closeByPeer(true)
		e.releaseUnstarted(s)
	}
}

func (e *serverEndpoint) receiveBye(c *connection, _ string) { c.out.finish() }

// checkIdle does nothing: the entry decides which connections to keep.
func (e *serverEndpoint) checkIdle(*connection, time.Time) {}
