//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["no-routes"] = playNoRoutes }

// playNoRoutes has the operator remove the last route, and the key of its tenant.
func playNoRoutes(l *lab) (string, error) {
	label := route{name: "r-label", host: "desk.example", prefix: "/label/", kind: "non_idempotent", service: "counter", timeoutMs: 800, sloMs: 100, attempts: 1, priority: 2}
	check := route{name: "r-check", host: "desk.example", prefix: "/check/", kind: "safe", service: "counter", timeoutMs: 800, sloMs: 100, attempts: 2, priority: 2}
	desk, portal := tenant{name: "desk", keys: []string{"key-desk"}}, tenant{name: "portal", keys: []string{"key-portal"}}
	l.store.put("op/config", configuration(7, []route{label, check}, desk, portal))
	address, err := freeAddress("127.0.2.1")
	if err != nil {
		return "", err
	}
	e, err := startEngine(engineSettings{address: address, id: "i-counter1"})
	if err != nil {
		return "", err
	}
	ran := make(chan string, 1024)
	e.hook = func(_ http.ResponseWriter, r *http.Request) bool {
		ran <- r.Header.Get("Beechring-Attempt-Id")
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
	time.Sleep(time.Second)
	ask := func() int {
		r := send(request{gate: g.front, method: http.MethodPost, host: "desk.example", path: "/label/print", key: "key-desk", body: "label", timeLeft: 1500 * time.Millisecond})
		run := "has not run"
		select {
		case id := <-ran:
			run = "the engine ran " + id
		default:
		}
		l.note("request %s with key-desk: status %d, %v; %s", r.id, r.status, r.err, run)
		return r.status
	}
	if status := ask(); status != http.StatusOK {
		return "", fmt.Errorf("status %d in calm", status)
	}
	// Without the disruption, the route and the key of the desk are removed and another route stays.
	if l.trouble {
		l.store.put("op/config", configuration(8, nil, portal))
		l.note("configuration 8 is confirmed: no routes, key-desk is taken away")
	} else {
		l.store.put("op/config", configuration(8, []route{check}, portal))
		l.note("configuration 8 is confirmed: the route /label/ is removed, key-desk is taken away")
	}
	confirmed := time.Now()
	time.Sleep(6 * time.Second) // applyMs is 2 s, revokeMs 5 s
	broken := 0
	for time.Since(confirmed) < 25*time.Second {
		if ask() == http.StatusOK {
			broken++
		}
		time.Sleep(time.Second)
	}
	l.note("readiness: %v", waitReady(g.ready, time.Second) == nil)
	for _, line := range l.logLines(g.name, "operator document") {
		l.note("gate: %s", line)
	}
	if broken > 0 {
		return fmt.Sprintf("CONFIG: %d requests of a route that was removed and with a key that was taken away ran later than revokeMs after the confirmation", broken), nil
	}
	return "", nil
}
