package beechsocket

import (
	"context"
	"crypto/tls"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// newWatcher returns a watcher that runs until the test ends.
func newWatcher(t *testing.T) *Watcher {
	t.Helper()
	w, err := NewWatcher(clockwork.NewRealClock())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { _ = w.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended; _ = w.Close() })
	return w
}

// watchedPair returns a watched connection and its peer.
func watchedPair(t *testing.T, w *Watcher) (near net.Conn, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := w.Listen(l).Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close(); _ = accepted.Close() })
	return accepted, dialed.(*net.TCPConn)
}

func TestWatcherNoticesDepartures(t *testing.T) {
	w := newWatcher(t)
	for _, bytes := range []string{"", "G", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
		for _, way := range []struct {
			name  string
			leave func(c *net.TCPConn)
		}{
			{"closed", func(c *net.TCPConn) { _ = c.Close() }},
			{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }},
			{"half closed", func(c *net.TCPConn) { _ = c.CloseWrite() }},
		} {
			t.Run(way.name+" behind "+bytes, func(t *testing.T) {
				is := is.New(t)
				near, far := watchedPair(t, w)
				ctx := ConnContext(t.Context(), near)
				called := make(chan bool, 2)
				AfterDeparture(ctx, func() { called <- ctx.Err() == nil })
				_, _ = far.Write([]byte(bytes))
				time.Sleep(2 * pollInterval)
				is.Equal(len(called), 0)
				is.NoErr(ctx.Err())
				way.leave(far)
				select {
				case first := <-called:
					is.True(first) // before the context ends
				case <-time.After(5 * pollInterval):
					t.Fatal("not noticed")
				}
				<-ctx.Done()
				is.True(Departed(ctx))
				stop := AfterDeparture(ctx, func() { called <- true })
				is.True(<-called) // at once
				is.True(!stop())
			})
		}
	}
}

func TestStoppedCallbackIsNotCalled(t *testing.T) {
	is := is.New(t)
	near, far := watchedPair(t, newWatcher(t))
	ctx := ConnContext(t.Context(), near)
	stop := AfterDeparture(ctx, func() { t.Error("called") })
	is.True(stop())
	is.True(!stop())
	_ = far.Close()
	<-ctx.Done()
}

func TestClosedConnectionIsForgotten(t *testing.T) {
	is := is.New(t)
	w := newWatcher(t)
	near, _ := watchedPair(t, w)
	ctx := ConnContext(t.Context(), near)
	is.NoErr(near.Close())
	is.True(ctx.Err() != nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	is.Equal(len(w.watched), 0)
}

func TestManyDeparturesAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWatcher(t)
	var contexts []context.Context
	var peers []*net.TCPConn
	for range 2*maxEvents + 10 {
		near, far := watchedPair(t, w)
		contexts, peers = append(contexts, ConnContext(t.Context(), near)), append(peers, far)
	}
	for _, far := range peers {
		_ = far.Close()
	}
	for _, ctx := range contexts {
		select {
		case <-ctx.Done():
		case <-time.After(5 * pollInterval):
			t.Fatal("not noticed")
		}
	}
	is.Equal(len(contexts), len(peers))
}

func TestConnectionUnderTLSIsWatched(t *testing.T) {
	is := is.New(t)
	near, far := watchedPair(t, newWatcher(t))
	ctx := ConnContext(t.Context(), tls.Server(near, &tls.Config{}))
	_, _ = far.Write([]byte("what cannot be read without the key"))
	_ = far.Close()
	select {
	case <-ctx.Done():
	case <-time.After(5 * pollInterval):
		t.Fatal("not noticed")
	}
	is.True(Departed(ctx))
}

func TestConnectionThatIsNotWatched(t *testing.T) {
	is := is.New(t)
	near, far := pair(t)
	ctx := ConnContext(t.Context(), near)
	stop := AfterDeparture(ctx, func() { t.Error("called") })
	_ = far.Close()
	time.Sleep(3 * pollInterval)
	is.True(Departed(ctx))
	is.True(stop())
}

func benchmarkAccept(b *testing.B, listen func(net.Listener) net.Listener) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer inner.Close()
	l := listen(inner)
	b.ReportAllocs()
	for b.Loop() {
		far, err := net.Dial("tcp4", inner.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		near, err := l.Accept()
		if err != nil {
			b.Fatal(err)
		}
		_ = ConnContext(context.Background(), near)
		_ = near.Close()
		_ = far.Close()
	}
}

func BenchmarkAccept(b *testing.B) {
	b.Run("plain", func(b *testing.B) { benchmarkAccept(b, func(l net.Listener) net.Listener { return l }) })
	b.Run("watched", func(b *testing.B) {
		w, err := NewWatcher(clockwork.NewRealClock())
		if err != nil {
			b.Fatal(err)
		}
		defer w.Close()
		benchmarkAccept(b, w.Listen)
	})
}
