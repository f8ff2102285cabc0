package beechgate

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// On a real connection, a request within the timeout is answered, and the connection is closed
// after the timeout.
func TestIdleConnectionIsClosedAfterTimeout(t *testing.T) {
	is := is.New(t)
	g := serveCallers(t, 150*time.Millisecond, nil, func(s *http.Server) { s.Handler = http.NotFoundHandler() })
	c, err := net.Dial("tcp4", g.address)
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
	began := time.Now()
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	is.NoErr(err)
	answer, err := io.ReadAll(c) // until the connection is closed
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer), "HTTP/1.1 404"))
	is.True(time.Since(began) >= 150*time.Millisecond)
}

// A connection goes on by an idle timeout that is no longer in force.
func TestLoweredIdleTimeoutHoldsForIdleConnections(t *testing.T) {
	is := is.New(t)
	g := serveCallers(t, time.Minute, nil, nil)
	kept := g.keep(t, 10)
	time.Sleep(300 * time.Millisecond)
	g.setIdleTimeout(200 * time.Millisecond)
	lowered := time.Now()
	for _, k := range kept {
		_, err := k.responses.ReadByte()
		is.Equal(err, io.EOF)
	}
	is.True(time.Since(lowered) >= 200*time.Millisecond) // callers may have relied on the longer one until now
	is.True(time.Since(lowered) < 5*time.Second)
	is.Equal(g.connections.Counts().Closed["idle"], int64(len(kept)))
}

// Callers use connections that were idle for up to four fifths of a timeout that changes.
func TestConnectionsAreUsedAtFourFifthsOfAChangingTimeout(t *testing.T) {
	is := is.New(t)
	timeouts := []time.Duration{400 * time.Millisecond, 1500 * time.Millisecond, 100 * time.Millisecond, 800 * time.Millisecond}
	g := serveCallers(t, timeouts[0], nil, nil)
	kept := g.keep(t, 50)
	end := time.Now().Add(6 * time.Second)
	var requests, lost atomic.Int64
	var callers sync.WaitGroup
	for _, k := range kept {
		callers.Go(func() {
			for time.Now().Before(end) {
				since := time.Now()
				for time.Since(since) < g.idleTimeout()*4/5 {
					time.Sleep(time.Millisecond)
				}
				k.send(plainRequest)
				requests.Add(1)
				if !k.answered() {
					lost.Add(1)
					return
				}
			}
		})
	}
	for i := 1; time.Now().Before(end); i++ {
		time.Sleep(time.Duration(150+130*(i%5)) * time.Millisecond)
		g.setIdleTimeout(timeouts[i%len(timeouts)])
	}
	callers.Wait()
	t.Log(requests.Load(), "requests")
	is.Equal(lost.Load(), int64(0))
}
