package beechlink

import (
	"context"
	"fmt"
	"sync"

	"github.com/beechring/beechring/internal/link/beechwire"
)

type (
	// outgoingCalls holds this side's calls that wait for a result.
	outgoingCalls struct {
		mu      sync.Mutex
		lastID  uint64
		waiting map[uint64]*outgoingCall
		err     error
	}

	outgoingCall struct {
		method  string
		payload []byte
		done    chan error // buffered
	}

	// incomingCalls holds the peer's calls that are not answered yet.
	incomingCalls struct {
		mu           sync.Mutex
		partial      map[uint64][]byte
		running      int
		pendingBytes int
	}
)

func (t *outgoingCalls) add(method string) (uint64, *outgoingCall, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err != nil {
		return 0, nil, t.err
	}
	if t.waiting == nil {
		t.waiting = map[uint64]*outgoingCall{}
	}
	t.lastID++
	call := &outgoingCall{method: method, done: make(chan error, 1)}
	t.waiting[t.lastID] = call
	return t.lastID, call, nil
}

func (t *outgoingCalls) remove(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, id)
}

func (t *outgoingCalls) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting)
}

func (t *outgoingCalls) failAll(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.err = err
	for id, call := range t.waiting {
		call.done <- err
		delete(t.waiting, id)
	}
}

// call sends a call to the peer and waits for the result. The error is
// *CallError if the peer answered with an error, and *LostError if the peer may
// or may not have acted on the call.
func (c *connection) call(ctx context.Context, method string, payload []byte) ([]byte, error) {
	if len(payload) > c.settings.MaxBody {
		return nil, &OpenError{Peer: c.peer.Address, Err: fmt.Errorf("call %s: payload of %d bytes exceeds the limit of %d", method, len(payload), c.settings.MaxBody)}
	}
	id, pending, err := c.outgoing.add(method)
	if err != nil {
		return nil, err
	}
	if err := c.out.startTransfer(&transfer{kind: kindCall, id: id, method: method, remaining: payload}); err != nil {
		c.outgoing.remove(id)
		return nil, &LostError{Peer: c.peer.Address, Err: err}
	}
	select {
	case err := <-pending.done:
		return pending.payload, err
	case <-ctx.Done():
		c.outgoing.remove(id)
		c.out.cancelTransfer(kindCall, id)
		return nil, fmt.Errorf("call %s at %s: %w", method, c.peer.Address, ctx.Err())
	}
}

func (c *connection) receiveResult(body []byte) error {
	var m beechwire.Result
	if _, err := m.UnmarshalMsg(body); err != nil {
		return malformed(err)
	}
	t := &c.outgoing
	t.mu.Lock()
	defer t.mu.Unlock()
	pending, ok := t.waiting[m.Call]
	if !ok {
		c.counters.late.Add(1)
		return nil
	}
	if len(pending.payload)+len(m.Payload) > c.settings.MaxBody {
		return &FrameError{Problem: "result exceeds the body size limit"}
	}
	if pending.payload == nil {
		pending.payload = m.Payload
	} else {
		pending.payload = append(pending.payload, m.Payload...)
	}
	if m.More {
		return nil
	}
	delete(t.waiting, m.Call)
	if m.Error != "" {
		pending.done <- &CallError{Peer: c.peer.Address, Method: pending.method, Reason: m.Error}
		return nil
	}
	pending.done <- nil
	return nil
}

func (c *connection) receiveCall(body []byte) error {
	var m beechwire.Call
	if _, err := m.UnmarshalMsg(body); err != nil {
		return malformed(err)
	}
	payload, whole, err := c.incoming.assemble(&m, c.settings)
	if err != nil {
		return err
	}
	if !whole {
		return nil
	}
	if !c.incoming.tryBegin() {
		c.sendCallError(m.Call, "too many calls at once")
		return nil
	}
	go func() {
		defer c.incoming.finish()
		result, err := c.callHandler.Answer(c.context, c.currentPeer(), m.Method, payload)
		if err != nil {
			c.sendCallError(m.Call, err.Error())
			return
		}
		if len(result) > c.settings.MaxBody {
			c.sendCallError(m.Call, fmt.Sprintf("result of %d bytes is over %d", len(result), c.settings.MaxBody))
			return
		}
		// On an error the connection ends, which tells the peer.
		_ = c.out.startTransfer(&transfer{kind: kindResult, id: m.Call, remaining: result})
	}()
	return nil
}

func (c *connection) sendCallError(id uint64, reason string) {
	_ = c.out.send(kindResult, &beechwire.Result{Call: id, Error: reason})
}

// assemble joins the chunks of a call. The bytes of incomplete calls are
// limited, since a faulty peer could otherwise exhaust the memory.
func (t *incomingCalls) assemble(m *beechwire.Call, s Settings) (payload []byte, whole bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.partial == nil {
		t.partial = map[uint64][]byte{}
	}
	earlier, known := t.partial[m.Call]
	if !known && !m.More {
		return m.Payload, true, nil
	}
	payload = append(earlier, m.Payload...)
	if len(payload) > s.MaxBody {
		return nil, false, &FrameError{Problem: "call exceeds the body size limit"}
	}
	if !m.More {
		delete(t.partial, m.Call)
		t.pendingBytes -= len(earlier)
		return payload, true, nil
	}
	t.partial[m.Call] = payload
	t.pendingBytes += len(m.Payload)
	if t.pendingBytes > pendingBodyFactor*s.MaxBody {
		return nil, false, &FrameError{Problem: "too many incomplete calls"}
	}
	return payload, false, nil
}

func (t *incomingCalls) tryBegin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running >= maxConcurrentCalls {
		return false
	}
	t.running++
	return true
}

func (t *incomingCalls) finish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}
