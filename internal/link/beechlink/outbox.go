package beechlink

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/tinylib/msgp/msgp"
)

type (
	// outbox queues what is to be sent on one connection. Small messages are
	// sent in the order of send. Large bodies and payloads are sent one chunk
	// at a time, in turn, so that they do not block small messages.
	outbox struct {
		limit    int
		counters *counters
		wake     chan struct{}
		done     chan struct{} // closed once the writer has ended

		mu        sync.Mutex
		queue     []byte
		frames    uint64
		transfers []*transfer
		room      chan struct{} // closed when there is room again; nil if nobody waits
		finishing bool
		err       error
	}

	// transfer is a body or payload that is sent in chunks.
	transfer struct {
		kind      kind
		id        uint64 // stream or call
		method    string
		remaining []byte
	}

	closeWriter interface{ CloseWrite() error }
)

const (
	writeBatchBytes = 64 << 10
	maxPooledBuffer = 128 << 10
)

var bufferPool = sync.Pool{New: func() any { return new([]byte) }}

func newOutbox(limit int, c *counters) *outbox {
	return &outbox{
		limit:    limit,
		counters: c,
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
}

func (o *outbox) send(k kind, m msgp.Marshaler) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sendLocked(k, m)
}

func (o *outbox) sendLocked(k kind, m msgp.Marshaler) error {
	if o.err != nil {
		return o.err
	}
	if o.finishing {
		return ErrClosed
	}
	if o.queue == nil {
		o.queue = (*bufferPool.Get().(*[]byte))[:0]
	}
	b, err := appendFrame(o.queue, o.limit, k, m)
	o.queue = b
	if err != nil {
		return err
	}
	o.frames++
	o.signal()
	return nil
}

// sendWithTransfer queues a message and the transfer that belongs to it. A
// transfer of a single chunk is queued directly after its message.
func (o *outbox) sendWithTransfer(k kind, m msgp.Marshaler, t *transfer) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.sendLocked(k, m); err != nil {
		return err
	}
	return o.startTransferLocked(t)
}

func (o *outbox) startTransfer(t *transfer) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.startTransferLocked(t)
}

func (o *outbox) startTransferLocked(t *transfer) error {
	if len(t.remaining) <= chunkBytes {
		return o.sendChunk(t)
	}
	if o.err != nil {
		return o.err
	}
	if o.finishing {
		return ErrClosed
	}
	o.transfers = append(o.transfers, t)
	o.signal()
	return nil
}

// cancelTransfer drops what is left of a body or payload.
func (o *outbox) cancelTransfer(k kind, id uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, t := range o.transfers {
		if t.kind == k && t.id == id {
			o.transfers = append(o.transfers[:i], o.transfers[i+1:]...)
			return
		}
	}
}

func (o *outbox) dropTransfers() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.transfers = nil
}

func (o *outbox) sendChunk(t *transfer) error {
	count := min(len(t.remaining), chunkBytes)
	chunk := t.remaining[:count]
	t.remaining = t.remaining[count:]
	more := len(t.remaining) > 0
	switch t.kind {
	case kindCall:
		return o.sendLocked(kindCall, &beechwire.Call{Call: t.id, Method: t.method, Payload: chunk, More: more})
	case kindResult:
		return o.sendLocked(kindResult, &beechwire.Result{Call: t.id, Payload: chunk, More: more})
	default:
		return o.sendLocked(kindBody, &beechwire.Body{Stream: t.id, Data: chunk})
	}
}

func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// waitRoom returns once fewer than maxQueuedBytes bytes are queued. Without it,
// an entry that stops reading would make the agent hold the whole credit of
// every stream in memory.
func (o *outbox) waitRoom(ctx context.Context) error {
	for {
		o.mu.Lock()
		if o.err != nil || len(o.queue) < maxQueuedBytes {
			err := o.err
			o.mu.Unlock()
			return err
		}
		if o.room == nil {
			o.room = make(chan struct{})
		}
		room := o.room
		o.mu.Unlock()
		select {
		case <-room:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// accepts reports whether something can still be sent. It ends a moment before the streams are told
// that their connection is lost.
func (o *outbox) accepts() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err == nil && !o.finishing
}

func (o *outbox) queuedBytes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.queue)
}

// finish makes the writer end after it has sent what is queued.
func (o *outbox) finish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.finishing = true
	o.signal()
}

// fail drops what is queued and makes the writer end.
func (o *outbox) fail(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil {
		o.err = err
	}
	o.transfers = nil
	o.releaseSenders()
	o.signal()
}

func (o *outbox) releaseSenders() {
	if o.room != nil {
		close(o.room)
		o.room = nil
	}
}

// nextBatch waits for the next batch to write. It returns false if the writer
// must end.
func (o *outbox) nextBatch() ([]byte, bool) {
	for {
		o.mu.Lock()
		o.fillBatch()
		if o.err != nil || (o.finishing && len(o.queue) == 0 && len(o.transfers) == 0) {
			o.mu.Unlock()
			return nil, false
		}
		if len(o.queue) > 0 {
			batch := o.queue
			o.queue = nil
			o.counters.framesOut.Add(o.frames)
			o.frames = 0
			o.releaseSenders()
			if len(o.transfers) > 0 {
				o.signal()
			}
			o.mu.Unlock()
			return batch, true
		}
		o.mu.Unlock()
		<-o.wake
	}
}

// fillBatch adds a chunk of each transfer in turn until the batch is full.
func (o *outbox) fillBatch() {
	finishing := o.finishing
	o.finishing = false
	for len(o.transfers) > 0 && len(o.queue) < writeBatchBytes {
		t := o.transfers[0]
		o.transfers = o.transfers[1:]
		if o.sendChunk(t) == nil && len(t.remaining) > 0 {
			o.transfers = append(o.transfers, t)
		}
	}
	o.finishing = finishing
}

// writeLoop writes batches to conn until finish or fail. It is the only writer
// of the connection. After finish it closes this side's direction.
func (o *outbox) writeLoop(conn net.Conn) error {
	defer close(o.done)
	for {
		batch, ok := o.nextBatch()
		if !ok {
			break
		}
		n, err := conn.Write(batch)
		o.counters.bytesOut.Add(uint64(n))
		o.counters.writes.Add(1)
		if cap(batch) <= maxPooledBuffer {
			bufferPool.Put(&batch)
		}
		if err != nil {
			o.fail(err)
			return err
		}
	}
	o.mu.Lock()
	err := o.err
	o.mu.Unlock()
	if err != nil {
		return err
	}
	half, ok := conn.(closeWriter)
	if !ok {
		return errors.New("connection cannot be half closed")
	}
	return half.CloseWrite()
}
