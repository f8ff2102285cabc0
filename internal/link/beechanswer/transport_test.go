package beechanswer

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// serve answers each connection's first request, of which it reads the head, with an answer, and ends it.
func serve(t *testing.T, answer string, end func(c *net.TCPConn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = io.WriteString(c, answer)
					end(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

func post(url string, size int) (string, error) {
	base := &http.Transport{DisableCompression: true}
	defer base.CloseIdleConnections()
	client := &http.Client{Transport: Transport(base), Timeout: 5 * time.Second}
	response, err := client.Post(url, "text/plain", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// Guards against an answer without a length that counts as whole though its connection was reset under the upload.
func TestAnswerThatAResetEndsUnderAnUploadIsNotWhole(t *testing.T) {
	for _, size := range []int{200 << 10, 1 << 20, 3 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			url := serve(t, "HTTP/1.1 200 OK\r\n\r\npart", func(c *net.TCPConn, _ *bufio.Reader) { _ = c.SetLinger(0) })
			for range 30 {
				if body, err := post(url, size); err == nil {
					t.Fatalf("%q counts as whole", body)
				}
			}
		})
	}
}

// Guards against losing whole answers without a length.
func TestAnswerThatAnOrderlyCloseEndsIsWhole(t *testing.T) {
	for _, size := range []int{0, 16 << 10} {
		url := serve(t, "HTTP/1.1 200 OK\r\n\r\nwhole", func(_ *net.TCPConn, r *bufio.Reader) { _, _ = io.CopyN(io.Discard, r, int64(size)) })
		for range 10 {
			if body, err := post(url, size); err != nil || body != "whole" {
				t.Fatalf("%d bytes: %q, %v", size, body, err)
			}
		}
	}
}

// Guards against answers of net/http's transport whose status or field names are none of HTTP.
func TestTransportRejectsMalformedHeads(t *testing.T) {
	for name, answer := range map[string]string{
		"status":  "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nab",
		"name":    "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nabcdefghijk",
		"interim": "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
		"trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX Odd: 1\r\n\r\n",
	} {
		if body, err := post(serve(t, answer, func(*net.TCPConn, *bufio.Reader) {}), 0); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %q, %v", name, body, err)
		}
	}
	if body, err := post(serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", func(*net.TCPConn, *bufio.Reader) {}), 0); err != nil || body != "ab" {
		t.Errorf("%q, %v", body, err)
	}
}
