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
	"sync"
	"sync/atomic"
	"syscall"
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

// allowance has a process run for a share of each tenth of a second, until the returned function is called.
func (p *process) allowance(share float64) (end func()) {
	const slice = 100 * time.Millisecond
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			p.signal(syscall.SIGCONT)
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(share * float64(slice))):
			}
			p.signal(syscall.SIGSTOP)
			time.Sleep(slice - time.Duration(share*float64(slice)))
		}
	}()
	return func() {
		close(stop)
		<-ended
	}
}

// playBodies has consumers send large bodies of legal size, on channels that have carried short requests while the gate had
// the processor for a share of the time.
func playBodies(l *lab) (string, error) {
	const (
		timeout   = 5 * time.Second // timeoutMs of the route
		slack     = 500 * time.Millisecond
		large     = 2 << 20 // maxBodyBytes is 4,194,304
		small     = 2 << 10
		consumers = 12
		busy      = 6 * time.Second // short requests
		atOnce    = 6               // large bodies, all of which the gate has memory for
		leastBad  = 8
		contact   = 3500 * time.Millisecond // contactMs is 3,000
	)
	desk := route{name: "r-scan", host: "desk.example", prefix: "/scan/", kind: "non_idempotent", service: "counter", timeoutMs: int(timeout.Milliseconds()), sloMs: 600, attempts: 1, priority: 2}
	l.store.put("op/config", configuration(7, []route{desk}, tenant{name: "desk", keys: []string{"key-desk"}}))
	var ran lines
	address, err := freeAddress("127.0.2.1")
	if err != nil {
		return "", err
	}
	e, err := startEngine(engineSettings{address: address, id: "i-counter1"})
	if err != nil {
		return "", err
	}
	e.hook = func(_ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path != "/scan/short" {
			_, _ = fmt.Fprintf(&ran, "%s runs %s %s\n", e.id, r.Header.Get("Beechring-Attempt-Id"), r.URL.Path)
		}
		return false
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
	var channels []*channel
	for range consumers {
		c, err := openChannel(g.front)
		if err != nil {
			return "", err
		}
		channels = append(channels, c)
	}
	// all sends a body on each channel, some at once, and returns how many got no answer in time.
	all := func(what, path string) (overdue, served int) {
		var group sync.WaitGroup
		var late, whole atomic.Int64
		for n, c := range channels {
			if n%atOnce == 0 {
				group.Wait()
			}
			group.Go(func() {
				status, took, err := c.post(path, "key-desk", size, timeout, timeout+slack)
				l.note("%s, channel %d: a body of %d bytes is answered %d after %v, error %v", what, n, size, status, took.Round(time.Millisecond), err)
				switch {
				case status == 0 && os.IsTimeout(err):
					late.Add(1)
				case status == http.StatusOK:
					whole.Add(1)
				}
			})
		}
		group.Wait()
		return int(late.Load()), int(whole.Load())
	}
	if _, served := all("new channels", "/scan/new"); served < consumers {
		return "", fmt.Errorf("%d of %d bodies were not answered on new channels", consumers-served, consumers)
	}
	end := g.allowance(0.304)
	var group sync.WaitGroup
	var short, failed atomic.Int64
	for _, c := range channels {
		group.Go(func() {
			for begun := time.Now(); time.Since(begun) < busy; short.Add(1) {
				if status, _, err := c.post("/scan/short", "key-desk", 100, timeout, timeout+slack); status != http.StatusOK {
					l.note("a short request: status %d, %v", status, err)
					failed.Add(1)
					return
				}
			}
		})
	}
	group.Wait()
	end()
	l.note("%d short requests were answered on the %d channels, %d failed", short.Load(), consumers, failed.Load())
	if failed.Load() > 0 {
		return "", fmt.Errorf("%d short requests failed", failed.Load())
	}
	time.Sleep(contact)
	overdue, _ := all("kept channels", "/scan/kept")
	for _, line := range ran.all() {
		l.note("engine: %s", line)
	}
	l.note("%d of %d requests had no answer %v after their route's timeoutMs", overdue, consumers, slack)
	if overdue >= leastBad {
		return fmt.Sprintf("CONFIG: %d of %d requests had no final answer 0.5 s after their route's timeoutMs", overdue, consumers), nil
	}
	return "", nil
}
