package beechbackend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCancelledRequestIsReset guards against a server that reads late and takes a cancelled request
// for a whole one.
func TestCancelledRequestIsReset(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	cancelled, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer c.Close()
		<-cancelled
		time.Sleep(20 * time.Millisecond)
		_, err = io.Copy(io.Discard, bufio.NewReader(c))
		ended <- err
	}()
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Addr().String()+"/x", nil)
	is.NoErr(err)
	response, err := NewClient(time.Second).Do(r)
	if err == nil {
		_ = response.Body.Close()
	}
	is.True(errors.Is(err, context.Canceled))
	close(cancelled)
	is.True(errors.Is(<-ended, syscall.ECONNRESET))
}
