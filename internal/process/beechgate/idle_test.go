package beechgate

import (
	"io"
	"net"
	"net/http"
	"strings"
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
