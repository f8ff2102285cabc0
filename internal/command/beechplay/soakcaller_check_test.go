package beechplay

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCallerTellsUnreadRequests guards against lost requests that are taken for requests that no process read.
func TestCallerTellsUnreadRequests(t *testing.T) {
	for _, test := range []struct {
		name  string
		serve func(c net.Conn)
		want  outcome
	}{
		{"read", func(c net.Conn) { _, _ = http.ReadRequest(bufio.NewReader(c)); drain(c); _ = c.Close() }, unanswered},
		{"unread", func(c net.Conn) { time.Sleep(50 * time.Millisecond); _ = c.Close() }, unread},
		{"closed before", func(c net.Conn) { _ = c.Close() }, unsent},
		{"part of an answer", func(c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			drain(c)
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nid: 1\r\n"))
			_ = c.Close()
		}, cut},
		{"silence", func(c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nid: 1\r\n"))
		}, stalled},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			accepted := make(chan net.Conn, 1) // keeps the connection from being collected, and closed
			defer func() { _ = (<-accepted).Close() }()
			go func() {
				if c, err := l.Accept(); err == nil {
					accepted <- c
					test.serve(c)
				}
			}()
			c, err := dialGate(l.Addr().String())
			is.NoErr(err)
			defer c.conn.Close()
			time.Sleep(20 * time.Millisecond)
			x := &exchange{id: "x", path: "/check/"}
			c.send(x, x.requestFor(l.Addr().String(), Key, time.Second), 100*time.Millisecond)
			is.Equal(x.outcome, test.want)
		})
	}
}

// drain reads what has arrived.
func drain(c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, _ = c.Read(make([]byte, 1024))
}

// TestCallerTellsCrossingRequests guards against requests to a closed connection that are taken for lost ones.
func TestCallerTellsCrossingRequests(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	c, err := dialGate(l.Addr().String())
	is.NoErr(err)
	defer c.conn.Close()
	accepted, err := l.Accept()
	is.NoErr(err)
	_ = accepted.Close()
	time.Sleep(20 * time.Millisecond)
	_, err = c.conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	is.NoErr(err)
	_, err = http.ReadResponse(c.reader, nil)
	is.Equal(c.failure(err, unanswered), unread)
}
