//go:build review

// Engine stands in for a model engine as a process of its own. It writes what it does to its standard
// output, a line each: begun ID, ended ID EVENTS, draining, exits.
//
// Its answers have neither a length nor chunks and end with their channel. On SIGTERM it drains: from then
// on all its answers have Server-Leaving: 1, it serves for -drain and -linger longer, and then it exits.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type engine struct {
	id      string
	model   string
	slots   int32
	first   time.Duration
	gap     time.Duration
	running atomic.Int32
	leaving atomic.Bool
	out     sync.Mutex
}

func main() {
	e := &engine{}
	listen := flag.String("listen", "", "IP:PORT")
	flag.StringVar(&e.id, "id", "", "of this lifetime")
	flag.StringVar(&e.model, "model", "", "that it serves, at version 1")
	slots := flag.Int("slots", 48, "requests at once")
	flag.DurationVar(&e.first, "first", 300*time.Millisecond, "until the first event")
	flag.DurationVar(&e.gap, "gap", 80*time.Millisecond, "between two events")
	drain := flag.Duration("drain", 2*time.Second, "drainMs")
	linger := flag.Duration("linger", 1500*time.Millisecond, "a little longer")
	flag.Parse()
	e.slots = int32(*slots)
	l, err := net.Listen("tcp4", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	terms := make(chan os.Signal, 1)
	signal.Notify(terms, syscall.SIGTERM)
	go func() {
		<-terms
		e.leaving.Store(true)
		e.say("draining")
		time.Sleep(*drain + *linger)
		e.say("exits")
		os.Exit(0) // the kernel closes its channels
	}()
	e.say("listening")
	for {
		c, err := l.Accept()
		if err != nil {
			os.Exit(2)
		}
		go e.serve(c)
	}
}

func (e *engine) say(format string, args ...any) {
	e.out.Lock()
	defer e.out.Unlock()
	fmt.Printf(format+"\n", args...)
}

// serve serves one request after the other on a channel.
func (e *engine) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		switch {
		case r.URL.Path == "/beechring/report":
			e.reply(c, 200, nil, map[string]any{
				"stage": "colocated", "models": []any{map[string]any{"name": e.model, "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0,
				"waiting": 0, "running": e.running.Load(), "kvUsed": 0, "kvTotal": 90000, "handles": 0,
			})
		case r.URL.Path == "/beechring/kv-events":
			wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
			time.Sleep(time.Duration(wait) * time.Millisecond)
			e.reply(c, 200, nil, map[string]any{"bootEpoch": 1, "next": 0, "lost": false, "events": []any{}})
		case r.URL.Path == "/beechring/kv-list":
			e.reply(c, 200, nil, map[string]any{"bootEpoch": 1, "next": 0, "held": []any{}})
		case r.URL.Path == "/health":
			e.reply(c, 200, []string{"Beechring-Instance-Id: " + e.id, "Beechring-Server-Load: " + e.load()}, nil)
		default:
			if !e.request(c, r) {
				return
			}
		}
	}
}

// reply answers with a length and keeps the channel.
func (e *engine) reply(c net.Conn, status int, headers []string, document any) {
	body := []byte{}
	if document != nil {
		body, _ = json.Marshal(document)
		headers = append(headers, "Content-Type: application/json")
	}
	if e.leaving.Load() {
		headers = append(headers, "Server-Leaving: 1")
	}
	headers = append(headers, fmt.Sprint("Content-Length: ", len(body)))
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s\r\n\r\n%s", status, http.StatusText(status), strings.Join(headers, "\r\n"), body)
}

func (e *engine) load() string { return fmt.Sprintf("%d,0,%d", e.running.Load(), e.slots) }

// request runs a stream of as many events as Beechring-Token-Usage allows output tokens, and reports
// whether the channel is kept.
func (e *engine) request(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Beechring-Attempt-Id")
	echo := "Beechring-Attempt-Id: " + id
	if want := r.Header.Get("Beechring-Expect-Instance"); want != "" && want != e.id {
		e.reply(c, 421, []string{echo, "Beechring-Instance-Id: " + e.id}, nil)
		return true
	}
	if want := r.Header.Get("Beechring-Expect-Version"); want != "" && want != "1" {
		e.reply(c, 421, []string{echo, "Beechring-Weight-Versions: 1"}, nil)
		return true
	}
	if id == "" || e.running.Load() >= e.slots {
		e.reply(c, 503, []string{echo, "Beechring-Not-Executed: 1", "Beechring-Server-Load: " + e.load()}, nil)
		return true
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	_, output, _ := strings.Cut(r.Header.Get("Beechring-Token-Usage"), ",")
	events, _ := strconv.Atoi(output)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	time.Sleep(e.first)
	headers := []string{
		"Content-Type: text/event-stream", "Connection: close", echo, "Beechring-Response-Seal: seal." + e.id + "." + id,
		"Beechring-Weight-Versions: 1", "Beechring-Server-Load: " + e.load(),
	}
	leaving := e.leaving.Load()
	if leaving {
		headers = append(headers, "Server-Leaving: 1")
	}
	e.say("begun %s leaving=%v", id, leaving)
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n", strings.Join(headers, "\r\n")); err != nil {
		e.say("left %s 0", id)
		return false
	}
	for n := after + 1; n <= events; n++ {
		if _, err := fmt.Fprintf(c, "id: %d\ndata: piece %d of %d\n\n", n, n, events); err != nil {
			e.say("left %s %d", id, n-1)
			return false
		}
		if n < events {
			time.Sleep(e.gap)
		}
	}
	e.say("ended %s %d", id, events)
	return false
}
