package beechlink

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"
)

type (
	// fakePeer sends and reads single frames on one connection.
	fakePeer struct {
		t      testing.TB
		conn   net.Conn
		frames *frameReader
	}

	// cuttingProxy relays connections and cuts each after a number of bytes in
	// one direction.
	cuttingProxy struct {
		listener net.Listener
		target   string
		limit    atomic.Int64 // bytes; none if negative
		replies  bool         // limit applies to what the target sends
		chunk    int          // most bytes relayed per write
		running  sync.WaitGroup
	}
)

// frameOf encodes one frame.
func frameOf(t testing.TB, k kind, m msgp.Marshaler) []byte {
	t.Helper()
	b, err := appendFrame(nil, 1<<30, k, m)
	is.New(t).NoErr(err)
	return b
}

func (f *fakePeer) send(k kind, m msgp.Marshaler) {
	f.t.Helper()
	f.write(frameOf(f.t, k, m))
}

func (f *fakePeer) write(b []byte) {
	f.t.Helper()
	_, err := f.conn.Write(b)
	is.New(f.t).NoErr(err)
}

// await reads frames until one of kind k, and decodes it.
func (f *fakePeer) await(k kind, m msgp.Unmarshaler) {
	f.t.Helper()
	for {
		got, body, err := f.frames.next()
		is.New(f.t).NoErr(err)
		if got == k {
			_, err := m.UnmarshalMsg(body)
			is.New(f.t).NoErr(err)
			return
		}
	}
}

// acceptAsAgent accepts one connection of a Client.
func acceptAsAgent(t testing.TB, l net.Listener) *fakePeer {
	t.Helper()
	is := is.New(t)
	conn, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { conn.Close() })
	is.NoErr(readPreamble(conn))
	f := &fakePeer{t: t, conn: conn, frames: newFrameReader(conn, 1<<20)}
	_, err = readHello(f.frames, "")
	is.NoErr(err)
	is.NoErr(sendHello(conn, hello(beechwire.RoleAgent, 7)(), ""))
	return f
}

// dialAsEntry opens a connection to a Server.
func dialAsEntry(t testing.TB, address string) *fakePeer {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	t.Cleanup(func() { conn.Close() })
	is.NoErr(sendHello(conn, hello(beechwire.RoleEntry, 6)(), ""))
	is.NoErr(readPreamble(conn))
	f := &fakePeer{t: t, conn: conn, frames: newFrameReader(conn, 1<<20)}
	_, err = readHello(f.frames, "")
	is.NoErr(err)
	return f
}

// newFakeAgent links a Client to a fake agent over one connection.
func newFakeAgent(t testing.TB, s Settings) (*Client, *fakePeer) {
	t.Helper()
	s.Connections = 1
	l := loopback(t)
	t.Cleanup(func() { l.Close() })
	d := newDialer(s, &recorder{}, nil, realClock)
	t.Cleanup(d.Close)
	c := d.Dial(addressOf(l.Addr()))
	f := acceptAsAgent(t, l)
	waitFor(t, "the link is up", c.Ready)
	return c, f
}

func newCuttingProxy(t testing.TB, target string, replies bool, chunk int) *cuttingProxy {
	t.Helper()
	c := &cuttingProxy{listener: loopback(t), target: target, replies: replies, chunk: chunk}
	c.limit.Store(-1)
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		for {
			conn, err := c.listener.Accept()
			if err != nil {
				return
			}
			c.running.Add(1)
			go func() {
				defer c.running.Done()
				c.relay(conn)
			}()
		}
	}()
	return c
}

func (c *cuttingProxy) close() {
	c.listener.Close()
	c.running.Wait()
}

func (c *cuttingProxy) relay(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", c.target)
	if err != nil {
		return
	}
	defer far.Close()
	limit := c.limit.Load()
	requests, replies := int64(-1), limit
	if !c.replies {
		requests, replies = limit, -1
	}
	done := make(chan struct{}, 2)
	go func() { c.copy(far, near, requests); done <- struct{}{} }()
	go func() { c.copy(near, far, replies); done <- struct{}{} }()
	<-done
	near.Close()
	far.Close()
	<-done
}

func (c *cuttingProxy) copy(to io.Writer, from io.Reader, limit int64) {
	if limit >= 0 {
		from = io.LimitReader(from, limit)
	}
	_, _ = io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, c.chunk))
}
