//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

func init() { cases["body"] = playBodies }

// channel is a channel that a consumer keeps for many requests.
type channel struct {
	net.Conn
	reader *bufio.Reader
}

func openChannel(gate string) (*channel, error) {
	c, err := net.DialTimeout("tcp4", gate, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{c, bufio.NewReader(c)}, nil
}

// post sends a request with a body and returns the status of its answer, or 0 if there is none in time.
func (c *channel) post(path, key string, size int, timeLeft, wait time.Duration) (status int, took time.Duration, err error) {
	start := time.Now()
	_ = c.SetDeadline(start.Add(wait))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: desk.example\r\nBeechring-Attempt-Id: %s\r\nBeechring-Deadline-Remaining: %d\r\nBeechring-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		path, newID(), timeLeft.Milliseconds(), key, size, strings.Repeat("x", size))
	if err != nil {
		return 0, time.Since(start), err
	}
	p, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, time.Since(start), err
	}
	_, err = io.Copy(io.Discard, p.Body)
	return p.StatusCode, time.Since(start), err
}

// playBodies has a consumer send one large body of legal size at a time, on a channel that it has kept.
func playBodies(l *lab) (string, error) {
	const (
		timeout  = 5 * time.Second // timeoutMs of the route
		slack    = 500 * time.Millisecond
		large    = 2 << 20 // maxBodyBytes is 4,194,304
		small    = 2 << 10
		rounds   = 12
		before   = 60 // small requests on a channel before the one that is judged
		leastBad = 8
	)
	desk := route{name: "r-scan", host: "desk.example", prefix: "/scan/", kind: "non_idempotent", service: "counter", timeoutMs: int(timeout.Milliseconds()), sloMs: 600, attempts: 1, priority: 2}
	l.store.put("op/config", configuration(7, []route{desk}, tenant{name: "desk", keys: []string{"key-desk"}}))
	address, err := freeAddress("127.0.2.1")
	if err != nil {
		return "", err
	}
	e, err := startEngine(engineSettings{address: address, id: "i-counter1"})
	if err != nil {
		return "", err
	}
	go func() { _ = e.serve() }()
	l.store.put("servers/"+e.id, e.entry("counter"))
	g, err := l.newGate(1)
	if err != nil {
		return "", err
	}
	if err := l.startGates(g); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	size := large
	if !l.trouble {
		size = small
	}
	overdue := 0
	for round := range rounds {
		c, err := openChannel(g.front)
		if err != nil {
			return "", err
		}
		if status, took, err := c.post("/scan/new", "key-desk", size, timeout, timeout+slack); status != http.StatusOK {
			return "", fmt.Errorf("a body of %d bytes on a new channel: status %d after %v, %w", size, status, took, err)
		} else if round == 0 {
			l.note("on a new channel: a body of %d bytes is answered %d after %v", size, status, took.Round(time.Millisecond))
		}
		for range before {
			if status, took, err := c.post("/scan/small", "key-desk", 100, timeout, timeout+slack); status != http.StatusOK {
				return "", fmt.Errorf("a small request: status %d after %v, %w", status, took, err)
			}
		}
		status, took, err := c.post("/scan/kept", "key-desk", size, timeout, timeout+slack)
		if status == 0 && os.IsTimeout(err) {
			overdue++
		}
		l.note("round %d, on a channel that had %d requests: a body of %d bytes is answered %d after %v, error %v", round, before+1, size, status, took.Round(time.Millisecond), err)
		_ = c.Close()
	}
	l.note("%d of %d requests had no answer %v after their route's timeoutMs", overdue, rounds, slack)
	if overdue >= leastBad {
		return fmt.Sprintf("CONFIG: %d of %d requests, one at a time and in calm, had no final answer 0.5 s after their route's timeoutMs", overdue, rounds), nil
	}
	return "", nil
}
