package beechlink

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
)

type (
	// serverEnd is the agent's part of a connection: its streams.
	serverEndpoint struct {
		server     *Server
		connection *connection

		mu               sync.Mutex
		openStreams      map[uint64]*serverStream
		lastID           uint64 // highest stream seen
		pendingBodyBytes int    // bytes of bodies not complete
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
		// A stream that is over needs no credit: the frames passed each other.
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
		return &FrameError{Problem: fmt.Sprintf("type %d is not for an agent", k)}
	}
}

// add makes a stream. Its id must be a new one: an id used twice would let
// replies of one request reach another.
func (e *serverEndpoint) newStream(id uint64, credit int, requestID string, attempt int) (*serverStream, error) {
	if id <= e.lastID {
		return nil, &FrameError{Problem: fmt.Sprintf("stream %d is not new", id)}
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

// admit puts a stream in the table, or says why not.
func (e *serverEndpoint) admit(s *serverStream, bodyBytes int) (reason, message string) {
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
	if !e.server.beginStream() {
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
	if reason, message := e.admit(s, r.BodyBytes); reason != "" {
		e.refuseStream(s, false, reason, message)
		return nil
	}
	e.connection.counters.opened.Add(1)
	s.request = r
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
	if reason, message := e.admit(s, 0); reason != "" {
		e.refuseStream(s, true, reason, message)
		return nil
	}
	e.connection.counters.reattached.Add(1)
	e.runHandler(s, func() { e.server.handler.Reattach(s.context, s, *m) })
	return nil
}

// refuse closes a stream that was not taken. It cannot be sent after Bye,
// which says the same; to end the connection for that would reset it, and the
// entry could lose the Bye and with it the proof that nothing was run.
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

// notTaken is the last reply of a stream that an agent does not take. Refused says
// that the request was not run, which is not known of one that was to be joined.
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
		return nil // refused or cancelled while the body was on its way
	}
	if s.request == nil || len(s.body)+len(m.Data) > s.request.BodyBytes {
		return &FrameError{Problem: fmt.Sprintf("stream %d has more body than it said", m.Stream)}
	}
	s.body = append(s.body, m.Data...)
	if len(s.body) < s.request.BodyBytes {
		return nil
	}
	e.releaseBody(s)
	e.startOpenHandler(s)
	return nil
}

// release takes a body that is complete or given up out of what is pending.
func (e *serverEndpoint) releaseBody(s *serverStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pendingBodyBytes -= s.request.BodyBytes
}

func (e *serverEndpoint) startOpenHandler(s *serverStream) {
	e.runHandler(s, func() { e.server.handler.Open(s.context, s, s.request, s.body) })
}

// serve runs a handler in its goroutine.
func (e *serverEndpoint) runHandler(s *serverStream, handle func()) {
	go func() {
		defer e.server.endStream()
		defer s.cancel()
		e.runGuarded(s, handle)
	}()
}

// guard makes sure that every stream gets a last reply. A handler that panics
// or forgets it would leave a caller waiting until its deadline; what ran is
// then unknown.
func (e *serverEndpoint) runGuarded(s *serverStream, handle func()) {
	message := "handler gave no last reply"
	defer func() {
		if p := recover(); p != nil {
			e.connection.counters.panics.Add(1)
			message = fmt.Sprintf("handler panicked: %v", p)
		}
		// Over is the usual case: the handler has sent its last reply.
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

// abandon accounts for a stream whose handler was never started.
func (e *serverEndpoint) releaseUnstarted(s *serverStream) {
	if s.request == nil || len(s.body) >= s.request.BodyBytes {
		return
	}
	e.releaseBody(s)
	e.server.endStream()
}

func (e *serverEndpoint) connectionLost(_ *connection, _ error) {
	e.mu.Lock()
	table := e.openStreams
	e.openStreams = map[uint64]*serverStream{}
	e.mu.Unlock()
	for _, s := range table {
		s.closeByPeer(true)
		e.releaseUnstarted(s)
	}
}

func (e *serverEndpoint) receiveBye(c *connection, _ string) { c.out.finish() }

// rest does nothing: which connections are kept is the entry's choice.
func (e *serverEndpoint) checkIdle(*connection, time.Time) {}
