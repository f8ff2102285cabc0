//go:build review

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"
)

func init() { cases["x-memory"] = playMemory }

func (p *process) memory(field string) string {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	for _, line := range bytes.Split(data, []byte("\n")) {
		if bytes.HasPrefix(line, []byte(field)) {
			return string(line)
		}
	}
	return "ended"
}

func playMemory(l *lab) (string, error) {
	label := route{name: "r-label", host: "desk.example", prefix: "/label/", kind: "non_idempotent", service: "counter", timeoutMs: 800, sloMs: 100, attempts: 1, priority: 2}
	pick := route{name: "r-pick", host: "desk.example", prefix: "/pick/", kind: "streaming", service: "loom", timeoutMs: 5000, sloMs: 600, attempts: 2, sticky: true, resumable: true, gapMs: 200}
	desk := tenant{name: "desk", keys: []string{"key-desk"}}
	l.store.put("op/config", configuration(7, []route{label, pick}, desk))
	l.store.put("op/version/m0", map[string]any{"model": "m0", "version": 1})
	for n, model := range []string{"", "m0"} {
		address, err := freeAddress(fmt.Sprintf("127.0.2.%d", n+1))
		if err != nil {
			return "", err
		}
		e, err := startEngine(engineSettings{address: address, id: fmt.Sprintf("i-%d", n), model: model, version: 1, events: 20, interval: 10 * time.Millisecond})
		if err != nil {
			return "", err
		}
		switch os.Getenv("ENGINE") {
		case "endless":
			e.hook = func(w http.ResponseWriter, r *http.Request) bool {
				w.Header().Set("Beechring-Response-Seal", "s")
				if model != "" {
					w.Header().Set("Content-Type", "text/event-stream")
				}
				data := bytes.Repeat([]byte("x"), 64<<10)
				for {
					if _, err := w.Write(data); err != nil {
						return true
					}
				}
			}
		case "slow":
			e.hook = func(http.ResponseWriter, *http.Request) bool { time.Sleep(700 * time.Millisecond); return false }
		}
		go func() { _ = e.serve() }()
		service := "counter"
		if model != "" {
			service = "loom"
		}
		l.store.put("servers/"+e.id, e.entry(service))
	}
	g, err := l.newGate(1)
	if err != nil {
		return "", err
	}
	if err := l.startGates(g); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	for _, form := range strings.Split(os.Getenv("FORMS"), ",") {
		path := "/label/x"
		if os.Getenv("ENGINE") == "endless" {
			path = os.Getenv("CPATH")
		}
		arguments := []string{"standin", "crowd", "--target", g.front, "--host", "desk.example", "--path", path, "--form", form, "--clients", os.Getenv("CLIENTS"), "--for", "8s", "--header", "Beechring-Key: key-desk", "--number-header", "Beechring-Attempt-Id", "--header", "Beechring-Deadline-Remaining: 5000", "--header", "Beechring-Model: m0", "--header", "Beechring-Token-Usage: 300,60", "--header", "Beechring-Prompt-Prefix: 5c1e07a2:200,11:100"}
		if path == "/label/x" {
			arguments = arguments[:len(arguments)-6]
		}
		command := exec.Command(l.program, arguments...)
		output, err := command.CombinedOutput()
		served := 0
		for range 10 {
			r := send(request{gate: g.front, method: http.MethodPost, host: "desk.example", path: "/label/print", key: "key-desk", body: "label", timeLeft: 1500 * time.Millisecond})
			if r.status == 200 {
				served++
			}
		}
		l.note("%s: %v %s; %s, %s; served after %d of 10\n%.600s", form, err, g.memory("VmHWM"), g.memory("VmRSS"), "", served, output)
	}
	return "", nil
}
