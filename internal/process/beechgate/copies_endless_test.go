package beechgate

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCopyWithoutEndIsBounded guards against copies of other gates that are kept as long as they come, compressed ones
// included.
func TestCopyWithoutEndIsBounded(t *testing.T) {
	var packed bytes.Buffer // much smaller than what it holds
	zipped := gzip.NewWriter(&packed)
	_, err := io.CopyN(zipped, zeros{}, 8<<20)
	if err != nil || zipped.Flush() != nil {
		t.Fatal("cannot compress")
	}
	for name, form := range map[string][2]string{
		"field":      {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"interim":    {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"unframed":   {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"length":     {"HTTP/1.1 200 OK\r\nContent-Length: 4611686018427387904\r\n\r\n", "x"},
		"chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n"},
		"failure":    {"HTTP/1.1 503 Service Unavailable\r\n\r\n", "x"},
		"compressed": {"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n", packed.String()},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			var sent atomic.Int64
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_, err = io.WriteString(c, form[0])
				for piece := bytes.Repeat([]byte(form[1]), max(1, 16<<10/len(form[1]))); err == nil; {
					var n int
					n, err = c.Write(piece)
					sent.Add(int64(n))
				}
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			_, err = newCopies(netip.MustParseAddrPort("127.0.0.1:0")).fetch(ctx, netip.MustParseAddrPort(l.Addr().String()), "prefix/")
			is.True(err != nil)
			is.NoErr(ctx.Err())
			is.True(sent.Load() < 2*maxCopyBytes+6<<20) // with the framing of small chunks and the kernel's buffers
		})
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
