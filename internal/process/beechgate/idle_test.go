package beechgate

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// countedConn counts how often it is closed.
type countedConn struct {
	net.Conn
	closed atomic.Int32
}

func (c *countedConn) Close() error {
	c.closed.Add(1)
	return nil
}

// Operators change how long a caller's connection may be idle. With the bound of
// the start, a caller that may still use its connection finds it closed just as
// it sends, and does not know whether its request was read.
func TestIdleConnectionsFollowTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limit := 10 * time.Second
		d := newIdlers(clockwork.NewRealClock(), func() time.Duration { return limit })
		c := &countedConn{}
		d.state(c, http.StateNew)
		d.state(c, http.StateActive)
		d.state(c, http.StateIdle)
		limit = 30 * time.Second
		time.Sleep(8 * time.Second)
		d.state(c, http.StateActive) // used again
		time.Sleep(time.Minute)      // a long answer is not idleness
		d.state(c, http.StateIdle)
		time.Sleep(29 * time.Second)
		is.Equal(c.closed.Load(), int32(0))
		time.Sleep(2 * time.Second)
		is.Equal(c.closed.Load(), int32(1))
		d.state(c, http.StateClosed)
		is.Equal(len(d.timers), 0)
	})
}
