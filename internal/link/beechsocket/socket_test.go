package beechsocket

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

func pair(t *testing.T) (near, far *net.TCPConn) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close(); _ = accepted.Close() })
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

func TestLook(t *testing.T) {
	for _, c := range []struct {
		name string
		act  func(near, far *net.TCPConn)
		want State
	}{
		{"open", func(_, _ *net.TCPConn) {}, Idle},
		{"bytes", func(_, far *net.TCPConn) { _, _ = far.Write([]byte("x")) }, Readable},
		{"closed", func(_, far *net.TCPConn) { _ = far.Close() }, Closed},
		{"closed behind bytes", func(_, far *net.TCPConn) { _, _ = far.Write([]byte("x")); _ = far.Close() }, Closed},
		{"half closed behind bytes", func(_, far *net.TCPConn) { _, _ = far.Write([]byte("x")); _ = far.CloseWrite() }, Closed},
		{"half closed", func(_, far *net.TCPConn) { _ = far.CloseWrite() }, Closed},
		{"reset", func(_, far *net.TCPConn) { _ = far.SetLinger(0); _ = far.Close() }, Closed},
		{"closed here", func(near, _ *net.TCPConn) { _ = near.Close() }, Closed},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			near, far := pair(t)
			c.act(near, far)
			time.Sleep(10 * time.Millisecond)
			is.Equal(Look(near), c.want)
			is.Equal(Departed(ConnContext(t.Context(), near)), c.want == Closed)
		})
	}
}

func TestLookDoesNotWaitForAReader(t *testing.T) {
	is := is.New(t)
	near, far := pair(t)
	read := make(chan error, 1)
	go func() {
		_, err := near.Read(make([]byte, 1))
		read <- err
	}()
	time.Sleep(10 * time.Millisecond)
	is.Equal(Look(near), Idle)
	_ = far.Close()
	is.True(<-read != nil)
	is.Equal(Look(near), Closed) // also after another goroutine has read the end
}

func TestConnectionThatIsNoSocket(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	_ = far.Close()
	is.Equal(Look(near), Unknown)
	is.True(!Departed(ConnContext(t.Context(), near)))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(Departed(ended))
}

func TestSinceHeardIsTheTimeSinceTheClose(t *testing.T) {
	is := is.New(t)
	near, far := pair(t)
	time.Sleep(200 * time.Millisecond)
	_ = far.Close()
	time.Sleep(100 * time.Millisecond)
	since, ok := SinceHeard(ConnContext(t.Context(), near))
	is.True(ok)
	is.True(since >= 90*time.Millisecond)
	is.True(since < 190*time.Millisecond)
	_, ok = SinceHeard(t.Context())
	is.True(!ok)
}
