package beechentry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An entry that stops closes connections under requests, since it has not told their callers that
// it will.
func TestKeptConnectionsAreUsedUntilTheirCallersAreTold(t *testing.T) {
	is := is.New(t)
	e := newTestEntry(t, newLinkedAgent(t))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Serve(ctx) }()
	var lost, told atomic.Int64
	var callers sync.WaitGroup
	for range 100 {
		callers.Go(func() {
			c, err := net.Dial("tcp", e.listener.Addr().String())
			if err != nil {
				lost.Add(1)
				return
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(testLimit))
			responses := bufio.NewReader(c)
			for {
				_, _ = io.WriteString(c, "GET /unknown HTTP/1.1\r\nHost: h\r\n\r\n")
				response, err := http.ReadResponse(responses, nil)
				if err != nil {
					lost.Add(1)
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				if response.Close {
					told.Add(1)
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	stop()
	callers.Wait()
	is.NoErr(<-ended)
	is.Equal(lost.Load(), int64(0))
	is.Equal(told.Load(), int64(100))
}
