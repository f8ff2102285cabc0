package beechgate

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// deadlineConn counts how often the wait for its next request was ended.
type deadlineConn struct {
	net.Conn
	expired atomic.Int32
}

func (c *deadlineConn) SetReadDeadline(at time.Time) error {
	if at.Before(time.Now()) {
		c.expired.Add(1)
	}
	return nil
}

// Operators change the idle timeout at runtime. With the initial timeout, a connection could
// be closed just as a caller sends a request, and the caller could not know whether the
// request was read.
func TestIdleTimeoutFollowsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limit := 10 * time.Second
		d := newIdleTimeouts(clockwork.NewRealClock(), func() time.Duration { return limit })
		c := &deadlineConn{}
		d.trackState(c, http.StateNew)
		d.trackState(c, http.StateActive)
		d.trackState(c, http.StateIdle)
		limit = 30 * time.Second
		time.Sleep(8 * time.Second)
		d.trackState(c, http.StateActive) // used again
		time.Sleep(time.Minute)           // a long response does not count as idle
		d.trackState(c, http.StateIdle)
		time.Sleep(29 * time.Second)
		is.Equal(c.expired.Load(), int32(0))
		time.Sleep(2 * time.Second)
		is.Equal(c.expired.Load(), int32(1))
		d.trackState(c, http.StateClosed)
		is.Equal(len(d.timers), 0)
	})
}

// On a real connection, a request within the timeout is answered, and the connection is closed
// after the timeout.
func TestIdleConnectionIsClosedAfterTimeout(t *testing.T) {
	is := is.New(t)
	d := newIdleTimeouts(clockwork.NewRealClock(), func() time.Duration { return 150 * time.Millisecond })
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: http.NotFoundHandler(), ConnState: d.trackState, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	c, err := net.Dial("tcp4", listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	is.NoErr(err)
	answer, err := io.ReadAll(c) // until the connection is closed
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer), "HTTP/1.1 404"))
}
