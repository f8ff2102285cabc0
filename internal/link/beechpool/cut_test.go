package beechpool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/beechring/beechring/internal/link/beechanswer"
)

// Guards against an answer without a length that counts as whole though its connection was reset: the kernel reports a
// reset to one call only, and the goroutine that still writes the request may have got it.
func TestAnswerThatAResetEndsIsNotWhole(t *testing.T) {
	for _, size := range []int{0, 8 << 10, 16 << 10, 200 << 10, 1 << 20, 3 << 20} {
		for name, reset := range map[string]func(c net.Conn){
			"reset":       func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) },
			"late reset":  func(c net.Conn) { time.Sleep(20 * time.Millisecond); _ = c.(*net.TCPConn).SetLinger(0) },
			"unread rest": func(net.Conn) {}, // closed with bytes that were not read
		} {
			if size == 0 && name == "unread rest" {
				continue // that is the orderly end of an answer
			}
			t.Run(fmt.Sprintf("%s, %d bytes", name, size), func(t *testing.T) {
				peer, _ := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
					if _, err := http.ReadRequest(r); err == nil {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart")
						reset(c)
					}
				})
				for range 30 {
					if body, err := exchange(t.Context(), newPool(), peer, "a", make([]byte, size)); err == nil {
						t.Fatalf("%q counts as whole", body)
					}
				}
			})
		}
	}
}

// Guards against losing whole answers without a length: those whose server reads the rest of the request, before it closes
// or after it has ended its answer.
func TestAnswerThatAnOrderlyCloseEndsIsWhole(t *testing.T) {
	for _, size := range []int{0, 16 << 10, 1 << 20} {
		for name, end := range map[string]func(c net.Conn, rest io.Reader){
			"read before": func(c net.Conn, rest io.Reader) {
				_, _ = io.Copy(io.Discard, rest)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole")
			},
			"read after": func(c net.Conn, rest io.Reader) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole")
				_ = c.(*net.TCPConn).CloseWrite()
				time.Sleep(5 * time.Millisecond)
				_, _ = io.Copy(io.Discard, rest)
			},
		} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, size), func(t *testing.T) {
				peer, _ := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
					if request, err := http.ReadRequest(r); err == nil {
						end(c, request.Body)
					}
				})
				for range 10 {
					if body, err := exchange(t.Context(), newPool(), peer, "a", make([]byte, size)); err != nil || body != "whole" {
						t.Fatalf("%q, %v", body, err)
					}
				}
			})
		}
	}
}

// Guards against an answer that waits for its request to be written after the context has ended.
func TestAnswerWaitsForTheRequestUntilTheContextEnds(t *testing.T) {
	over := make(chan struct{})
	defer close(over)
	peer, _ := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart")
			_ = c.(*net.TCPConn).CloseWrite()
			<-over
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := exchange(ctx, newPool(), peer, "a", make([]byte, 32<<20))
	if !errors.Is(err, beechanswer.ErrCut) || time.Since(began) > 2*time.Second {
		t.Errorf("%v after %s", err, time.Since(began))
	}
}

// Guards against believing anything of a head, an interim one or a trailer whose status or field names are none of HTTP: a
// length under such a name is lost, and the body is then not its server's.
func TestMalformedHeadsAreNoAnswers(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nId: a\r\n"
	for name, answer := range map[string]string{
		"status 000":               "HTTP/1.1 000 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nab",
		"status 099":               "HTTP/1.1 099 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nab",
		"status 700":               "HTTP/1.1 700 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nab",
		"status 999":               "HTTP/1.1 999 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nab",
		"blank in a name":          sound + "X Odd: 1\r\nContent-Length: 2\r\n\r\nab",
		"blank behind a name":      sound + "X-Odd : 1\r\nContent-Length: 2\r\n\r\nab",
		"blank behind length":      sound + "Content-Length : 2\r\n\r\nabcdefghijk",
		"two lengths":              sound + "Content-Length : 2\r\nContent-Length: 11\r\n\r\nabcdefghijk",
		"blank behind coding":      sound + "Transfer-Encoding : chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"control byte in a name":   sound + "X\x01Odd: 1\r\nContent-Length: 2\r\n\r\nab",
		"blank in an interim head": "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + sound + "Content-Length: 2\r\n\r\nab",
		"blank in a trailer":       sound + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX Odd: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			peer, _ := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
				if _, ok := readRequestID(r); ok {
					_, _ = io.WriteString(c, answer)
				}
			})
			if body, err := exchange(t.Context(), newPool(), peer, "a", nil); err == nil {
				t.Errorf("%q is an answer", body)
			}
		})
	}
}
