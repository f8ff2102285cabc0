//go:build review

package main

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// engineSettings describe a stand-in of an engine.
	engineSettings struct {
		address  string
		id       string
		model    string
		version  uint64
		events   int           // of a stream
		interval time.Duration // between two
		unframed bool          // streams have neither a length nor chunks
		log      io.Writer     // gets a line for each run and its end
	}

	// engine is a stand-in of an engine that follows the users' pages.
	engine struct {
		engineSettings
		born     int64
		running  atomic.Int64
		listener net.Listener

		mu    sync.Mutex
		hook  func(w http.ResponseWriter, r *http.Request) bool // may take a request over
		calls int
	}
)

func runEngineProcess(arguments []string) error {
	var s engineSettings
	flags := flag.NewFlagSet("engine", flag.ContinueOnError)
	flags.StringVar(&s.address, "listen", "", "address")
	flags.StringVar(&s.id, "id", "", "id of this lifetime")
	flags.StringVar(&s.model, "model", "", "model; empty: a plain service")
	flags.Uint64Var(&s.version, "version", 1, "version of the weights")
	flags.IntVar(&s.events, "events", 20, "events of a stream")
	flags.DurationVar(&s.interval, "interval", 100*time.Millisecond, "between two events")
	flags.BoolVar(&s.unframed, "unframed", false, "streams end with their channel")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	s.log = os.Stdout
	e, err := startEngine(s)
	if err != nil {
		return err
	}
	return e.serve()
}

func startEngine(s engineSettings) (*engine, error) {
	listener, err := net.Listen("tcp4", s.address)
	if err != nil {
		return nil, err
	}
	if s.log == nil {
		s.log = io.Discard
	}
	return &engine{engineSettings: s, born: time.Now().UnixMilli(), listener: listener}, nil
}

func (e *engine) serve() error { return http.Serve(e.listener, e) }

// entry is what the engine registers in the store.
func (e *engine) entry(service string) map[string]any {
	models := []map[string]any{}
	if e.model != "" {
		models = append(models, map[string]any{"name": e.model, "version": e.version, "adapters": []string{}})
	}
	return map[string]any{
		"service": service, "address": e.address, "zone": "mill-a", "version": "v1", "slots": 48, "state": "ready", "coldLeftMs": 0,
		"stage": "colocated", "models": models, "sequence": 0, "born": e.born,
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Beechring-Server-Load", fmt.Sprintf("%d,0,48", e.running.Load()))
	w.Header().Set("Beechring-Instance-Id", e.id)
	switch {
	case r.URL.Path == "/beechring/report":
		models := []map[string]any{}
		if e.model != "" {
			models = append(models, map[string]any{"name": e.model, "version": e.version, "adapters": []string{}})
		}
		respond(w, map[string]any{
			"stage": "colocated", "models": models, "busy": false, "sequence": 0, "born": e.born, "waiting": 0, "running": e.running.Load(),
			"kvUsed": 0, "kvTotal": 100000, "handles": 0,
		})
	case r.URL.Path == "/beechring/kv-events":
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		respond(w, map[string]any{"bootEpoch": e.born, "next": 0, "lost": false, "events": []any{}})
	case r.URL.Path == "/beechring/kv-list":
		respond(w, map[string]any{"bootEpoch": e.born, "next": 0, "held": []any{}})
	case r.URL.Path == "/health":
		w.WriteHeader(http.StatusOK)
	default:
		e.serveRequest(w, r)
	}
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Beechring-Attempt-Id")
	w.Header().Set("Beechring-Attempt-Id", id)
	if expected := r.Header.Get("Beechring-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Beechring-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(e.log, "%s runs %s %s body %d tenant %q salt %q fetch %q\n", e.id, id, r.URL.Path, len(body), r.Header.Get("Beechring-Tenant"), r.Header.Get("Beechring-Cache-Salt"), r.Header.Get("Beechring-Kv-Fetch"))
	e.mu.Lock()
	e.calls++
	hook := e.hook
	e.mu.Unlock()
	if hook != nil && hook(w, r) {
		return
	}
	w.Header().Set("Beechring-Response-Seal", "seal."+e.id+"."+id)
	if e.model == "" {
		_, _ = io.WriteString(w, "whole answer to "+id+"\n")
		return
	}
	w.Header().Set("Beechring-Weight-Versions", strconv.FormatUint(e.version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	e.stream(w, r, id)
}

// stream writes the events of a stream.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	write := func(text string) error {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
		return http.NewResponseController(w).Flush()
	}
	if e.unframed {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		var head strings.Builder
		head.WriteString("HTTP/1.1 200 OK\r\n")
		_ = w.Header().Write(&head)
		head.WriteString("Connection: close\r\n\r\n")
		if _, err := io.WriteString(c, head.String()); err != nil {
			return
		}
		write = func(text string) error {
			_, err := io.WriteString(c, text)
			return err
		}
	}
	for n := first; n <= e.events; n++ {
		if err := write(event(id, n)); err != nil {
			_, _ = fmt.Fprintf(e.log, "%s drops %s at event %d\n", e.id, id, n)
			return
		}
		if n < e.events {
			time.Sleep(e.interval)
		}
	}
	_, _ = fmt.Fprintf(e.log, "%s ends %s\n", e.id, id)
}

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s token %d\n\n", n, id, n) }
