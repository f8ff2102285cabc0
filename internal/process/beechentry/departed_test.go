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
