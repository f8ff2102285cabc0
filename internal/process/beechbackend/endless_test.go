package beechbackend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// repeated repeats a text without end, and counts what was taken.
type repeated struct {
	text  string
	taken int
}

func (r *repeated) Read(p []byte) (int, error) {
	n := 0
	for n+len(r.text) <= len(p) {
		n += copy(p[n:], r.text)
	}
	r.taken += n
	return n, nil
}

// TestLinesWithoutEventsAreBounded guards against a stream whose lines complete no event and are read until its
// caller gives up.
func TestLinesWithoutEventsAreBounded(t *testing.T) {
	for name, text := range map[string]string{"comments": ": x\n", "blank lines": "\n", "unknown fields": "x: y\n\n", "names": "event: x\n", "no line end": "x", "data": "data: x\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			stream := &repeated{text: text}
			events := NewEventReader(io.MultiReader(strings.NewReader("data: first\n\n"), stream), DefaultEventLimit)
			first, err := events.Next()
			is.NoErr(err)
			is.Equal(string(first.Data), "first")
			_, err = events.Next()
			is.True(errors.Is(err, ErrEventTooLong))
			is.True(stream.taken <= 2*DefaultEventLimit+2*eventBufferSize)
		})
	}
}

// TestHeadWithoutEndIsBounded guards against a server's head that is collected until the caller gives up.
func TestHeadWithoutEndIsBounded(t *testing.T) {
	for name, form := range map[string][2]string{"field": {"HTTP/1.1 200 OK\r\nX: ", "x"}, "fields": {"HTTP/1.1 200 OK\r\n", "X: x\r\n"}, "interim": {"", "HTTP/1.1 102 Processing\r\n\r\n"}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			peer, sent := sendWithoutEnd(t, form[0], form[1])
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			server := newServerClient(peer, NewClient(time.Second))
			err := server.callJSON(ctx, "read load", http.MethodGet, "/load", nil, nil)
			is.True(err != nil)
			is.NoErr(ctx.Err())
			is.True(<-sent < 8<<20) // with the kernel's buffers
		})
	}
}

// sendWithoutEnd answers one request with begin and then repeats a piece until the connection is closed. It then
// reports how many bytes it could send.
func sendWithoutEnd(t *testing.T, begin, repeat string) (netip.AddrPort, <-chan int) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	sent := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, begin)
		total := 0
		for piece := strings.Repeat(repeat, 1000); ; {
			n, err := io.WriteString(c, piece)
			if total += n; err != nil {
				sent <- total
				return
			}
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), sent
}

// TestReplyWithoutEndIsNoReply guards against replies to an agent's calls that take its memory, and against orders that
// count as taken since nobody looks at their reply.
func TestReplyWithoutEndIsNoReply(t *testing.T) {
	const head = "HTTP/1.1 202 Accepted\r\n"
	for name, form := range map[string][2]string{
		"unframed": {head + "\r\n", "x"}, "length": {head + "Content-Length: 4611686018427387904\r\n\r\n", "x"},
		"chunk": {head + "Transfer-Encoding: chunked\r\n\r\n4000000000000000\r\n", "x"}, "chunks": {head + "Transfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n"},
		"trailers": {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n"}, "extension": {head + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			peer, sent := sendWithoutEnd(t, form[0], form[1])
			engine := NewOpenAI(peer, NewClient(time.Second))
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			err := engine.Order(ctx, Order{})
			is.True(err != nil)
			is.NoErr(ctx.Err())
			is.True(<-sent < 8<<20) // with the kernel's buffers
		})
	}
}
