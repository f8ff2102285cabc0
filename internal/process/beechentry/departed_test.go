package beechentry

import (
	"bytes"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCompletionsOfDepartedCallersAreNotSent guards against sending a request to an agent whose
// caller closed before it was read.
func TestCompletionsOfDepartedCallersAreNotSent(t *testing.T) {
	is := is.New(t)
	a := newLinkedAgent(t)
	close(a.release)
	e := newTestEntry(t, a)
	serveTestEntry(t, e)
	waitUntil(t, "an answer", func() bool {
		status, _, err := sendCompletion(t.Context(), e, "")
		return err == nil && status == http.StatusOK
	})
	before := a.opened.Load()
	for range 200 {
		request, err := newCompletion(t.Context(), e)
		is.NoErr(err)
		var text bytes.Buffer
		is.NoErr(request.Write(&text))
		sendAndClose(t, e.listener.Addr().String(), text.Bytes())
	}
	time.Sleep(500 * time.Millisecond)
	is.Equal(a.opened.Load()-before, int32(0))
}

// TestBytesBeyondACompletionDoNotHideADeparture guards against streams that go on since their callers
// have sent bytes beyond their requests before they left.
func TestBytesBeyondACompletionDoNotHideADeparture(t *testing.T) {
	for _, extra := range []string{"", "G", "\r\n", "GET /next HTTP/1.1\r\nHost: h\r\n\r\n"} {
		for _, way := range []struct {
			name  string
			leave func(c *net.TCPConn)
		}{
			{"closed", func(c *net.TCPConn) { _ = c.Close() }},
			{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }},
			{"half closed", func(c *net.TCPConn) { _ = c.CloseWrite() }},
		} {
			t.Run(way.name+" behind "+extra, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				a := newLinkedAgent(t)
				close(a.release)
				e := newTestEntry(t, a)
				serveTestEntry(t, e)
				waitUntil(t, "an answer", func() bool {
					status, _, err := sendCompletion(t.Context(), e, "")
					return err == nil && status == http.StatusOK
				})
				a.silent.Store(true)
				t.Cleanup(func() { close(a.quit) })
				before := a.opened.Load()
				request, err := newCompletion(t.Context(), e)
				is.NoErr(err)
				connection, err := net.Dial("tcp", e.listener.Addr().String())
				is.NoErr(err)
				defer connection.Close()
				is.NoErr(request.Write(connection))
				waitUntil(t, "the stream is open", func() bool { return a.opened.Load() > before })
				_, err = connection.Write([]byte(extra))
				is.NoErr(err)
				time.Sleep(100 * time.Millisecond)
				way.leave(connection.(*net.TCPConn))
				select {
				case <-a.ended:
				case <-time.After(500 * time.Millisecond):
					t.Fatal("the stream goes on")
				}
			})
		}
	}
}

// sendAndClose sends the end of a request and the close of its connection in one segment.
func sendAndClose(t *testing.T, address string, request []byte) {
	is := is.New(t)
	connection, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer connection.Close()
	last := len(request) - 1
	_, err = connection.Write(request[:last])
	is.NoErr(err)
	raw, err := connection.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_CORK, 1)
	}))
	is.NoErr(err)
	_, err = connection.Write(request[last:])
	is.NoErr(err)
}
