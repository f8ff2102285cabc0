//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"time"
)

type (
	// request is a consumer's request.
	request struct {
		gate, method, host, path, key, body string
		header                              http.Header
		timeLeft                            time.Duration
		patience                            time.Duration // the longest silence; 0: until the time is over
	}

	// reply is what a consumer got.
	reply struct {
		id     string
		status int
		header http.Header
		body   string
		whole  bool // the answer came to its end
		err    error
		took   time.Duration
	}
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request on a new channel and reads the answer.
func send(r request) (p reply) {
	p.id = newID()
	start := time.Now()
	defer func() { p.took = time.Since(start) }()
	c, err := net.DialTimeout("tcp4", r.gate, time.Second)
	if err != nil {
		p.err = err
		return p
	}
	defer c.Close()
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nBeechring-Attempt-Id: %s\r\nBeechring-Deadline-Remaining: %d\r\n", r.method, r.path, r.host, p.id, r.timeLeft.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&head, "Beechring-Key: %s\r\n", r.key)
	}
	_ = r.header.Write(&head)
	if r.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.body))
	}
	head.WriteString("\r\n" + r.body)
	deadline := start.Add(r.timeLeft + 2*time.Second)
	_ = c.SetDeadline(deadline)
	if _, err := io.WriteString(c, head.String()); err != nil {
		p.err = err
		return p
	}
	response, err := http.ReadResponse(bufio.NewReader(&patient{Conn: c, patience: r.patience, deadline: deadline}), &http.Request{Method: r.method})
	if err != nil {
		p.err = err
		return p
	}
	defer response.Body.Close()
	p.status, p.header = response.StatusCode, response.Header
	data, err := io.ReadAll(response.Body)
	p.body, p.err, p.whole = string(data), err, err == nil
	return p
}

// patient is a connection whose reads end after a silence.
type patient struct {
	net.Conn
	patience time.Duration
	deadline time.Time
}

func (p *patient) Read(data []byte) (int, error) {
	if p.patience > 0 {
		until := time.Now().Add(p.patience)
		if until.After(p.deadline) {
			until = p.deadline
		}
		_ = p.SetReadDeadline(until)
	}
	return p.Conn.Read(data)
}

func header(pairs ...string) http.Header {
	h := make(http.Header)
	for i := 0; i+1 < len(pairs); i += 2 {
		h.Set(textproto.CanonicalMIMEHeaderKey(pairs[i]), pairs[i+1])
	}
	return h
}
