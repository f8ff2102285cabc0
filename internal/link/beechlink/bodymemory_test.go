package beechlink

import (
	"context"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/link/beechwire"
)

// boundedMemory grants memory up to a limit.
type boundedMemory struct {
	mu    sync.Mutex
	limit int
	held  int
}

func (m *boundedMemory) Reserve(r *beechwire.Request) (release func(), ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	size := r.BodyBytes
	if m.held+size > m.limit {
		return nil, false
	}
	m.held += size
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.held -= size
	}, true
}

func (m *boundedMemory) heldBytes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}

// Guards against bodies on several connections, each within its bounds, that take the agent's memory together.
func TestBodiesOfAllConnectionsShareAMemory(t *testing.T) {
	is := is.New(t)
	memory := &boundedMemory{limit: 1000}
	block := make(chan struct{})
	keep := make(chan func(), 1)
	p := newPair(t, Settings{Connections: 1, Bodies: memory}, handlerFuncs{open: func(ctx context.Context, s ServerStream, r beechwire.Request, body []byte) {
		if r.ID == "kept" {
			keep <- s.KeepBody()
		}
		<-block
		echo(ctx, s, r, body)
	}})
	kept, err := p.client.Open(context.Background(), request("kept"), make([]byte, 400))
	is.NoErr(err)
	release := <-keep

	first, second := dialAsEntry(t, p.address.String()), dialAsEntry(t, p.address.String())
	open := func(stream uint64, size int) *beechwire.Open {
		return &beechwire.Open{Stream: stream, Request: beechwire.Request{ID: "f", Attempt: 1, BodyBytes: size}}
	}
	first.send(kindOpen, open(1, 500))
	waitFor(t, "the body is reserved", func() bool { return memory.heldBytes() == 900 })
	var m beechwire.Refused
	second.send(kindOpen, open(1, 500))
	second.await(kindRefused, &m)
	is.Equal(m.Reason, beechwire.ReasonBusy)
	first.send(kindCancel, &beechwire.Cancel{Stream: 1}) // before its body has come
	waitFor(t, "a cancelled body is given back", func() bool { return memory.heldBytes() == 400 })
	second.send(kindOpen, open(2, 500))
	waitFor(t, "the next body is reserved", func() bool { return memory.heldBytes() == 900 })
	second.conn.Close()
	waitFor(t, "the body of a lost connection is given back", func() bool { return memory.heldBytes() == 400 })

	close(block)
	_, _, err = collect(context.Background(), kept)
	is.NoErr(err)
	is.Equal(memory.heldBytes(), 400) // the run goes on
	release()
	is.Equal(memory.heldBytes(), 0)
	for range 3 {
		s, err := p.client.Open(context.Background(), request("next"), make([]byte, 1000))
		is.NoErr(err)
		_, _, err = collect(context.Background(), s)
		is.NoErr(err)
		waitFor(t, "a body is given back with its stream", func() bool { return memory.heldBytes() == 0 })
	}
}
